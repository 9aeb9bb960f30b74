//! Record of one completed request.

use std::time::Duration;

use monsooncart_types::id;

/// Outcome of a request as its caller observed it.
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
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// Complete response of a backend server with a status below 500.
    Answered,
    /// Complete response of a backend server with a status of 500 or above.
    Failed,
    /// Refused by the fleet; the request was not executed.
    Refused,
    /// Abandoned by the fleet; the request may have been executed.
    Unknown,
    /// The response body was truncated.
    Cut,
    /// The caller disconnected before the response was complete.
    Abandoned,
}

impl Outcome {
    /// Whether the outcome counts against the service's availability. Requests abandoned by the
    /// caller do not.
    #[must_use]
    pub fn is_bad(self) -> bool {
        !matches!(self, Self::Answered | Self::Abandoned)
    }
}

/// Fault of a request that spent error budget.
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
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// The backend server responded with an error.
    Error,
    /// The response was slower than the latency objective.
    Slow,
    /// No response arrived before the timeout.
    Timeout,
    /// A connection failed, or a body was truncated.
    Broken,
    /// All slots were in use.
    Overload,
    /// No server of the service was available.
    NoServer,
    /// Poison request: the servers that executed it crashed.
    Poison,
}

/// Decision of the fleet on a request that spent error budget.
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
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// Forwarded the response.
    Passed,
    /// Rejected the request before any attempt.
    Shed,
    /// Did not retry, as the request is not repeatable.
    NotRepeated,
    /// Retried until no retry was left.
    Exhausted,
    /// Quarantined the request: it is sent to no server.
    Quarantined,
}

/// Cause of spent error budget: a server, a fault and a decision.
#[derive(
    Clone,
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
#[display("{} {fault} {decision}", server.as_ref().map_or("-", id::Server::as_str))]
pub struct Cause {
    /// Last server that the request was sent to, if any.
    pub server: Option<id::Server>,
    /// Fault of the request.
    pub fault: Fault,
    /// Decision of the fleet.
    pub decision: Decision,
}

/// A completed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Organisation on whose behalf the request was sent.
    pub organisation: id::Organisation,
    /// Service that the request was addressed to.
    pub service: id::Service,
    /// Outcome for the caller.
    pub outcome: Outcome,
    /// Number of attempts.
    pub attempts: u32,
    /// Body bytes received from the caller.
    pub received: u64,
    /// Body bytes sent to the caller.
    pub sent: u64,
    /// Time to the response head.
    pub latency: Duration,
    /// Cause of a failure. A slow response may have none.
    pub cause: Option<Cause>,
}
