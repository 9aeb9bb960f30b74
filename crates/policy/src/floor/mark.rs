//! Versioned ejection state of a server.

use monsooncart_types::{id, instance};

/// Version of a mark. Among the marks of one server the one with the greatest stamp wins.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Stamp {
    /// Logical clock: greater than every counter of the service that its daemon knew of.
    pub counter: u64,
    /// The daemon that made the decision; breaks ties between equal counters.
    pub by: instance::Instance,
}

impl Stamp {
    /// Less than every stamp that a daemon creates.
    pub const ZERO: Self = Self {
        counter: 0,
        by: instance::Instance(0),
    };
}

/// Origin of and reason for an ejection.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Ejection {
    /// The daemon that had the evidence.
    pub by: instance::Instance,
    /// Time in seconds since the Unix epoch; for operators only.
    pub at: u64,
    /// The evidence as text for operators.
    pub evidence: String,
}

/// Ejection state of one server at one version.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Mark {
    /// The server.
    pub server: id::Server,
    /// Version among the server's marks.
    pub stamp: Stamp,
    /// The ejection; `None` if the server was returned to service.
    pub ejection: Option<Ejection>,
}
