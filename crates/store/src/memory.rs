//! In-memory object API and VM list, for a single process or for a platform simulator.
//!
//! Every write increments the store's revision, and an object's version is the revision of its last
//! write, so versions are never reused. Watches read a bounded history: a watch that asks for
//! changes that are no longer in it gets `compacted` and no objects.

use std::collections::BTreeMap;
use std::ops;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use crate::{counter, error, history, object, store, vms};

/// Maximum size of a value, in bytes.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 512;

const MAX_PAGE_OBJECTS: usize = 1000;

/// Total size of values at which a page ends; the last value may exceed it.
const TARGET_PAGE_BYTES: usize = 4 << 20;

const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Peer name in errors.
const PEER_NAME: &str = "memory";

/// Limits of the history from which watches read.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of changes.
    pub changes: usize,
    /// Maximum total size of keys and values, in bytes.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            changes: 100_000,
            bytes: 64 << 20,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, (object::Version, Bytes)>,
    history: history::History,
    revision: object::Version,
    vms: Vec<vms::Vm>,
}

/// In-memory object API and VM list.
#[derive(Debug)]
pub struct Memory {
    state: Mutex<State>,
    revision: watch::Sender<object::Version>,
    counter: counter::Counter,
    limits: Limits,
}

impl Default for Memory {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Memory {
    /// Creates an empty store with an empty VM list.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            state: Mutex::default(),
            revision: watch::Sender::new(object::Version::default()),
            counter: counter::Counter::default(),
            limits,
        }
    }

    /// Calls made so far, by operation.
    #[must_use]
    pub fn counter(&self) -> &counter::Counter {
        &self.counter
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<vms::Vm>) {
        self.lock().vms = vms;
    }

    /// Adds a VM to the list, or replaces the one with the same name.
    pub fn set_vm(&self, vm: vms::Vm) {
        let mut state = self.lock();
        state.vms.retain(|other| other.name != vm.name);
        state.vms.push(vm);
    }

    /// The VM list, without counting a call.
    #[must_use]
    pub fn vm_list(&self) -> Vec<vms::Vm> {
        self.lock().vms.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn read_object(&self, key: &str) -> Option<object::Object> {
        let state = self.lock();
        let (version, value) = state.objects.get(key)?;
        Some(object::Object {
            key: key.to_owned(),
            version: *version,
            value: Some(value.clone()),
        })
    }

    /// Writes `value`, or removes the object if it is `None`.
    fn write(
        &self,
        operation: error::Operation,
        key: &str,
        value: Option<Bytes>,
        condition: object::Condition,
    ) -> Result<object::Version, error::Error> {
        validate(operation, key, value.as_ref())?;
        let mut state = self.lock();
        let found = state.objects.get(key).map(|(version, _)| *version);
        if !condition.holds(found) {
            return Err(error::Error::Conflict {
                operation,
                peer: PEER_NAME.to_owned(),
                key: key.to_owned(),
                found,
            });
        }
        if value.is_none() && found.is_none() {
            return Ok(state.revision);
        }
        let version = object::Version(state.revision.0 + 1);
        state.revision = version;
        match &value {
            Some(value) => state
                .objects
                .insert(key.to_owned(), (version, value.clone())),
            None => state.objects.remove(key),
        };
        let change = object::Object {
            key: key.to_owned(),
            version,
            value,
        };
        state
            .history
            .push(change, self.limits.changes, self.limits.bytes);
        drop(state);
        self.revision.send_if_modified(|latest| {
            let is_newer = version > *latest;
            *latest = version.max(*latest);
            is_newer
        });
        Ok(version)
    }

    /// A page of the objects under `prefix` with keys greater than `after`.
    fn list_page(&self, prefix: &str, after: &str) -> object::Page {
        let state = self.lock();
        let mut page = object::Page {
            revision: state.revision,
            ..object::Page::default()
        };
        let start = match after < prefix {
            true => ops::Bound::Included(prefix),
            false => ops::Bound::Excluded(after),
        };
        let mut bytes = 0;
        let range = state
            .objects
            .range::<str, _>((start, ops::Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix));
        for (key, (version, value)) in range {
            if page.objects.len() >= MAX_PAGE_OBJECTS || bytes >= TARGET_PAGE_BYTES {
                page.next = page.objects.last().map(|last| last.key.clone());
                break;
            }
            bytes += value.len();
            page.objects.push(object::Object {
                key: key.clone(),
                version: *version,
                value: Some(value.clone()),
            });
        }
        page
    }

    /// A page of the changes under `prefix` after `since`.
    fn read_changes(&self, prefix: &str, since: object::Version) -> object::Page {
        let state = self.lock();
        let mut page = object::Page {
            revision: state.revision,
            ..object::Page::default()
        };
        // The revision is lower than `since` only if the store has lost its data.
        if state.history.is_compacted(since) || since > state.revision {
            page.compacted = true;
            return page;
        }
        let mut bytes = 0;
        for change in state.history.after(since) {
            if !change.key.starts_with(prefix) {
                continue;
            }
            if page.objects.len() >= MAX_PAGE_OBJECTS || bytes >= TARGET_PAGE_BYTES {
                page.revision = page.objects.last().map_or(since, |last| last.version);
                break;
            }
            bytes += change.value.as_ref().map_or(0, Bytes::len);
            page.objects.push(change.clone());
        }
        page
    }

    async fn wait_for_changes(
        &self,
        prefix: &str,
        since: object::Version,
        wait: Duration,
    ) -> object::Page {
        let mut revision = self.revision.subscribe();
        let deadline = tokio::time::Instant::now() + wait.min(MAX_WATCH_WAIT);
        loop {
            revision.mark_unchanged();
            let page = self.read_changes(prefix, since);
            if page.compacted || !page.objects.is_empty() {
                return page;
            }
            let changed = tokio::time::timeout_at(deadline, revision.changed()).await;
            if changed.is_err() {
                return self.read_changes(prefix, since);
            }
        }
    }
}

