//! Errors of calls to the platform.

use crate::object;

/// Operation of the platform.
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
pub enum Operation {
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

fn describe(found: Option<object::Version>) -> String {
    match found {
        Some(version) => format!("is at version {version}"),
        None => "is absent".to_owned(),
    }
}

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The condition did not hold; nothing was written.
    #[display("{operation} at {peer}: object {key} {}", describe(*found))]
    Conflict {
        /// Operation that failed.
        operation: Operation,
        /// Address of the platform.
        peer: String,
        /// Key of the object.
        key: String,
        /// Current version of the object; `None` if it is absent.
        found: Option<object::Version>,
    },
    /// The call was not sent or was rejected: it had no effect.
    #[display("{operation} at {peer}: had no effect: {reason}")]
    NotDone {
        /// Operation that failed.
        operation: Operation,
        /// Address of the platform.
        peer: String,
        /// Cause of the failure.
        reason: String,
    },
    /// There was no conclusive response: the call may have taken effect.
    #[display("{operation} at {peer}: unknown whether it took effect: {reason}")]
    Unknown {
        /// Operation that failed.
        operation: Operation,
        /// Address of the platform.
        peer: String,
        /// Cause of the failure.
        reason: String,
    },
}

impl Error {
    /// Operation that failed.
    #[must_use]
    pub fn operation(&self) -> Operation {
        match self {
            Self::Conflict { operation, .. }
            | Self::NotDone { operation, .. }
            | Self::Unknown { operation, .. } => *operation,
        }
    }
}
