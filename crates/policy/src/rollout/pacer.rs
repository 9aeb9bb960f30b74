//! Bounds the rate at which a daemon serves parts, so that callers and membership probes keep the
//! rest of its link.

use std::time::Duration;

use monsooncart_types::time;

/// Maximum delay of a reply; a reply that would have to wait longer is refused instead.
const MAX_DELAY: Duration = Duration::from_millis(150);

/// Schedules replies on a link of limited rate.
#[derive(Clone, Debug)]
pub struct Pacer {
    bytes_per_second: f64,
    /// When the replies that were admitted so far have left the link.
    free_at: time::Time,
}

impl Pacer {
    /// Creates a pacer; a rate of zero means that replies are never delayed.
    #[must_use]
    pub fn new(bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second,
            free_at: time::Time::ZERO,
        }
    }

    /// Admits a reply and returns when it may be sent; `None` if the link has no room for it soon.
    pub fn admit(&mut self, now: time::Time, bytes: usize) -> Option<time::Time> {
        if self.bytes_per_second <= 0.0 {
            return Some(now);
        }
        let send_at = self.free_at.max(now);
        if send_at.since(now) > MAX_DELAY {
            return None;
        }
        let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        self.free_at = send_at + duration;
        Some(send_at)
    }
}
