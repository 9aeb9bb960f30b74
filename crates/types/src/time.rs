//! Monotonic instants of a process.
//!
//! Policy code takes the current time as an argument; only the daemon reads a clock.

use std::fmt;
use std::ops;
use std::time::Duration;

/// Nanoseconds since an origin that is set when the process starts.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// An instant later than any other, for deadlines that never expire.
    pub const NEVER: Self = Self(u64::MAX);

    /// The duration from `earlier` to `self`; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// Creates the instant `milliseconds` after the origin.
    #[must_use]
    pub const fn from_millis(milliseconds: u64) -> Self {
        Self(milliseconds.saturating_mul(1_000_000))
    }
}

impl ops::Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let nanoseconds = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanoseconds))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}s", Duration::from_nanos(self.0).as_secs_f64())
    }
}
