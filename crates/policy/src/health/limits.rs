//! Detection parameters of each sensitivity.

use std::time::Duration;

use crate::health;

/// Detection parameters of one sensitivity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Suspicion at which a server is ejected. A healthy server reaches it at most once in
    /// `e^threshold` observations on average.
    pub threshold: f64,
    /// Minimum time from the start of a suspicion to an ejection, without reports of peers.
    pub dwell: Duration,
    /// As `dwell`, while peers report, which leaves them time to contradict the suspicion.
    pub dwell_with_peers: Duration,
    /// Evidence of the other servers' health that an ejection requires, as a log-likelihood ratio.
    /// An unhealthy service is mistaken for a healthy one at most once in `e^health_evidence`
    /// cases.
    pub health_evidence: f64,
    /// Consecutive successful trials after which an ejected server is restored.
    pub trials_to_restore: u32,
}

impl From<health::Sensitivity> for Limits {
    fn from(sensitivity: health::Sensitivity) -> Self {
        match sensitivity {
            health::Sensitivity::Fast => Self {
                threshold: 14.0,
                dwell: Duration::from_millis(500),
                dwell_with_peers: Duration::from_millis(800),
                health_evidence: 5.5,
                trials_to_restore: 3,
            },
            health::Sensitivity::Balanced => Self {
                threshold: 17.0,
                dwell: Duration::from_millis(1000),
                dwell_with_peers: Duration::from_millis(1200),
                health_evidence: 7.0,
                trials_to_restore: 5,
            },
            health::Sensitivity::Careful => Self {
                threshold: 22.0,
                dwell: Duration::from_millis(1500),
                dwell_with_peers: Duration::from_millis(2000),
                health_evidence: 9.0,
                trials_to_restore: 8,
            },
        }
    }
}

impl Limits {
    /// Suspicion from which a server counts as doubtful: it gets less traffic, and exploration
    /// requests.
    #[must_use]
    pub fn suspect_threshold(&self) -> f64 {
        self.threshold * 0.15
    }
}
