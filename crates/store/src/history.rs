//! The last changes of an in-memory store, for its watches.

use std::collections::VecDeque;

use crate::object;

/// Changes kept in the order of their versions, bounded in number and in bytes.
#[derive(Debug, Default)]
pub(crate) struct History {
    changes: VecDeque<object::Object>,
    bytes: usize,
    dropped: object::Version,
}

impl History {
    /// Appends a change and drops the oldest beyond the limits.
    pub(crate) fn push(&mut self, change: object::Object, max_len: usize, max_bytes: usize) {
        self.bytes += size(&change);
        self.changes.push_back(change);
        while self.changes.len() > max_len || self.bytes > max_bytes {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= size(&oldest);
            self.dropped = oldest.version;
        }
    }

    /// Whether changes after `since` were dropped.
    pub(crate) fn lacks(&self, since: object::Version) -> bool {
        since < self.dropped
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

fn size(change: &object::Object) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len)
}
