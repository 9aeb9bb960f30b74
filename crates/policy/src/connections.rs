//! Detection of stale connections to a server.
//!
//! A middlebox may lose its state of open connections: their packets are dropped, while new
//! connections to the same server work. The fault is then with the connections, not the server.
//! For one server, [`Tracker`] counts the attempts on reused connections that got no byte. Once an
//! attempt on a new connection that was sent later is answered, and no reused connection has worked
//! since, all connections opened before the first of these attempts are stale.

use monsooncart_types::time;

/// Silent attempts on reused connections required to declare them stale; a single one may be a slow
/// request.
const MIN_SILENT_ATTEMPTS: u32 = 2;

/// Observations of the connections to one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    /// Number of attempts on reused connections that ended without a byte (silent attempts) since
    /// the last reset.
    silent_attempts: u32,
    /// When the oldest of them was sent.
    oldest_silent_sent_at: time::Time,
    /// Evidence that they added against the server.
    evidence: f64,
    /// When the last answered attempt on a reused connection was sent.
    reused_answer_sent_at: time::Time,
    /// When the last answered attempt on a new connection was sent.
    fresh_answer_sent_at: time::Time,
    /// When the last silent attempt on a new connection was sent.
    fresh_silence_sent_at: time::Time,
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
    /// Records an attempt that got a response head.
    pub fn record_answer(&mut self, sent: time::Time, fresh: bool) {
        let last = if fresh {
            &mut self.fresh_answer_sent_at
        } else {
            &mut self.reused_answer_sent_at
        };
        *last = sent.max(*last);
        if !fresh && self.silent_attempts > 0 && sent >= self.oldest_silent_sent_at {
            self.reset();
        }
    }

    /// Records an attempt that ended without a byte after the slow threshold, and the evidence that
    /// it added against the server.
    pub fn record_silence(&mut self, sent: time::Time, fresh: bool, evidence: f64) {
        if fresh {
            self.fresh_silence_sent_at = sent.max(self.fresh_silence_sent_at);
            return;
        }
        if sent < self.reused_answer_sent_at {
            return;
        }
        self.oldest_silent_sent_at = if self.silent_attempts == 0 {
            sent
        } else {
            sent.min(self.oldest_silent_sent_at)
        };
        self.silent_attempts += 1;
        self.evidence += evidence;
    }

    /// Whether an attempt on a new connection, sent at `since` or later, ended without a byte.
    #[must_use]
    pub fn fresh_failed_since(&self, since: time::Time) -> bool {
        self.fresh_silence_sent_at > time::Time::ZERO && self.fresh_silence_sent_at >= since
    }

    /// Whether an attempt on a new connection, sent at `since` or later, was answered.
    #[must_use]
    pub fn fresh_worked_since(&self, since: time::Time) -> bool {
        self.fresh_answer_sent_at > time::Time::ZERO && self.fresh_answer_sent_at >= since
    }

    /// Evidence from the silent attempts on reused connections.
    #[must_use]
    pub fn evidence(&self) -> f64 {
        self.evidence
    }

    /// When the oldest silent attempt on a reused connection was sent.
    #[must_use]
    pub fn oldest_silent(&self) -> Option<time::Time> {
        (self.silent_attempts > 0).then_some(self.oldest_silent_sent_at)
    }

    /// Detects stale connections; `silent_in_flight` is the number of silent attempts still in
    /// flight on reused connections and `oldest` is when the oldest of them was sent. Detection
    /// resets the tracker.
    pub fn detect_stale(
        &mut self,
        silent_in_flight: u32,
        oldest: Option<time::Time>,
    ) -> Option<StaleConnections> {
        if self.silent_attempts + silent_in_flight < MIN_SILENT_ATTEMPTS {
            return None;
        }
        let recorded = (self.silent_attempts > 0).then_some(self.oldest_silent_sent_at);
        let oldest = recorded.into_iter().chain(oldest).min()?;
        if !self.fresh_worked_since(oldest) || self.reused_answer_sent_at >= oldest {
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
