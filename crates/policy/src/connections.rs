//! Detection of stale connections to a server.
//!
//! A middlebox may lose its state of open connections: their packets are dropped, while new
//! connections to the same server work. The fault is then with the connections, not the server.
//!
//! A fresh connection is new or was verified just before the attempt; all others are reused. An
//! attempt is silent if it gets no response head within the slow threshold. For one server,
//! [`Tracker`] counts the finished attempts on reused connections that were silent. Once an attempt
//! on a fresh connection that was sent later is answered, and no attempt on a reused connection has
//! been answered since, all connections opened before the first silent attempt are stale.

use monsooncart_types::time;

/// Minimum number of silent attempts on reused connections to declare them stale; a single one may
/// be a slow request.
const MIN_SILENT_ATTEMPTS: u32 = 2;

/// Observations of attempts on the connections to one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    /// Number of finished silent attempts on reused connections since the last reset.
    silent_attempts: u32,
    /// When the oldest of them was sent.
    oldest_silent_sent_at: time::Time,
    /// Evidence that they added against the server.
    evidence: f64,
    /// When the latest answered attempt on a reused connection was sent.
    answered_reused_sent_at: time::Time,
    /// When the latest answered attempt on a fresh connection was sent.
    answered_fresh_sent_at: time::Time,
    /// When the latest silent attempt on a fresh connection was sent.
    silent_fresh_sent_at: time::Time,
}

/// Stale connections, which are to be closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StaleConnections {
    /// All connections opened before this time are stale.
    pub opened_before: time::Time,
    /// Evidence that their attempts added against the server, which is to be retracted.
    pub evidence: f64,
}

impl Tracker {
    /// Records that an attempt was answered with a response head.
    pub fn record_answer(&mut self, sent_at: time::Time, fresh_connection: bool) {
        let last = if fresh_connection {
            &mut self.answered_fresh_sent_at
        } else {
            &mut self.answered_reused_sent_at
        };
        *last = sent_at.max(*last);
        if !fresh_connection && self.silent_attempts > 0 && sent_at >= self.oldest_silent_sent_at {
            self.reset();
        }
    }

    /// Records a finished silent attempt, and the evidence that it added against the server.
    pub fn record_silence(&mut self, sent_at: time::Time, fresh_connection: bool, evidence: f64) {
        if fresh_connection {
            self.silent_fresh_sent_at = sent_at.max(self.silent_fresh_sent_at);
            return;
        }
        if sent_at < self.answered_reused_sent_at {
            return;
        }
        self.oldest_silent_sent_at = if self.silent_attempts == 0 {
            sent_at
        } else {
            sent_at.min(self.oldest_silent_sent_at)
        };
        self.silent_attempts += 1;
        self.evidence += evidence;
    }

    /// Whether an attempt on a fresh connection, sent at `since` or later, was silent.
    #[must_use]
    pub fn fresh_connection_silent_since(&self, since: time::Time) -> bool {
        self.silent_fresh_sent_at > time::Time::ZERO && self.silent_fresh_sent_at >= since
    }

    /// Whether an attempt on a fresh connection, sent at `since` or later, was answered.
    #[must_use]
    pub fn fresh_connection_answered_since(&self, since: time::Time) -> bool {
        self.answered_fresh_sent_at > time::Time::ZERO && self.answered_fresh_sent_at >= since
    }

    /// Evidence from the silent attempts on reused connections.
    #[must_use]
    pub fn evidence(&self) -> f64 {
        self.evidence
    }

    /// When the oldest silent attempt on a reused connection was sent.
    #[must_use]
    pub fn oldest_silent_sent_at(&self) -> Option<time::Time> {
        (self.silent_attempts > 0).then_some(self.oldest_silent_sent_at)
    }

    /// Detects stale connections; `stuck` is the number of silent attempts in flight on reused
    /// connections, and `oldest_stuck_sent_at` is when the oldest of them was sent. Detection
    /// resets the tracker.
    pub fn detect_stale(
        &mut self,
        stuck: u32,
        oldest_stuck_sent_at: Option<time::Time>,
    ) -> Option<StaleConnections> {
        if self.silent_attempts + stuck < MIN_SILENT_ATTEMPTS {
            return None;
        }
        let recorded = (self.silent_attempts > 0).then_some(self.oldest_silent_sent_at);
        let oldest = recorded.into_iter().chain(oldest_stuck_sent_at).min()?;
        if !self.fresh_connection_answered_since(oldest) || self.answered_reused_sent_at >= oldest {
            return None;
        }
        let stale = StaleConnections {
            opened_before: oldest,
            evidence: self.evidence,
        };
        self.reset();
        Some(stale)
    }

    fn reset(&mut self) {
        self.silent_attempts = 0;
        self.evidence = 0.0;
    }
}
