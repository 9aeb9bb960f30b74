//! Report of the calls that the simulated platform received.

use std::collections::BTreeMap;
use std::time::Duration;

use monsooncart_store::counter;

/// Calls of one operation.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Rate {
    /// Calls since the start.
    pub calls: u64,
    /// Calls per second since the start.
    pub per_second: f64,
}

/// Calls of all operations since the start.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Seconds since the start.
    pub seconds: f64,
    /// Calls by operation.
    pub calls: BTreeMap<String, Rate>,
}

impl Report {
    /// Creates the report of a counter that has been running for `elapsed`.
    #[must_use]
    pub fn new(counter: &counter::Counter, elapsed: Duration) -> Self {
        let seconds = elapsed.as_secs_f64();
        let rate = |calls: u64| Rate {
            calls,
            per_second: calls as f64 / seconds.max(f64::EPSILON),
        };
        let calls = counter.iter();
        let calls = calls.map(|(step, calls)| (step.to_string(), rate(calls)));
        Self {
            seconds,
            calls: calls.collect(),
        }
    }
}
