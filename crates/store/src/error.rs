//! How a call of the platform fails.

use crate::object;

/// Step of a platform call at which it failed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "lowercase")]
pub enum Step {
    /// Reading an object.
    Get,
    /// Writing an object.
    Put,
    /// Removing an object.
    Delete,
    /// Listing objects.
    List,
    /// Waiting for changes.
    Watch,
    /// Reading the VM list.
    Vms,
}

fn standing(found: Option<object::Version>) -> String {
    match found {
        Some(version) => format!("stands at version {version}"),
        None => "is absent".to_owned(),
    }
}

/// Failure of a platform call.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The condition did not hold; nothing was written.
    #[display("{step} at {peer}: object {key} {}", standing(*found))]
    Conflict {
        /// Step that failed.
        step: Step,
        /// Address of the platform.
        peer: String,
        /// Key of the object.
        key: String,
        /// Version that the object stands at; `None` where it is absent.
        found: Option<object::Version>,
    },
    /// The call was not sent or was refused: it had no effect.
    #[display("{step} at {peer}: not done: {reason}")]
    NotDone {
        /// Step that failed.
        step: Step,
        /// Address of the platform.
        peer: String,
        /// Why.
        reason: String,
    },
    /// No answer came: the call may have taken effect.
    #[display("{step} at {peer}: no answer, effect unknown: {reason}")]
    Unknown {
        /// Step that failed.
        step: Step,
        /// Address of the platform.
        peer: String,
        /// Why.
        reason: String,
    },
}
