//! Pacing of requests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Assigns numbers and send times to the requests of all workers.
#[derive(Debug)]
pub struct Pace {
    next: AtomicU64,
    count: Option<u64>,
    rate: Option<f64>,
    started: Instant,
    duration: Duration,
}

/// A scheduled request.
#[derive(Clone, Copy, Debug)]
pub struct Due {
    /// Sequence number, from 0.
    pub number: u64,
    /// Time at which it is to be sent.
    pub at: Instant,
}

impl Pace {
    /// Creates a schedule that starts now.
    pub fn new(count: Option<u64>, rate: Option<f64>, duration: Duration) -> Self {
        Self {
            next: AtomicU64::new(0),
            count,
            rate,
            started: Instant::now(),
            duration,
        }
    }

    /// Returns the next request; `None` after the last.
    pub fn next(&self) -> Option<Due> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        if self.count.is_some_and(|count| number >= count) {
            return None;
        }
        let at = match self.rate {
            Some(rate) => self.started + Duration::from_secs_f64(number as f64 / rate),
            None => Instant::now(),
        };
        (at.duration_since(self.started) < self.duration).then_some(Due { number, at })
    }

    /// Time since the schedule started.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}
