//! Rolls an accepted change forward by writing its objects.

use std::time::Duration;

use futures_util::future::{self, FutureExt as _};
use futures_util::stream::{self, StreamExt as _};

use super::{Current, Entry, Failure, HEAD, Head, State, staged};
use crate::{change, error, object, store};

/// Maximum number of concurrent writes; low, so that a large change leaves most of the platform's
/// request rate to others.
const MAX_CONCURRENT_WRITES: usize = 4;

/// Maximum number of attempts at a write that the platform rejects.
const MAX_ATTEMPTS: u32 = 6;

/// Delay before the first retry; doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// An object written by this process or by another one that completed the same change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Written {
    /// Key of the object.
    pub key: String,
    /// Version that the write produced.
    pub version: object::Version,
}

/// Completes the latest change if it is pending, whichever process began it.
///
/// Any number of processes may call this concurrently. Returns the head as read afterwards, without
/// the objects.
///
/// # Errors
///
/// Fails if a call to the platform fails or an object was modified outside of any change.
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
        // Another process may have completed the change and removed the parts.
        Err(failure) => {
            let latest = Current::read_head(store).await?;
            if latest.version == current.version {
                return Err(failure);
            }
            return Box::pin(complete(store)).await;
        }
    };
    write(store, version, head, &entries).await?;
    Current::read_head(store).await
}

/// Writes the objects of a change and marks it as done in the head.
pub(super) async fn write(
    store: &dyn store::Store,
    version: object::Version,
    head: &Head,
    entries: &[Entry],
) -> Result<Vec<Written>, Failure> {
    let write = |entry| write_entry(store, head, entry).boxed();
    // Boxed and collected first, so that the returned future is `Send` and can be spawned.
    let writes: Vec<future::BoxFuture<'_, _>> = entries.iter().map(write).collect();
    let results: Vec<_> = stream::iter(writes)
        .buffered(MAX_CONCURRENT_WRITES)
        .collect()
        .await;
    let mut written = Vec::new();
    let mut modified_externally = Vec::new();
    for (result, entry) in results.into_iter().zip(entries) {
        match result? {
            Some(object) => written.push(object),
            None => modified_externally.push(entry.key.clone()),
        }
    }
    mark_done(store, version, head).await?;
    if modified_externally.is_empty() {
        return Ok(written);
    }
    Err(Failure::ModifiedExternally {
        id: head.id,
        keys: modified_externally,
    })
}

/// Writes one object; `None` if it was modified outside of any change.
async fn write_entry(
    store: &dyn store::Store,
    head: &Head,
    entry: &Entry,
) -> Result<Option<Written>, Failure> {
    let value = entry.value.encode();
    let found = match write_with_backoff(store, &entry.key, value.clone(), entry.condition()).await
    {
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
    // Another process may have completed the change, and a later change may have been accepted.
    let latest = Current::read_head(store).await?;
    let is_superseded = latest.head.is_some_and(|latest| latest.id != head.id);
    Ok(found.filter(|_| is_superseded).map(|object| Written {
        key: entry.key.clone(),
        version: object.version,
    }))
}

/// Marks a change as done in the head and removes its staged parts.
async fn mark_done(
    store: &dyn store::Store,
    version: object::Version,
    head: &Head,
) -> Result<(), Failure> {
    let done = head.completed();
    let condition = object::Condition::At(version);
    match write_with_backoff(store, HEAD, done.encode(), condition).await {
        Ok(version) => {
            if let Err(error) = staged::remove_obsolete(store, version, &done).await {
                log::debug!(error:% = error; "configuration: could not remove all staged parts; the next change removes them");
            }
            Ok(())
        }
        // Another process has marked it as done.
        Err(change::Failure::Conflict { .. }) => Ok(()),
        Err(change::Failure::NotDone { error } | change::Failure::Unknown { error }) => {
            Err(Failure::Incomplete { id: head.id, error })
        }
    }
}

/// [`change::write`] with retries while the platform rejects the write.
async fn write_with_backoff(
    store: &dyn store::Store,
    key: &str,
    value: bytes::Bytes,
    condition: object::Condition,
) -> Result<object::Version, change::Failure> {
    let mut backoff = INITIAL_BACKOFF;
    let mut attempts = 1;
    loop {
        let result = change::write(store, key, value.clone(), condition).await;
        let is_rejected = matches!(
            &result,
            Err(change::Failure::NotDone {
                error: error::Error::NotDone { .. }
            })
        );
        if !is_rejected || attempts == MAX_ATTEMPTS {
            return result;
        }
        tokio::time::sleep(backoff).await;
        backoff *= 2;
        attempts += 1;
    }
}
