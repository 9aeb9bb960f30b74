//! Request counts of one time interval.

use std::ops;

/// Request counts; they saturate instead of overflowing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Bucket {
    /// Requests that count towards the objective.
    pub total: u32,
    /// Requests without a complete response, or with an error.
    pub bad: u32,
    /// Complete responses above the latency objective.
    pub slow: u32,
}

impl ops::AddAssign for Bucket {
    fn add_assign(&mut self, other: Self) {
        self.total = self.total.saturating_add(other.total);
        self.bad = self.bad.saturating_add(other.bad);
        self.slow = self.slow.saturating_add(other.slow);
    }
}
