//! Most recent changes of an in-memory store, from which watches read.

use std::collections::VecDeque;

use crate::object;

/// Changes in the order of their versions, limited in number and in bytes.
#[derive(Debug, Default)]
pub(crate) struct History {
    changes: VecDeque<object::Object>,
    /// Total size of the keys and values.
    bytes: usize,
    /// Version of the newest change that was removed.
    last_removed: object::Version,
}

impl History {
    /// Appends a change and removes the oldest ones beyond the limits.
    pub(crate) fn push(&mut self, change: object::Object, max_len: usize, max_bytes: usize) {
        self.bytes += size_bytes(&change);
        self.changes.push_back(change);
        while self.changes.len() > max_len || self.bytes > max_bytes {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= size_bytes(&oldest);
            self.last_removed = oldest.version;
        }
    }

    /// Whether changes after `since` have been removed.
    pub(crate) fn is_compacted(&self, since: object::Version) -> bool {
        since < self.last_removed
    }

    /// The changes after `since`, oldest first.
    pub(crate) fn after(
        &self,
        since: object::Version,
    ) -> impl Iterator<Item = &object::Object> + '_ {
        let start = self.changes.partition_point(|c| c.version <= since);
        self.changes.range(start..)
    }
}

fn size_bytes(change: &object::Object) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len)
}
