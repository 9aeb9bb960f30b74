//! Objects, versions and pages of the object API.

use bytes::Bytes;

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

/// An object, or a change of one in a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Key, unique within the store.
    pub key: String,
    /// Revision of the last write.
    pub version: Version,
    /// Value, at most 1 MiB; `None` for a removal in a watch.
    pub value: Option<Bytes>,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// No precondition.
    Always,
    /// The object is absent.
    Absent,
    /// The object is at this version.
    At(Version),
}

/// A page of a listing, in key order, or of a watch, in version order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Objects of a listing, or changes of a watch.
    pub objects: Vec<Object>,
    /// Revision of the store that the page reflects.
    pub revision: Version,
    /// Key after which the next page of a listing starts; `None` on the last page.
    pub next: Option<String>,
    /// Whether the changes requested by a watch are no longer in the store's history, so that the
    /// caller must list again.
    pub compacted: bool,
}

impl Condition {
    /// Whether the condition holds for an object at version `found`; `None` if it is absent.
    #[must_use]
    pub fn holds(self, found: Option<Version>) -> bool {
        match self {
            Self::Always => true,
            Self::Absent => found.is_none(),
            Self::At(version) => found == Some(version),
        }
    }
}
