//! Applies a fleet as one change.

use monsooncart_config::{diff, fleet, object as config};
use monsooncart_types::id as name;

use super::{Current, Entry, Failure, HEAD, Head, Id, State, Written, head, roll, staged};
use crate::{change, object, store};

/// An applied change.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Identifier of the change; `None` if the stored configuration was already equal to the fleet.
    pub id: Option<Id>,
    /// Differences that it applied.
    pub diff: diff::Diff,
    /// Objects that it wrote.
    pub written: Vec<Written>,
}

/// Changes the stored configuration to `fleet`.
///
/// A pending change is completed first. If `base` is given, the fleet is applied only if `base` is
/// still the latest change.
///
/// # Errors
///
/// See [`Failure`].
pub async fn apply(
    store: &dyn store::Store,
    operator: &name::Operator,
    fleet: &fleet::Fleet,
    base: Option<Id>,
) -> Result<Applied, Failure> {
    let current = read_completed(store).await?;
    let diff = diff_to(&current, fleet);
    if let Some(base) = base {
        check_base(&current, base, &diff)?;
    }
    if diff.is_empty() {
        let id = None;
        let written = Vec::new();
        return Ok(Applied { id, diff, written });
    }
    let entries = build_entries(&current, &diff)?;
    let base_version = current.version.unwrap_or_default();
    let previous = current.head.as_ref();
    let mut head = Head::new(
        Id::random(),
        operator.clone(),
        base_version.0,
        previous,
        &diff,
    );
    stage(store, &mut head, &entries).await?;
    let accepted_version = accept(store, &current, &head, &diff).await?;
    let written = match accepted_version {
        Some(version) => roll::write(store, version, &head, &entries).await?,
        None => read_written(store, &entries).await?,
    };
    Ok(Applied {
        id: Some(head.id),
        diff,
        written,
    })
}

/// Completes pending changes and reads the configuration under a head that is not pending.
///
/// A change based on a pending head could be accepted before the pending change is completely
/// written; the remaining writes of the pending change would then be lost.
async fn read_completed(store: &dyn store::Store) -> Result<Current, Failure> {
    loop {
        roll::complete(store).await?;
        let current = Current::read(store).await?;
        let is_pending = |head: &Head| head.state == State::Pending;
        if !current.head.as_ref().is_some_and(is_pending) {
            return Ok(current);
        }
    }
}

/// Differences between the stored objects and those of `fleet`.
#[must_use]
fn diff_to(current: &Current, fleet: &fleet::Fleet) -> diff::Diff {
    let stored = current.objects.iter();
    let old = stored.map(|(key, stored)| (key.clone(), stored.value.clone()));
    let new = config::split(fleet).into_iter().collect();
    diff::Diff::between(&old.collect(), &new)
}

impl Current {
    /// Differences between this configuration and `fleet`.
    #[must_use]
    pub fn diff(&self, fleet: &fleet::Fleet) -> diff::Diff {
        diff_to(self, fleet)
    }
}

fn check_base(current: &Current, base: Id, diff: &diff::Diff) -> Result<(), Failure> {
    let history = current.head.as_ref().map(Head::history).unwrap_or_default();
    if history.first().is_some_and(|latest| latest.id == base) {
        return Ok(());
    }
    Err(conflict(&history, Some(base), diff))
}

/// The conflict with the changes in `history` that were accepted after `base`.
fn conflict(history: &[super::PastChange], base: Option<Id>, wanted: &diff::Diff) -> Failure {
    let later = history.iter().take_while(|past| Some(past.id) != base);
    let others: Vec<_> = later.cloned().collect();
    Failure::Conflict {
        more: base.is_some() && others.len() == history.len(),
        others,
        wanted: wanted.clone(),
    }
}

/// The object writes that apply `diff`.
fn build_entries(current: &Current, diff: &diff::Diff) -> Result<Vec<Entry>, Failure> {
    let entry = |change: &diff::Change| {
        let size = change.value.encode().len();
        if size > config::MAX_OBJECT_BYTES {
            let key = change.key.clone();
            return Err(Failure::TooLarge { key, size });
        }
        Ok(Entry {
            key: change.key.to_string(),
            base: current
                .objects
                .get(&change.key)
                .map(|stored| stored.version),
            value: change.value.clone(),
        })
    };
    diff.0.iter().map(entry).collect()
}

/// Stores the entries in the head, or in staged parts if they are too large for it.
async fn stage(
    store: &dyn store::Store,
    head: &mut Head,
    entries: &[Entry],
) -> Result<(), Failure> {
    let sizes = entries.iter().map(|e| e.value.encode().len() + e.key.len());
    if sizes.sum::<usize>() <= head::MAX_INLINE_BYTES {
        head.entries = entries.to_vec();
        return Ok(());
    }
    let parts = staged::split(entries);
    head.parts = parts.iter().map(|part| staged::digest(part)).collect();
    let result = staged::write(store, head, &parts).await;
    result.map_err(|failure| match failure {
        change::Failure::NotDone { error } | change::Failure::Unknown { error } => {
            Failure::NotDone { error }
        }
        change::Failure::Conflict { key, .. } => Failure::Corrupt {
            key,
            reason: "staged part belongs to another change".to_owned(),
        },
    })
}

/// Writes the head if it is still at the version of `current`. Returns its new version, or `None` if
/// the change was accepted and another process has completed it since.
async fn accept(
    store: &dyn store::Store,
    current: &Current,
    head: &Head,
    diff: &diff::Diff,
) -> Result<Option<object::Version>, Failure> {
    let condition = match current.version {
        Some(version) => object::Condition::At(version),
        None => object::Condition::Absent,
    };
    let found = match change::write(store, HEAD, head.encode(), condition).await {
        Ok(version) => return Ok(Some(version)),
        Err(change::Failure::Conflict { found, .. }) => found,
        Err(change::Failure::NotDone { error }) => return Err(Failure::NotDone { error }),
        Err(change::Failure::Unknown { error }) => {
            return Err(Failure::Unknown { id: head.id, error });
        }
    };
    let value = found.and_then(|object| object.value).unwrap_or_default();
    let other = Head::decode(&value).map_err(|error| Failure::Corrupt {
        key: HEAD.to_owned(),
        reason: error.to_string(),
    })?;
    if other.includes(head.id) {
        return Ok(None);
    }
    let base = current.head.as_ref().map(|head| head.id);
    Err(conflict(&other.history(), base, diff))
}

/// Versions of the objects that another process wrote for this change.
async fn read_written(
    store: &dyn store::Store,
    entries: &[Entry],
) -> Result<Vec<Written>, Failure> {
    roll::complete(store).await?;
    let mut written = Vec::new();
    for entry in entries {
        let object = store.get(&entry.key).await.map_err(Failure::not_done)?;
        written.extend(object.map(|object| Written {
            key: entry.key.clone(),
            version: object.version,
        }));
    }
    Ok(written)
}
