//! Results of attempts, and the responses that the fleet generates itself.

use std::time::Duration;

/// Whether a backend server may have executed a request.
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
    /// Certainly not executed.
    NotRun,
    /// May have been executed, may be executing, or may yet be executed.
    Unknown,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// A complete response with this status was received.
    Answered(u16),
    /// A complete response with this status reported a server failure; it is withheld from the
    /// caller.
    Failed(u16),
    /// Another server has the address; it refused the request without executing it.
    Misdirected,
    /// The server refused the request without executing it: it sheds load or is leaving.
    Shed {
        /// Whether the server reported that it is leaving.
        leaving: bool,
    },
    /// No byte of the request was written to the socket.
    Unsent,
    /// The server was removed from the configuration, or is known to be leaving, before the request
    /// was written to a connection.
    Removed,
    /// Nothing was sent, as another attempt has the body of the request, which is held only once.
    BodyTaken,
    /// The connection failed after bytes were sent and before the response was complete.
    Broken,
    /// No response head was received in time.
    Timeout,
    /// The response was malformed, belongs to another attempt, or states a length that it cannot
    /// reach in time.
    Garbled,
    /// The attempt was cancelled, or the caller disconnected, before it finished.
    Cancelled,
}

impl Outcome {
    /// Whether the server may have executed the request, given this result.
    #[must_use]
    pub fn execution(self) -> Execution {
        match self {
            Self::Shed { .. }
            | Self::Unsent
            | Self::Removed
            | Self::BodyTaken
            | Self::Misdirected => Execution::NotRun,
            _ => Execution::Unknown,
        }
    }
}

/// Why the fleet responds to a request itself.
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
    /// The queue is full, or waiting would exceed the deadline.
    Overload,
    /// No server of the service accepts requests.
    NoServer,
    /// The request crashed the servers that executed it.
    Poison,
    /// An attempt may have been executed, and the request is not repeatable.
    Unknown,
    /// The attempts failed and no retry is left.
    Exhausted,
    /// No response was received in time.
    Timeout,
    /// The daemon stops before a response was received.
    Stopping,
}

/// The final response to a request that the fleet generates itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub reason: Reason,
    /// Whether the request may have been executed.
    pub execution: Execution,
    /// Delay before the caller should retry; `None` if a retry would not help.
    pub retry_after: Option<Duration>,
}
