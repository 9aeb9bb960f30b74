//! Why a change was not made, or not settled.

use monsooncart_config::{diff, object as config};

use super::{Id, Past};
use crate::error;

/// Why a change was not made, or not settled.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// Another change came first; nothing of this one was applied.
    #[display("another change came first")]
    Conflict {
        /// The changes that came between, latest first.
        others: Vec<Past>,
        /// Whether there may be more of them than are remembered.
        more: bool,
        /// What this change wanted.
        wanted: diff::Diff,
    },
    /// Objects of the change were written by others in between, past the head; the others of the
    /// change stand.
    #[display("change {id}: objects were written by others without a change of their own: {}",
              keys.join(", "))]
    Overtaken {
        /// The change.
        id: Id,
        /// Keys of the objects.
        keys: Vec<String>,
    },
    /// A call failed before the change was accepted: nothing was applied.
    #[display("nothing was applied: {error}")]
    NotDone {
        /// The error.
        error: error::Error,
    },
    /// Whether the change was accepted could not be found out.
    #[display("change {id}: whether it was accepted is unknown: {error}")]
    Unknown {
        /// The change.
        id: Id,
        /// The error.
        error: error::Error,
    },
    /// The change is accepted, and some of its objects are not written yet.
    #[display("change {id} is accepted and not yet written whole: {error}")]
    Incomplete {
        /// The change.
        id: Id,
        /// The error.
        error: error::Error,
    },
    /// An object of the platform is not what it should be.
    #[display("object {key}: {reason}")]
    Corrupt {
        /// Its key.
        key: String,
        /// What is wrong.
        reason: String,
    },
    /// The new value of an object is too large.
    #[display(
        "object {key} takes {size} bytes: expected at most {}",
        config::MAX_SIZE
    )]
    TooLarge {
        /// Its key.
        key: config::Key,
        /// Its size.
        size: usize,
    },
}

impl Failure {
    pub(super) fn not_done(error: error::Error) -> Self {
        Self::NotDone { error }
    }
}
