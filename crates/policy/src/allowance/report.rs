//! Message by which a daemon tells the others its weights.

use monsooncart_types::instance;

use super::{Organisation, weight};

/// Maximum number of weights in a report, so that it fits a datagram.
pub const MAX_CLAIMS: usize = 56;

/// A daemon's weight for an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// The organisation.
    pub organisation: Organisation,
    /// The weight.
    pub weight: weight::Weight,
}

/// Changes of a daemon's weights, which it numbers, for one other daemon.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// The reporting daemon.
    pub from: instance::Instance,
    /// Identifies its VM, of which the latest instance alone has weights.
    pub vm: u64,
    /// Number of the last change before those of the report.
    pub since: u64,
    /// Number of the last change of the report.
    pub upto: u64,
    /// The weights that changed, as they are at the last change.
    pub claims: Vec<Claim>,
    /// Whether no later change is left out for lack of room.
    pub is_whole: bool,
    /// Number of the last change that it has of the receiver.
    pub echo: u64,
    /// Whether the daemon stops and uses no part any more.
    pub is_last: bool,
}
