//! Anti-entropy reconciliation of the membership tables and the retained updates of two daemons.

use monsooncart_policy::membership::record;

use crate::update;

/// Maximum number of records in a request or reply.
pub const MAX_RECORDS: usize = 8192;

/// The caller's retained updates.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Retained {
    /// Not stated: the request only delivers records and updates.
    Unsaid,
    /// Hash of the identifiers.
    Hash(u64),
    /// All identifiers.
    Ids(Vec<u64>),
}

/// Delivers records and updates to the callee, and requests what differs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Digest of the caller's membership table, by hash buckets; empty if the request only delivers.
    pub digest: Vec<u64>,
    /// Membership records for the callee.
    pub records: Vec<record::Record>,
    /// The caller's retained updates.
    pub retained: Retained,
    /// Updates for the callee.
    pub updates: Vec<update::Item>,
}

/// Differences between the callee's state and the caller's.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Indices of the digest's buckets that differ.
    pub buckets: Vec<u32>,
    /// The callee's records in those buckets.
    pub records: Vec<record::Record>,
    /// Whether the hashes of the retained updates differ.
    pub retained_differs: bool,
    /// Retained updates that the caller does not have.
    pub updates: Vec<update::Item>,
    /// Identifiers from the caller's list that the callee has not received.
    pub missing_ids: Vec<u64>,
}
