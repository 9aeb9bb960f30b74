//! Keeps healthy servers in use while many requests fail.
//!
//! Unrepeatable requests go to servers with a recent success. When demand is low and many servers are
//! in doubt, those that are trusted carry all requests, and healthy ones of which nothing is known
//! stay without any. While a considerable share of the requests fails, requests therefore go to the
//! server of this data centre that has been without one for longest.

use std::time::Duration;

use monsooncart_types::time;

/// Share of failed requests from which servers are kept in use.
const FAILURE_THRESHOLD: f64 = 0.05;

/// Time constant of the exponential decay of the counts.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Number of failed requests below which a share of them means nothing.
const MIN_FAILURES: f64 = 4.0;

/// Time without an attempt after which a server is due for one, so that every server can have one in
/// each two seconds.
pub const IDLE_TIME: Duration = Duration::from_secs(1);

/// Probability of failure above which a server is not given a request for the sake of its use.
pub const MAX_RISK: f64 = 0.45;

/// A count that decays.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    value: f64,
    updated_at: time::Time,
}

impl Count {
    fn at(&self, now: time::Time) -> f64 {
        let age = now.since(self.updated_at).div_duration_f64(DECAY_TIME);
        self.value * (-age).exp()
    }

    fn add(&mut self, now: time::Time, number: f64) {
        self.value = self.at(now) + number;
        self.updated_at = now;
    }
}

/// Recent results of requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    is_enabled: bool,
    completed: Count,
    failed: Count,
}

impl Coverage {
    /// Creates a coverage without results, which never asks for anything unless it is enabled.
    #[must_use]
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            ..Self::default()
        }
    }

    /// Records the final result of a request.
    pub fn record(&mut self, now: time::Time, is_served: bool) {
        self.completed.add(now, 1.0);
        if !is_served {
            self.failed.add(now, 1.0);
        }
    }

    /// Whether so many requests fail that idle servers must be used.
    #[must_use]
    pub fn is_needed(&self, now: time::Time) -> bool {
        let failed = self.failed.at(now);
        let is_significant = failed >= MIN_FAILURES;
        self.is_enabled && is_significant && failed >= FAILURE_THRESHOLD * self.completed.at(now)
    }
}
