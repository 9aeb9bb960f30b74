//! Traffic counts.

use std::collections::BTreeMap;
use std::ops;

use crate::sample;

/// Counts of requests, attempts and body bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Tally {
    /// Completed requests by outcome.
    pub requests: BTreeMap<sample::Outcome, u64>,
    /// Attempts sent to backend servers.
    pub attempts: u64,
    /// Body bytes received from callers.
    pub received: u64,
    /// Body bytes sent to callers.
    pub sent: u64,
}

impl Tally {
    /// Adds a completed request.
    pub fn record(&mut self, sample: &sample::Sample) {
        *self.requests.entry(sample.outcome).or_default() += 1;
        self.attempts += u64::from(sample.attempts);
        self.received += sample.received;
        self.sent += sample.sent;
    }

    /// Number of requests of all outcomes.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.requests.values().sum()
    }
}

impl ops::AddAssign<&Self> for Tally {
    fn add_assign(&mut self, other: &Self) {
        for (outcome, count) in &other.requests {
            *self.requests.entry(*outcome).or_default() += count;
        }
        self.attempts += other.attempts;
        self.received += other.received;
        self.sent += other.sent;
    }
}
