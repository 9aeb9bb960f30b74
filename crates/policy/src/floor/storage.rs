//! Subset of the platform's object API that the ledger uses.

use crate::floor::record;

/// Version of the stored record.
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
pub struct Version(pub u64);

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// There is no record yet.
    Absent,
    /// The stored record has this version.
    At(Version),
}

/// Result of a platform call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Response {
    /// The stored record; `None` if there is none.
    Read(Option<(Version, record::Record)>),
    /// The write took effect and created this version.
    Written(Version),
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The platform is unavailable; the call had no effect.
    Unavailable,
    /// No response arrived: the call may have taken effect, or may still do so.
    Unknown,
}
