//! When a server was used last, by this daemon or others, and whether it needs a request to stay in use.

use std::time::Duration;

use monsooncart_types::{instance, time};

use super::{coverage, peer_use};

/// Use of one server, as far as it is known.
#[derive(Clone, Debug)]
pub struct Activity {
    is_local: bool,
    /// Time without an attempt after which it is this daemon's turn to use the server.
    turn: Duration,
    /// Time of the last known attempt of this daemon or a peer; initially when the server became known.
    pub last_attempt_at: time::Time,
    peer_use: peer_use::PeerUse,
}

impl Activity {
    /// Creates the activity of a server that became known at `now`.
    #[must_use]
    pub fn new(now: time::Time, turn: Duration, is_local: bool) -> Self {
        Self {
            is_local,
            turn,
            last_attempt_at: now,
            peer_use: peer_use::PeerUse::default(),
        }
    }

    /// The same daemon's activity for another run of the server.
    #[must_use]
    pub fn of_next_run(&self, now: time::Time, is_local: bool) -> Self {
        Self::new(now, self.turn, is_local)
    }

    /// Records that a peer uses the server.
    pub fn record_use(&mut self, now: time::Time, peer: instance::Instance) {
        self.peer_use.record(now, peer);
    }

    /// Time since the last attempt of this daemon, or of one that is heard.
    fn idle_time(&self, now: time::Time, heard: &peer_use::Heard) -> Duration {
        let remote_use = match self.is_local {
            true => None,
            false => self.peer_use.last_heard_at(now, heard),
        };
        now.since(remote_use.map_or(self.last_attempt_at, |at| at.max(self.last_attempt_at)))
    }

    /// Whether there was an attempt lately, of this daemon or of one that is heard.
    #[must_use]
    pub fn is_in_use(&self, now: time::Time, heard: &peer_use::Heard) -> bool {
        self.idle_time(now, heard) < coverage::USE_TIME
    }

    /// Whether this daemon keeps the server in use: it is in its data centre, or its use has been
    /// reported until lately.
    #[must_use]
    pub fn is_covered(&self, now: time::Time) -> bool {
        self.is_local || self.peer_use.is_known(now)
    }

    /// Time by which the server is overdue for a request of this daemon; `None` if it is not due.
    #[must_use]
    pub fn overdue_time(
        &self,
        now: time::Time,
        heard: &peer_use::Heard,
        is_retryable: bool,
    ) -> Option<Duration> {
        if !self.is_covered(now) {
            return None;
        }
        // Nobody else is left to use a remote server, so that it waits for no other request.
        let goes_first = is_retryable || !self.is_local;
        coverage::overdue_time(self.idle_time(now, heard), self.turn, goes_first)
    }
}
