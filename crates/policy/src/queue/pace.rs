//! Estimate of how fast the queue drains.

use std::time::Duration;

/// How fast queued requests get a slot, and how long they take from then to the response head.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time between two slots becoming free.
    pub slot_interval: Duration,
    /// Time from getting a slot to the response head.
    pub head_time: Duration,
    /// Time until the first slot can become free, for example because all servers are in backoff.
    pub initial_delay: Duration,
}

impl Pace {
    /// Expected time to the response head of a request with `ahead` requests served before it.
    #[must_use]
    pub fn expected_head_delay(&self, ahead: f64) -> Duration {
        self.initial_delay + self.slot_interval.mul_f64(ahead + 1.0) + self.head_time
    }
}
