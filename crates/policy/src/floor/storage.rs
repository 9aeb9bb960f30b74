//! What the ledger needs of the platform's object API.

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

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// There is no record yet.
    Absent,
    /// The record stands at this version.
    At(Version),
}

/// The answer to a call of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Response {
    /// The record as it stands; `None` where there is none.
    Read(Option<(Version, record::Record)>),
    /// The write took effect and made this version.
    Written(Version),
    /// The condition did not hold: nothing was written.
    Conflict,
    /// The call had no effect: the platform is not to be had.
    Unavailable,
    /// No answer came: the call may have taken effect, or may yet.
    Unknown,
}
