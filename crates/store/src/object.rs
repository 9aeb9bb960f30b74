//! Objects of the platform.

use bytes::Bytes;

/// Version of an object: the store's revision at its last write.
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

/// An object as read; `value` is `None` for a removal seen in a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: Version,
    /// Its value, at most 1 MiB.
    pub value: Option<Bytes>,
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Nothing.
    Always,
    /// The object is absent.
    Absent,
    /// The object stands at this version.
    At(Version),
}

/// Objects in the order of their keys, or changes in the order of their versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The objects.
    pub objects: Vec<Object>,
    /// Revision of the store that the page reflects.
    pub revision: Version,
    /// Key to continue a listing after; `None` at its end.
    pub next: Option<String>,
    /// Whether a watch fell behind the store's history and must list again.
    pub compacted: bool,
}

impl Condition {
    /// Whether the condition holds of an object that stands at `found`, or is absent.
    #[must_use]
    pub fn holds(self, found: Option<Version>) -> bool {
        match self {
            Self::Always => true,
            Self::Absent => found.is_none(),
            Self::At(version) => found == Some(version),
        }
    }
}
