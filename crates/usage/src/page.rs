//! Objects in which usage counts are stored.
//!
//! A page belongs to one daemon instance and one hour. Its writer only adds to it and increments
//! the sequence with each change, so of two copies of a page the one with the higher sequence
//! includes the other. Copies may therefore be written, forwarded and read repeatedly and in any
//! order.

use monsooncart_types::{id, instance};

use crate::{counter, tally};

/// Key prefix of all pages.
pub const PREFIX: &str = "usage/";

/// Maximum number of lines in a page, which keeps it below the platform's limit of 1 MiB.
pub const MAX_LINES: usize = 2048;

/// Length of a period, in seconds.
pub const PERIOD_SECONDS: u64 = 3600;

/// Accounting period: a whole hour, numbered since the Unix epoch.
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
    derive_more::FromStr,
)]
pub struct Period(pub u64);

impl Period {
    /// Returns the period that contains `seconds` since the Unix epoch.
    #[must_use]
    pub fn at(seconds: u64) -> Self {
        Self(seconds / PERIOD_SECONDS)
    }
}

/// Identifies a page; its display form is the key in the platform.
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
#[display("{PREFIX}{instance}/{period}/{number:04}")]
pub struct Name {
    /// Daemon instance that counted.
    pub instance: instance::Instance,
    /// Hour in which the requests completed.
    pub period: Period,
    /// Number of the page within its instance and period, from 0.
    pub number: u32,
}

/// Counts of one organisation at one service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Line {
    /// Organisation and service.
    pub key: counter::Key,
    /// Requests, attempts and bytes.
    pub tally: tally::Tally,
}

/// Counts of one daemon instance in one hour, or a part of them.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Page {
    /// Identity of the page.
    pub name: Name,
    /// VM of the daemon.
    pub vm: id::Vm,
    /// Incremented with each change of the page.
    pub sequence: u64,
    /// Lines with unique keys.
    pub lines: Vec<Line>,
}

impl Page {
    /// Whether this is a copy of the same page as `other` and at least as new.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        self.name == other.name && self.sequence >= other.sequence
    }
}
