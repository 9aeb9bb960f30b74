//! What a caller saw, and what the backend servers' logs say to it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::backend::starts;

/// What a request came to in the end.
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
pub enum Fate {
    /// Its own whole answer came.
    Answered,
    /// The fleet said that it was not run.
    Refused,
    /// No answer came, or one that leaves open whether it ran.
    Lost,
    /// An answer came that was not its own.
    Wrong,
}

/// One unrepeatable piece of work.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Work {
    /// The request's id.
    pub id: String,
    /// What it came to.
    pub fate: Fate,
}

/// Times to the end of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Latency {
    /// Median, in milliseconds.
    pub p50_millis: f64,
    /// 99 of 100 requests, in milliseconds.
    pub p99_millis: f64,
    /// 999 of 1000 requests, in milliseconds.
    pub p999_millis: f64,
    /// The longest, in milliseconds.
    pub max_millis: f64,
}

/// What a caller saw.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Requests sent, each counted once however often it was sent again.
    pub sent: u64,
    /// Requests that got their own whole answer.
    pub answered: u64,
    /// Requests that the fleet said were not run.
    pub refused: u64,
    /// Requests without an answer.
    pub lost: u64,
    /// Requests that got an answer not their own.
    pub wrong: u64,
    /// Times that a request was sent again.
    pub retries: u64,
    /// Answers of servers with a status of 500 and more, among those answered.
    pub errors: u64,
    /// Unrepeatable work found in the servers' logs more than once; absent without an audit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub doubled: Option<u64>,
    /// Unrepeatable work said to be not run and found in the servers' logs; absent without an
    /// audit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub falsely_not_run: Option<u64>,
    /// Times to the end of the answers.
    pub latency: Latency,
    /// Time from the first request to the last answer, in milliseconds.
    pub elapsed_millis: u64,
    /// The unrepeatable work, for an audit.
    #[serde(skip)]
    pub works: Vec<Work>,
}

impl Report {
    /// Compares the unrepeatable work with the logs of all servers that may have run it.
    pub fn audit(&mut self, logs: &[starts::Starts]) {
        let mut runs = HashMap::<&str, u64>::new();
        for start in logs.iter().flat_map(|log| &log.starts) {
            *runs.entry(&start.id).or_default() += 1;
        }
        let ran = |work: &Work| runs.get(work.id.as_str()).copied().unwrap_or_default();
        let doubled = self.works.iter().filter(|work| ran(work) > 1);
        let refused = self.works.iter().filter(|w| w.fate == Fate::Refused);
        let falsely = refused.filter(|work| ran(work) > 0);
        self.doubled = Some(doubled.count() as u64);
        self.falsely_not_run = Some(falsely.count() as u64);
    }

    /// Lost unrepeatable work that no fleet could have kept from a server that fell silent.
    ///
    /// `silent` has the server's starts from its first silence on. Within three times the 99th
    /// percentile silence is no sign; what the server took later is not counted.
    #[must_use]
    pub fn unforeseeable(&self, silent: &[starts::Start]) -> u64 {
        let Some(first) = silent.first() else {
            return 0;
        };
        let until = first.at_millis + (self.latency.p99_millis * SLOW) as u64;
        let early = silent.iter().filter(|start| start.at_millis <= until);
        let early: HashSet<&str> = early.map(|start| start.id.as_str()).collect();
        let lost = self.works.iter().filter(|w| w.fate == Fate::Lost);
        lost.filter(|w| early.contains(w.id.as_str())).count() as u64
    }
}

/// Counts while a caller runs.
#[derive(Debug)]
pub(super) struct Tally {
    report: Report,
    latency: Histogram<u64>,
}

impl Tally {
    /// Nothing counted.
    pub fn new() -> Self {
        Self {
            report: Report::default(),
            latency: Histogram::new_with_max(LATENCY_MAX_MICROS, SIGNIFICANT_DIGITS)
                .expect("bounds of the histogram are sound"),
        }
    }

    /// A request ended.
    pub fn add(&mut self, end: End) {
        let report = &mut self.report;
        report.sent += 1;
        report.retries += u64::from(end.retries);
        match end.fate {
            Fate::Answered => report.answered += 1,
            Fate::Refused => report.refused += 1,
            Fate::Lost => report.lost += 1,
            Fate::Wrong => report.wrong += 1,
        }
        if end.fate == Fate::Answered {
            report.errors += u64::from(end.error);
            let micros = u64::try_from(end.latency.as_micros()).unwrap_or(u64::MAX);
            self.latency.saturating_record(micros.max(1));
        }
        if let Some(id) = end.unrepeatable {
            let fate = end.fate;
            report.works.push(Work { id, fate });
        }
    }

    /// The report.
    pub fn report(&self, elapsed: Duration) -> Report {
        let at = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1000.0;
        let mut report = self.report.clone();
        report.latency = Latency {
            p50_millis: at(0.5),
            p99_millis: at(0.99),
            p999_millis: at(0.999),
            max_millis: self.latency.max() as f64 / 1000.0,
        };
        report.elapsed_millis = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        report
    }
}

/// Times the 99th percentile from which an answer is slow beyond doubt.
const SLOW: f64 = 3.0;

/// Largest latency that is told apart, in microseconds.
const LATENCY_MAX_MICROS: u64 = 600_000_000;

/// Significant digits of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a request ended.
#[derive(Clone, Debug)]
pub(super) struct End {
    /// What it came to.
    pub fate: Fate,
    /// Whether its answer had a status of 500 and more.
    pub error: bool,
    /// Times that it was sent again.
    pub retries: u32,
    /// Time from its first send to the end of its answer.
    pub latency: Duration,
    /// Its id, where it is unrepeatable.
    pub unrepeatable: Option<String>,
}
