//! Calls for the replication of usage counters, so that they survive the crash of a daemon.

use bytes::Bytes;
use monsooncart_types::{id, instance};

/// A snapshot of a daemon's usage counters; a higher sequence number replaces a lower one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Copy {
    /// VM of the daemon that owns the counters.
    pub vm: id::Vm,
    /// Process instance of the owner.
    pub instance: instance::Instance,
    /// Accounting period of the counters.
    pub period: u64,
    /// Sequence number, increased with every copy of the instance.
    pub sequence: u64,
    /// Counters in the daemon's encoding.
    pub counters: Bytes,
}

/// Requests the stored copies of an instance.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fetch {
    /// Owner of the copies; every instance if `None`.
    pub instance: Option<instance::Instance>,
}

/// Stored copies of usage counters.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Copies {
    /// Copies of the requested owners.
    pub copies: Vec<Copy>,
}
