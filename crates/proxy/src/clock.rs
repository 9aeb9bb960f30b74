//! The clocks of the request path.

use std::time::{Duration, SystemTime};

use monsooncart_types::time;
use tokio::time::Instant;

/// A monotonic clock that starts when the engine is built.
#[derive(Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> time::Time {
        time::Time::ZERO + self.origin.elapsed()
    }
}

/// Returns milliseconds since the Unix epoch by the wall clock, for operators only.
pub fn wall_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or(Duration::ZERO).as_millis()).unwrap_or(u64::MAX)
}
