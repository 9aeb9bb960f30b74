//! The schedule of a caller's requests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Assigns numbers and send times to the requests of all workers.
#[derive(Debug)]
pub struct Schedule {
    next_number: AtomicU64,
    count: Option<u64>,
    rate: Option<f64>,
    started_at: Instant,
    duration: Duration,
}

/// A scheduled request.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledRequest {
    /// Sequence number, from 0.
    pub number: u64,
    pub send_at: Instant,
}

impl Schedule {
    /// Creates a schedule that starts now.
    pub fn new(count: Option<u64>, rate: Option<f64>, duration: Duration) -> Self {
        Self {
            next_number: AtomicU64::new(0),
            count,
            rate,
            started_at: Instant::now(),
            duration,
        }
    }

    /// Returns the next request; `None` after the last.
    pub fn next(&self) -> Option<ScheduledRequest> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        if self.count.is_some_and(|count| number >= count) {
            return None;
        }
        let send_at = match self.rate {
            Some(rate) => self.started_at + Duration::from_secs_f64(number as f64 / rate),
            None => Instant::now(),
        };
        (send_at.duration_since(self.started_at) < self.duration)
            .then_some(ScheduledRequest { number, send_at })
    }

    /// Time since the schedule started.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }
}
