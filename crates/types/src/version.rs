//! Versions of the objects of a store.

/// Number of low bits of a version that hold the revision; the epoch is in the rest.
const REVISION_BITS: u32 = 40;

/// Maximum revision and maximum epoch.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;
const MAX_EPOCH: u64 = u64::MAX >> REVISION_BITS;

/// Version of an object: the epoch of the store and its revision after the object's last write.
///
/// A store that is restored from a backup starts an epoch, in which revisions are used again. Versions
/// of a later epoch are greater than all of an earlier one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
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
pub struct Version(pub u64);

impl Version {
    /// Creates the version of a revision in an epoch, which is 0 for stores without epochs.
    #[must_use]
    pub fn new(epoch: u64, revision: u64) -> Self {
        Self(epoch.min(MAX_EPOCH) << REVISION_BITS | revision.min(MAX_REVISION))
    }

    /// Epoch of the store.
    #[must_use]
    pub const fn epoch(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Revision within the epoch.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.0 & MAX_REVISION
    }
}
