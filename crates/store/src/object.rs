//! Objects, versions and pages of the object API.

use bytes::Bytes;

pub use monsooncart_types::version::Version;

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
