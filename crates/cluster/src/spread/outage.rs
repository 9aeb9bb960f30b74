//! Tells outages of the platform that follow each other from calls that fail while it is available.
//!
//! Objects of live writers expire if the writers miss every chance to write between short outages. A
//! platform that is available may cut off a watch that waits, so a failed watch alone is no outage.
//! While one run of failures lasts, [`super::silence`] decides: other daemons may be answered.

use std::time::{Duration, Instant};

/// What a watch knows of its failed calls.
#[derive(Debug)]
pub struct Monitor {
    /// Minimum disturbance in which objects expire. Without a failure for as long, all writers have
    /// written again.
    expiry_time: Duration,
    failed_at: Option<Instant>,
    /// The latest known answer before the disturbance, which outages that follow each other prolong.
    disturbed_since: Option<Instant>,
    /// The latest known answer before the current run of failures.
    failing_since: Option<Instant>,
    is_failing: bool,
}

/// The end of a run of failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Time for which no call of this watch was answered.
    pub failed_for: Duration,
    /// Whether objects may have expired in outages that followed each other.
    pub ends_outages: bool,
}

impl Monitor {
    pub fn new(expiry_time: Duration) -> Self {
        Self {
            expiry_time,
            failed_at: None,
            disturbed_since: None,
            failing_since: None,
            is_failing: false,
        }
    }

    /// Records that a watch failed. `answered_at` is the latest known answer of the platform.
    pub fn record_failed_watch(&mut self, now: Instant, answered_at: Instant) {
        self.forget_calm(now);
        self.failing_since.get_or_insert(answered_at);
        self.is_failing = true;
    }

    /// Records that a call other than a watch failed. `answered_at` is the latest known answer of the
    /// platform.
    pub fn record_failure(&mut self, now: Instant, answered_at: Instant) {
        self.forget_calm(now);
        let failing_since = *self.failing_since.get_or_insert(answered_at);
        self.disturbed_since.get_or_insert(failing_since);
        self.failed_at = Some(now);
        self.is_failing = true;
    }

    /// Records an answer. Returns the end of a run of failures if the answer is the first one after it.
    pub fn record_answer(&mut self, now: Instant) -> Option<Recovery> {
        if !std::mem::take(&mut self.is_failing) {
            return None;
        }
        let failing_since = self.failing_since.take().unwrap_or(now);
        let failed_for = now.duration_since(failing_since);
        if failed_for >= self.expiry_time {
            self.disturbed_since = None;
        }
        let disturbance = self.disturbed_since.map(|since| now.duration_since(since));
        Some(Recovery {
            failed_for,
            ends_outages: disturbance.is_some_and(|length| length >= self.expiry_time),
        })
    }

    /// Ends the disturbance if the platform has answered since, for long enough.
    fn forget_calm(&mut self, now: Instant) {
        let is_calm = |failed_at: Instant| now.duration_since(failed_at) >= self.expiry_time;
        if !self.is_failing && self.failed_at.is_some_and(is_calm) {
            self.disturbed_since = None;
        }
    }
}
