//! Conditional writes whose lost answers are settled by reading back.
//!
//! A write with a condition on the object's version takes effect at most once, however often it is
//! sent: its own effect breaks its condition, as long as nobody removes the object. So a write whose answer was lost is sent again, and
//! where it then meets a conflict, the object read back tells whether the first sending was the
//! cause. That holds only where no other writer writes the same bytes: a value must carry the name
//! of its writer or of its change.

use std::time::Duration;

use bytes::Bytes;

use crate::{error, object, store};

/// Sendings of a write whose answer is lost.
const MAX_TRIES: u32 = 5;

/// Wait before the first repetition; doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Why a settled write did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// Another write came first.
    #[display("object {key} was changed by another")]
    Conflict {
        /// Key of the object.
        key: String,
        /// The object as read back; `None` where it is absent.
        found: Option<object::Object>,
        /// Whether an answer was lost, so that this write may have stood before the other one.
        lost: bool,
    },
    /// The write was refused or not sent: it had no effect.
    #[display("{error}")]
    NotDone {
        /// The last error.
        error: error::Error,
    },
    /// Whether the write took effect, or will, could not be found out.
    #[display("{error}")]
    Unknown {
        /// The last error.
        error: error::Error,
    },
}

/// Writes `value` where `condition` holds, and settles lost answers by reading back.
///
/// # Errors
///
/// See [`Failure`]. With [`object::Condition::Always`] a lost answer is settled by writing again,
/// which may undo a write that came in between.
pub async fn settle(
    store: &dyn store::Store,
    key: &str,
    value: Bytes,
    condition: object::Condition,
) -> Result<object::Version, Failure> {
    let mut lost = false;
    let mut pause = FIRST_PAUSE;
    let mut tries = 1;
    loop {
        let error = match store.put(key, value.clone(), condition).await {
            Ok(version) => return Ok(version),
            Err(error::Error::Conflict { .. }) => {
                return read_back(store, key, &value, lost).await;
            }
            Err(error) => error,
        };
        lost |= matches!(error, error::Error::Unknown { .. });
        if !lost {
            return Err(Failure::NotDone { error });
        }
        if tries == MAX_TRIES {
            return Err(Failure::Unknown { error });
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
        tries += 1;
    }
}

async fn read_back(
    store: &dyn store::Store,
    key: &str,
    value: &Bytes,
    lost: bool,
) -> Result<object::Version, Failure> {
    let mut pause = FIRST_PAUSE;
    let mut tries = 1;
    let found = loop {
        match store.get(key).await {
            Ok(found) => break found,
            Err(error) if tries == MAX_TRIES && lost => return Err(Failure::Unknown { error }),
            Err(error) if tries == MAX_TRIES => return Err(Failure::NotDone { error }),
            Err(_) => {}
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
        tries += 1;
    };
    match &found {
        Some(object) if lost && object.value.as_ref() == Some(value) => Ok(object.version),
        _ => Err(Failure::Conflict {
            key: key.to_owned(),
            found,
            lost,
        }),
    }
}
