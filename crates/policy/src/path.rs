//! Belief about this daemon's network path to the servers of a service, apart from the servers.
//!
//! An attempt that ends without any response from the server may be the fault of the server or of
//! the daemon's own path to it. One such failure alone does not tell which. Failures at several
//! servers with no response from any in between are taken for a lost path; a response on a
//! connection that was opened after a failure shows that the path is there, and so that the failure
//! was the server's.

use std::time::Duration;

use monsooncart_types::time;

use crate::handle;

/// Number of servers that must have failed for the path to be taken for lost; fewer if the service
/// has fewer.
const MIN_SUSPECTS: usize = 2;

/// Age at which a failure no longer counts for a lost path.
const FAILURE_LIFETIME: Duration = Duration::from_secs(5);

/// Interval between probes while the path is lost or in doubt.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of servers probed at once, so that one server that is down does not decide.
pub const PROBED_SERVERS: usize = 2;

/// A failure that may be the server's or the path's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Server of the failed attempt.
    pub server: handle::Server,
    /// Time at which the attempt was sent.
    pub sent_at: time::Time,
    /// Time at which the attempt failed.
    pub failed_at: time::Time,
    /// Whether the failure is withheld from the evidence about the server until the path is known
    /// to be there.
    pub withheld: bool,
}

/// Belief about the path to the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// Failures since the last response, at most one for each server.
    failures: Vec<Failure>,
    lost_since: Option<time::Time>,
    /// When the first probe was sent that got no response since the path was lost.
    confirmed_at: Option<time::Time>,
    /// When the path was there again after a confirmed loss.
    regained_at: time::Time,
    /// Opening time of the newest connection on which a response was received.
    proven_at: time::Time,
    probed_at: Option<time::Time>,
}

impl Path {
    /// Whether the path is taken for lost.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Whether the path is lost, or a server other than `server` failed and none has responded since.
    #[must_use]
    pub fn is_doubted_apart_from(&self, server: handle::Server) -> bool {
        self.is_lost() || self.failures.iter().any(|f| f.server != server)
    }

    /// Records an attempt that ended without any response; `server_count` servers could have been
    /// sent to. Returns whether the path is lost from now on.
    pub fn record_failure(&mut self, failure: Failure, server_count: usize) -> bool {
        let now = failure.failed_at;
        if failure.sent_at < self.regained_at {
            return false;
        }
        if failure.sent_at < self.proven_at {
            // The path has been there since it was sent.
            return false;
        }
        self.failures
            .retain(|f| f.server != failure.server && now.since(f.failed_at) < FAILURE_LIFETIME);
        self.failures.push(failure);
        let unproven = self.failures.iter().filter(|f| f.sent_at >= self.proven_at);
        let is_lost = unproven.count() >= MIN_SUSPECTS.min(server_count.max(1));
        if !is_lost || self.is_lost() {
            return false;
        }
        self.lost_since = Some(now);
        self.confirmed_at = None;
        self.probed_at = None;
        true
    }

    /// Records a probe of a server to which there was no response, like [`Path::record_failure`].
    pub fn record_failed_probe(&mut self, failure: Failure, server_count: usize) -> bool {
        let is_newly_lost = self.record_failure(failure, server_count);
        if self.is_lost() && failure.sent_at >= self.proven_at {
            let sent_at = failure.sent_at;
            let first = self
                .confirmed_at
                .map_or(sent_at, |first| first.min(sent_at));
            self.confirmed_at = Some(first);
        }
        is_newly_lost
    }

    /// Whether a response on a connection that was opened at `at` or later shows that the path was there.
    #[must_use]
    pub fn is_proven_since(&self, at: time::Time) -> bool {
        !self.is_lost() && self.proven_at >= at
    }

    /// When a confirmed loss of the path ended that may have broken an attempt which was sent at `sent_at`.
    #[must_use]
    pub fn regained_after(&self, sent_at: time::Time) -> Option<time::Time> {
        (sent_at < self.regained_at).then_some(self.regained_at)
    }

    /// Records a response on a connection that was opened at `opened_at`. Returns the failures before
    /// that which were the servers', and whether the path was lost. Those of a loss that a probe
    /// confirmed were not; a probe beside which another one succeeded confirms nothing.
    pub fn record_response(&mut self, opened_at: time::Time) -> (Vec<Failure>, bool) {
        self.proven_at = self.proven_at.max(opened_at);
        let is_proof = |f: &mut Failure| f.failed_at <= opened_at;
        let servers_fault: Vec<_> = self.failures.extract_if(.., is_proof).collect();
        let was_lost = self.lost_since.is_some_and(|since| since <= opened_at);
        if !was_lost {
            return (servers_fault, false);
        }
        self.lost_since = None;
        let confirmed_at = self.confirmed_at.take();
        if confirmed_at.is_none_or(|sent_at| opened_at.since(sent_at) < PROBE_INTERVAL) {
            return (servers_fault, true);
        }
        self.regained_at = opened_at;
        (Vec::new(), true)
    }

    /// Whether a server has failed since the last response.
    #[must_use]
    pub fn has_failed(&self, server: handle::Server) -> bool {
        self.failures.iter().any(|f| f.server == server)
    }

    /// Whether to probe servers now: probes are due, and the path is lost or `in_doubt`. Starts the
    /// next interval if so.
    pub fn take_probe(&mut self, now: time::Time, in_doubt: bool) -> bool {
        let is_due = self
            .probed_at
            .is_none_or(|probed_at| now.since(probed_at) >= PROBE_INTERVAL);
        if !is_due || !(in_doubt || self.is_lost()) {
            return false;
        }
        self.probed_at = Some(now);
        true
    }
}

/// The evidence, as text for operators.
impl std::fmt::Display for Path {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let count = self.failures.len();
        write!(
            f,
            "{count} servers failed without a response from any in between"
        )
    }
}
