//! Arrival times of all requests, whatever their outcome.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Maximum number of recorded arrivals.
const MAX_RECORDED: usize = 1 << 20;

/// Arrival times, without health checks.
#[derive(Debug, Default)]
pub(super) struct Arrivals(Mutex<Vec<Instant>>);

impl Arrivals {
    /// Records the arrival of a request.
    pub fn add(&self) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if times.len() < MAX_RECORDED {
            times.push(Instant::now());
        }
    }

    /// Returns the arrivals since `start`, in order.
    pub fn since(&self, start: Instant) -> Vec<Instant> {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.iter().filter(|t| **t >= start).copied().collect()
    }
}
