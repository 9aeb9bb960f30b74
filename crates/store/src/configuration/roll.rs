//! Writes the objects of an accepted change.

use std::time::Duration;

use futures_util::future::{self, FutureExt as _};
use futures_util::stream::{self, StreamExt as _};

use super::{Current, Entry, Failure, HEAD, Head, State, staged};
use crate::{change, error, object, store};

/// Writes at a time, so that a large change leaves most of the platform's rate to others.
const PARALLEL: usize = 4;

/// Tries of a write that the platform refuses.
const MAX_TRIES: u32 = 6;

/// Wait before the first repetition; doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// An object that was written, by us or by another who completed the same change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Written {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: object::Version,
}

/// Completes the latest change where it is pending, whoever began it.
///
/// Any number of processes may do so at a time. Gives the head afterwards.
///
/// # Errors
///
/// A call failed, or an object was written past the head.
pub async fn complete(store: &dyn store::Store) -> Result<Current, Failure> {
    let current = Current::read_head(store).await?;
    let (Some(version), Some(head)) = (current.version, &current.head) else {
        return Ok(current);
    };
    if head.state == State::Done {
        return Ok(current);
    }
    let entries = match staged::read(store, head).await {
        Ok(entries) => entries,
        // Another who completed the change has removed the parts since.
        Err(failure) => {
            let now = Current::read_head(store).await?;
            if now.version == current.version {
                return Err(failure);
            }
            return Box::pin(complete(store)).await;
        }
    };
    write(store, version, head, &entries).await?;
    Current::read_head(store).await
}

/// Writes the objects of a change and marks it as done.
pub(super) async fn write(
    store: &dyn store::Store,
    version: object::Version,
    head: &Head,
    entries: &[Entry],
) -> Result<Vec<Written>, Failure> {
    let write = |entry| write_entry(store, head, entry).boxed();
    // Boxed in a list of their own, so that the whole can run in a task of a daemon.
    let writes: Vec<future::BoxFuture<'_, _>> = entries.iter().map(write).collect();
    let results: Vec<_> = stream::iter(writes).buffered(PARALLEL).collect().await;
    let mut written = Vec::new();
    let mut overtaken = Vec::new();
    for (result, entry) in results.into_iter().zip(entries) {
        match result? {
            Some(object) => written.push(object),
            None => overtaken.push(entry.key.clone()),
        }
    }
    finish(store, version, head).await?;
    if overtaken.is_empty() {
        return Ok(written);
    }
    Err(Failure::Overtaken {
        id: head.id,
        keys: overtaken,
    })
}

/// Writes one object; `None` where another write came between without a change of its own.
async fn write_entry(
    store: &dyn store::Store,
    head: &Head,
    entry: &Entry,
) -> Result<Option<Written>, Failure> {
    let value = entry.value.encode();
    let found = match settle(store, &entry.key, value.clone(), entry.condition()).await {
        Ok(version) => {
            let key = entry.key.clone();
            return Ok(Some(Written { key, version }));
        }
        Err(change::Failure::Conflict { found, .. }) => found,
        Err(change::Failure::NotDone { error } | change::Failure::Unknown { error }) => {
            return Err(Failure::Incomplete { id: head.id, error });
        }
    };
    if let Some(object) = found.as_ref().filter(|o| o.value.as_ref() == Some(&value)) {
        let key = entry.key.clone();
        let version = object.version;
        return Ok(Some(Written { key, version }));
    }
    // The change may have been completed by another, and a later one have followed.
    let now = Current::read_head(store).await?;
    let moved = now.head.is_some_and(|now| now.id != head.id);
    Ok(found.filter(|_| moved).map(|object| Written {
        key: entry.key.clone(),
        version: object.version,
    }))
}

/// Marks a change as done and removes what it had staged.
async fn finish(
    store: &dyn store::Store,
    version: object::Version,
    head: &Head,
) -> Result<(), Failure> {
    let done = head.done();
    let condition = object::Condition::At(version);
    match settle(store, HEAD, done.encode(), condition).await {
        Ok(version) => {
            if let Err(error) = staged::clean(store, version, &done).await {
                log::debug!(error:% = error; "configuration: staged parts were left");
            }
            Ok(())
        }
        // Another marked it.
        Err(change::Failure::Conflict { .. }) => Ok(()),
        Err(change::Failure::NotDone { error } | change::Failure::Unknown { error }) => {
            Err(Failure::Incomplete { id: head.id, error })
        }
    }
}

/// A settled write that is tried again while the platform refuses it.
async fn settle(
    store: &dyn store::Store,
    key: &str,
    value: bytes::Bytes,
    condition: object::Condition,
) -> Result<object::Version, change::Failure> {
    let mut pause = FIRST_PAUSE;
    let mut tries = 1;
    loop {
        let result = change::settle(store, key, value.clone(), condition).await;
        let refused = matches!(
            &result,
            Err(change::Failure::NotDone {
                error: error::Error::NotDone { .. }
            })
        );
        if !refused || tries == MAX_TRIES {
            return result;
        }
        tokio::time::sleep(pause).await;
        pause *= 2;
        tries += 1;
    }
}
