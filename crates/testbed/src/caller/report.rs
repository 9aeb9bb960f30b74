//! Results of a caller, and their audit against the logs of the backend servers.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::backend::starts;

/// Final outcome of a request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Its complete and matching response arrived.
    Answered,
    /// The fleet reported that it was not run.
    Refused,
    /// No response arrived, or one that does not tell whether the request was run.
    Lost,
    /// The response does not match the request.
    Wrong,
}

/// An unrepeatable request and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct UnrepeatableRequest {
    /// Request id.
    pub id: String,
    /// Final outcome.
    pub outcome: Outcome,
}

/// Quantiles of the time to the end of the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Latency {
    /// Median, in milliseconds.
    pub p50_millis: f64,
    /// 99th percentile, in milliseconds.
    pub p99_millis: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_millis: f64,
    /// Maximum, in milliseconds.
    pub max_millis: f64,
}

/// Counts and latency of a caller's requests.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Requests sent, without retries.
    pub sent: u64,
    /// Requests whose complete and matching response arrived.
    pub answered: u64,
    /// Requests that the fleet reported as not run.
    pub refused: u64,
    /// Requests without a response, or whose response does not tell whether they were run.
    pub lost: u64,
    /// Requests whose response did not match them.
    pub wrong: u64,
    /// Number of retries.
    pub retries: u64,
    /// Answered requests with a status of 500 or above.
    pub errors: u64,
    /// Unrepeatable requests that the servers' logs contain more than once; absent without an
    /// audit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub doubled: Option<u64>,
    /// Unrepeatable requests that were reported as not run but are in the servers' logs; absent
    /// without an audit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub falsely_not_run: Option<u64>,
    /// Time to the end of the response.
    pub latency: Latency,
    /// Time from the first request to the last response, in milliseconds.
    pub elapsed_millis: u64,
    /// Unrepeatable requests, for the audit.
    #[serde(skip)]
    pub works: Vec<UnrepeatableRequest>,
}

impl Report {
    /// Compares the unrepeatable requests with the logs of all servers that may have run them.
    pub fn audit(&mut self, logs: &[starts::Starts]) {
        let mut runs = HashMap::<&str, u64>::new();
        for start in logs.iter().flat_map(|log| &log.starts) {
            *runs.entry(&start.id).or_default() += 1;
        }
        let run_count = |request: &UnrepeatableRequest| {
            runs.get(request.id.as_str()).copied().unwrap_or_default()
        };
        let doubled = self.works.iter().filter(|request| run_count(request) > 1);
        let refused = self.works.iter().filter(|r| r.outcome == Outcome::Refused);
        let falsely_refused = refused.filter(|request| run_count(request) > 0);
        self.doubled = Some(doubled.count() as u64);
        self.falsely_not_run = Some(falsely_refused.count() as u64);
    }

    /// Counts the lost unrepeatable requests that reached a server before any fleet could detect
    /// that it had stopped responding.
    ///
    /// `silent` contains the requests that the server started since it stopped responding. Until
    /// three times the 99th percentile of the latency has passed, a stalled server cannot be told
    /// from a slow one; requests that it started later are not counted.
    #[must_use]
    pub fn count_unforeseeable_losses(&self, silent: &[starts::Start]) -> u64 {
        let Some(first) = silent.first() else {
            return 0;
        };
        let deadline_millis = first.at_millis + (self.latency.p99_millis * STALL_FACTOR) as u64;
        let early = silent
            .iter()
            .filter(|start| start.at_millis <= deadline_millis);
        let early: HashSet<&str> = early.map(|start| start.id.as_str()).collect();
        let lost = self.works.iter().filter(|r| r.outcome == Outcome::Lost);
        lost.filter(|r| early.contains(r.id.as_str())).count() as u64
    }
}

/// Accumulates the outcomes of requests.
#[derive(Debug)]
pub(super) struct Tally {
    report: Report,
    latency: Histogram<u64>,
}

impl Tally {
    pub fn new() -> Self {
        Self {
            report: Report::default(),
            latency: Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
                .expect("bounds of the histogram are valid"),
        }
    }

    /// Counts a completed request.
    pub fn record(&mut self, completion: Completion) {
        let report = &mut self.report;
        report.sent += 1;
        report.retries += u64::from(completion.retries);
        match completion.outcome {
            Outcome::Answered => report.answered += 1,
            Outcome::Refused => report.refused += 1,
            Outcome::Lost => report.lost += 1,
            Outcome::Wrong => report.wrong += 1,
        }
        if completion.outcome == Outcome::Answered {
            report.errors += u64::from(completion.is_server_error);
            let micros = u64::try_from(completion.latency.as_micros()).unwrap_or(u64::MAX);
            self.latency.saturating_record(micros.max(1));
        }
        if let Some(id) = completion.unrepeatable_id {
            let outcome = completion.outcome;
            report.works.push(UnrepeatableRequest { id, outcome });
        }
    }

    /// Returns the report.
    pub fn report(&self, elapsed: Duration) -> Report {
        let quantile_millis = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1000.0;
        let mut report = self.report.clone();
        report.latency = Latency {
            p50_millis: quantile_millis(0.5),
            p99_millis: quantile_millis(0.99),
            p999_millis: quantile_millis(0.999),
            max_millis: self.latency.max() as f64 / 1000.0,
        };
        report.elapsed_millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        report
    }
}

/// Multiple of the 99th percentile of the latency after which a server that has not responded is
/// stalled, not slow.
const STALL_FACTOR: f64 = 3.0;

/// Maximum latency that the histogram records; longer ones count as this.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Significant decimal digits of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Result of a completed request.
#[derive(Clone, Debug)]
pub(super) struct Completion {
    /// Final outcome.
    pub outcome: Outcome,
    /// Whether the response has a status of 500 or above.
    pub is_server_error: bool,
    /// Number of retries.
    pub retries: u32,
    /// Time from the scheduled send time to the end of the response.
    pub latency: Duration,
    /// Request id if the request is unrepeatable.
    pub unrepeatable_id: Option<String>,
}
