//! Silence of the platform: the time for which it answered no daemon of the region.
//!
//! Entries of live servers may expire while the platform is unavailable, and reappear soon after. A
//! platform that turns one daemon away, or is cut off from it, still answers others, which report so;
//! no entry expires then.

use std::time::{Duration, Instant};

/// The latest silence in which objects may have expired.
#[derive(Debug)]
pub struct Silence {
    /// Minimum silence in which objects expire.
    expiry_time: Duration,
    answered_at: Instant,
    ended_at: Option<Instant>,
}

impl Silence {
    pub fn new(expiry_time: Duration, now: Instant) -> Self {
        Self {
            expiry_time,
            answered_at: now,
            ended_at: None,
        }
    }

    /// Records that the platform answered a daemon of the region.
    pub fn record_answer(&mut self, at: Instant) {
        if at <= self.answered_at {
            return;
        }
        if at.duration_since(self.answered_at) >= self.expiry_time {
            self.ended_at = Some(at);
        }
        self.answered_at = at;
    }

    /// Time of the latest answer, or of the daemon's start.
    pub fn answered_at(&self) -> Instant {
        self.answered_at
    }

    /// Time of the answer that ended the latest silence.
    pub fn ended_at(&self) -> Option<Instant> {
        self.ended_at
    }
}
