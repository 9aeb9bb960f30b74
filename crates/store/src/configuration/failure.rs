//! Why a change failed or its result is unknown.

use monsooncart_config::{diff, object as config};

use super::{Id, PastChange};
use crate::error;

/// Why a change failed or its result is unknown.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// Another change was accepted first; no part of this one was applied.
    #[display("another change was accepted first")]
    Conflict {
        /// Changes accepted since the base, latest first.
        others: Vec<PastChange>,
        /// Whether there may be further ones, which the head's history no longer contains.
        more: bool,
        /// Differences that this change would have applied.
        wanted: diff::Diff,
    },
    /// Another writer modified objects of the change directly, without a change of its own; the
    /// remaining objects were written.
    #[display("change {id}: objects were modified outside of any change: {}",
              keys.join(", "))]
    ModifiedExternally {
        /// The change.
        id: Id,
        /// Keys of the modified objects.
        keys: Vec<String>,
    },
    /// A call failed before the change was accepted: nothing was applied.
    #[display("nothing was applied: {error}")]
    NotDone {
        /// The call's error.
        error: error::Error,
    },
    /// It could not be determined whether the change was accepted.
    #[display("change {id}: unknown whether it was accepted: {error}")]
    Unknown {
        /// The change.
        id: Id,
        /// The call's error.
        error: error::Error,
    },
    /// The change was accepted, but some of its objects are not written yet.
    #[display("change {id} was accepted, but not all of its objects are written: {error}")]
    Incomplete {
        /// The change.
        id: Id,
        /// The call's error.
        error: error::Error,
    },
    /// A stored object could not be decoded or has unexpected contents.
    #[display("object {key}: {reason}")]
    Corrupt {
        /// Key of the object.
        key: String,
        /// Description of the problem.
        reason: String,
    },
    /// The new value of an object is too large.
    #[display(
        "object {key} is {size} bytes: expected at most {}",
        config::MAX_OBJECT_BYTES
    )]
    TooLarge {
        /// Key of the object.
        key: config::Key,
        /// Size of the encoded value, in bytes.
        size: usize,
    },
}

impl Failure {
    pub(super) fn not_done(error: error::Error) -> Self {
        Self::NotDone { error }
    }
}