fn validate(
    operation: error::Operation,
    key: &str,
    value: Option<&Bytes>,
) -> Result<(), error::Error> {
    let invalid = |reason: String| error::Error::NotDone {
        operation,
        peer: PEER_NAME.to_owned(),
        reason,
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(invalid(format!(
            "key {key:?} is not 1 to {MAX_KEY_BYTES} bytes long"
        )));
    }
    let len = value.map_or(0, Bytes::len);
    if len > MAX_OBJECT_BYTES {
        return Err(invalid(format!(
            "value of {key} is {len} bytes: expected at most {MAX_OBJECT_BYTES}"
        )));
    }
    Ok(())
}

impl store::Store for Memory {
    fn get<'a>(&'a self, key: &'a str) -> store::CallFuture<'a, Option<object::Object>> {
        self.counter.count(error::Operation::Get);
        Box::pin(async move { Ok(self.read_object(key)) })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: object::Condition,
    ) -> store::CallFuture<'a, object::Version> {
        self.counter.count(error::Operation::Put);
        Box::pin(async move { self.write(error::Operation::Put, key, Some(value), condition) })
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        condition: object::Condition,
    ) -> store::CallFuture<'a, ()> {
        self.counter.count(error::Operation::Delete);
        Box::pin(async move {
            self.write(error::Operation::Delete, key, None, condition)?;
            Ok(())
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, after: &'a str) -> store::CallFuture<'a, object::Page> {
        self.counter.count(error::Operation::List);
        Box::pin(async move { Ok(self.list_page(prefix, after)) })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: object::Version,
        wait: Duration,
    ) -> store::CallFuture<'a, object::Page> {
        self.counter.count(error::Operation::Watch);
        Box::pin(async move { Ok(self.wait_for_changes(prefix, since, wait).await) })
    }
}

impl vms::List for Memory {
    fn vms(&self) -> store::CallFuture<'_, Vec<vms::Vm>> {
        self.counter.count(error::Operation::Vms);
        Box::pin(async move { Ok(self.vm_list()) })
    }
}
