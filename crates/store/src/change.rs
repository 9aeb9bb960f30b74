//! Conditional writes that resolve lost responses by reading the object back.
//!
//! A write with a condition on the object's version takes effect at most once, however often it is
//! sent: once applied, it invalidates its own condition until the object is removed. A write whose
//! response was lost is therefore sent again. If that conflicts, reading the object back shows
//! whether an earlier attempt was applied. This requires that no other writer writes the same
//! bytes: a value must contain an identifier of its writer or of its change.

use std::time::Duration;

use bytes::Bytes;

use crate::{error, object, store};

/// Maximum number of attempts at a write whose responses are lost, and at the read that resolves it.
const MAX_ATTEMPTS: u32 = 5;

/// Delay before the first retry; doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Why a write did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// Another write was applied first.
    #[display("object {key} was modified by another writer")]
    Conflict {
        /// Key of the object.
        key: String,
        /// The object as read back; `None` if it is absent.
        found: Option<object::Object>,
        /// Whether a response was lost, so that this write may have been applied before the other one.
        response_lost: bool,
    },
    /// The write was rejected or not sent: it had no effect.
    #[display("{error}")]
    NotDone {
        /// The last error.
        error: error::Error,
    },
    /// It could not be determined whether the write took effect or still will.
    #[display("{error}")]
    Unknown {
        /// The last error.
        error: error::Error,
    },
}

/// Writes `value` if `condition` holds, and resolves lost responses by reading the object back.
///
/// # Errors
///
/// See [`Failure`]. With [`object::Condition::Always`] the write is repeated after a lost response,
/// which may overwrite a concurrent write.
pub async fn write(
    store: &dyn store::Store,
    key: &str,
    value: Bytes,
    condition: object::Condition,
) -> Result<object::Version, Failure> {
    let mut response_lost = false;
    let mut backoff = INITIAL_BACKOFF;
    let mut attempts = 1;
    loop {
        let error = match store.put(key, value.clone(), condition).await {
            Ok(version) => return Ok(version),
            Err(error::Error::Conflict { .. }) => {
                return read_back(store, key, &value, response_lost).await;
            }
            Err(error) => error,
        };
        response_lost |= matches!(error, error::Error::Unknown { .. });
        if !response_lost {
            return Err(Failure::NotDone { error });
        }
        if attempts == MAX_ATTEMPTS {
            return Err(Failure::Unknown { error });
        }
        tokio::time::sleep(backoff).await;
        backoff *= 2;
        attempts += 1;
    }
}

/// Reads the object after a conflict, which an earlier attempt of this write may have caused.
async fn read_back(
    store: &dyn store::Store,
    key: &str,
    value: &Bytes,
    response_lost: bool,
) -> Result<object::Version, Failure> {
    let mut backoff = INITIAL_BACKOFF;
    let mut attempts = 1;
    let found = loop {
        match store.get(key).await {
            Ok(found) => break found,
            Err(error) if attempts == MAX_ATTEMPTS && response_lost => {
                return Err(Failure::Unknown { error });
            }
            Err(error) if attempts == MAX_ATTEMPTS => return Err(Failure::NotDone { error }),
            Err(_) => {}
        }
        tokio::time::sleep(backoff).await;
        backoff *= 2;
        attempts += 1;
    };
    match &found {
        Some(object) if response_lost && object.value.as_ref() == Some(value) => Ok(object.version),
        _ => Err(Failure::Conflict {
            key: key.to_owned(),
            found,
            response_lost,
        }),
    }
}
