//! How attempts end and what that says of the work.

use std::time::Duration;

/// Whether a backend server may have run a request.
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
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Execution {
    /// It was not run, for certain.
    NotRun,
    /// It may have been run, be running or run later.
    Unknown,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// A whole answer came, with this status.
    Answered(u16),
    /// A whole answer came that says that the server failed; it is kept back.
    Failed(u16),
    /// Another server has the address; it refused the request as not run.
    Misdirected,
    /// The server refused the request as not run: it sheds load or is leaving.
    Shed {
        /// Whether the server said that it is leaving.
        leaving: bool,
    },
    /// No byte of the request was handed to the kernel.
    Unsent,
    /// The connection broke after bytes were sent and before a whole answer.
    Broken,
    /// No head of an answer came in time.
    Timeout,
    /// The answer's framing was wrong, or the answer was not this attempt's.
    Garbled,
    /// The caller went away first.
    Cancelled,
}

impl Outcome {
    /// What the end says of the work.
    #[must_use]
    pub fn execution(self) -> Execution {
        match self {
            Self::Shed { .. } | Self::Unsent | Self::Misdirected => Execution::NotRun,
            _ => Execution::Unknown,
        }
    }
}

/// Why the fleet itself answers a request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The queue is full, or the wait would pass the deadline.
    Overload,
    /// No server of the service may take work.
    NoServer,
    /// The request broke the servers that ran it.
    Poison,
    /// An attempt ended unknown and may not be repeated.
    Unknown,
    /// Attempts ended without an answer and no retry is left.
    Exhausted,
    /// No answer came in time.
    Timeout,
}

/// The fleet's own final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request may have been run.
    pub execution: Execution,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}
