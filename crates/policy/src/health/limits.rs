//! What a sensitivity means in numbers.

use std::time::Duration;

use crate::health;

/// The numbers of one sensitivity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Suspicion that an ejection takes; a healthy server reaches it once in e to this power
    /// observations at most.
    pub threshold: f64,
    /// Shortest time from the first evidence to an ejection.
    pub dwell: Duration,
    /// Shortest such time while peers are heard, so that they can contradict.
    pub dwell_with_peers: Duration,
    /// Evidence of the other servers' wellness that an ejection takes; a service in trouble
    /// passes for well once in e to this power at most.
    pub health_evidence: f64,
    /// Trials in a row that bring a server back.
    pub trials: u32,
}

impl From<health::Sensitivity> for Limits {
    fn from(sensitivity: health::Sensitivity) -> Self {
        match sensitivity {
            health::Sensitivity::Fast => Self {
                threshold: 14.0,
                dwell: Duration::from_millis(500),
                dwell_with_peers: Duration::from_millis(800),
                health_evidence: 5.5,
                trials: 3,
            },
            health::Sensitivity::Balanced => Self {
                threshold: 17.0,
                dwell: Duration::from_millis(1000),
                dwell_with_peers: Duration::from_millis(1200),
                health_evidence: 7.0,
                trials: 5,
            },
            health::Sensitivity::Careful => Self {
                threshold: 22.0,
                dwell: Duration::from_millis(1500),
                dwell_with_peers: Duration::from_millis(2000),
                health_evidence: 9.0,
                trials: 8,
            },
        }
    }
}

impl Limits {
    /// Suspicion from which a server is examined and spared.
    #[must_use]
    pub fn suspect_threshold(&self) -> f64 {
        self.threshold * 0.15
    }
}
