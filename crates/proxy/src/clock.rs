//! The clocks of the request path.

use std::time::{Duration, SystemTime};

use monsooncart_types::time;
use tokio::time::Instant;

/// A monotonic clock that starts when the engine is built.
#[derive(Debug)]
pub struct Clock {
    origin: Instant,
    /// Time from the Unix epoch to the origin.
    unix_origin: Duration,
}

impl Clock {
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            unix_origin: since_unix_epoch(),
        }
    }

    /// Returns the time from the Unix epoch to the origin, as the wall clock showed it then.
    pub fn unix_origin(&self) -> Duration {
        self.unix_origin
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> time::Time {
        time::Time::ZERO + self.origin.elapsed()
    }
}

/// Returns milliseconds since the Unix epoch by the wall clock, for operators only.
pub fn wall_millis() -> u64 {
    u64::try_from(since_unix_epoch().as_millis()).unwrap_or(u64::MAX)
}

fn since_unix_epoch() -> Duration {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.unwrap_or(Duration::ZERO)
}
