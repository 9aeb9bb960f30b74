//! Snapshots of the daemons' request counts.
//!
//! A snapshot is split into parts, so that each stays below the platform's limit of 1 MiB. A
//! subject is in the same part in all snapshots of an instance, so combining parts of different
//! snapshots never counts it twice.

use std::collections::BTreeMap;

use monsooncart_types::instance;

use crate::burn::{series, subject, window};

/// Key prefix of the snapshots that daemons write to the platform.
pub const PREFIX: &str = "burn/";

/// Number of parts of a snapshot; parts without lines are omitted.
pub const PARTS: u32 = 16;

/// Identifies a part of an instance's snapshot; its display form is the key in the platform.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
#[display("{PREFIX}{instance}/{part:02}")]
pub struct Name {
    /// Daemon instance that counted.
    pub instance: instance::Instance,
    /// Index of the part, below [`PARTS`].
    pub part: u32,
}

/// A series with its subject.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Line {
    /// Subject of the series.
    pub subject: subject::Subject,
    /// Counts over time.
    pub series: series::Series,
}

/// A part of the counts of one daemon instance.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Part {
    /// Identity of the part.
    pub name: Name,
    /// Incremented with each snapshot of the instance.
    pub sequence: u64,
    /// Series with unique subjects.
    pub lines: Vec<Line>,
}

impl Part {
    /// Start of the newest hour with counts, in seconds since the Unix epoch. A part whose newest
    /// counts are older than three days, the longest window, can be removed.
    #[must_use]
    pub fn newest_hour_start(&self) -> u64 {
        let hours = self.lines.iter().map(|line| line.series.newest_hour());
        hours.max().unwrap_or(0) * window::Window::ThreeDays.bucket_seconds()
    }
}

/// Snapshots of several daemons. Only the newest version of each part is counted, and only once.
#[derive(Clone, Debug, Default)]
pub struct Snapshots {
    newest: BTreeMap<Name, Part>,
}

impl Snapshots {
    /// Adds a part, unless a newer version of it is present.
    pub fn add(&mut self, part: Part) {
        let current = self.newest.get(&part.name);
        if current.is_none_or(|current| current.sequence <= part.sequence) {
            self.newest.insert(part.name, part);
        }
    }

    /// Merges the series of all daemons by subject.
    #[must_use]
    pub fn merged(&self) -> BTreeMap<subject::Subject, series::Series> {
        let mut merged = BTreeMap::<_, series::Series>::new();
        for line in self.newest.values().flat_map(|part| &part.lines) {
            merged
                .entry(line.subject.clone())
                .or_default()
                .merge(&line.series);
        }
        merged
    }
}
