//! Error budget snapshots stored for other instances.
//!
//! They are retained after the platform has them, so that reports still cover replaced daemons while
//! the platform is unavailable.

use std::collections::BTreeMap;

use monsooncart_usage::burn::snapshot;

/// Upper bound of the series that a peer stores per part.
const MAX_SERIES_PER_PART: usize = 8;

/// Upper bound of stored parts: those of 32 instances, 23 MB if every series is full.
const MAX_PARTS: usize = 32 * snapshot::PARTS as usize;

/// Snapshots of other instances, by part.
#[derive(Debug, Default)]
pub struct Histories {
    parts: BTreeMap<snapshot::Name, Entry>,
}

#[derive(Debug)]
struct Entry {
    snapshot: snapshot::Snapshot,
    /// Whether the platform has this snapshot.
    stored: bool,
}

impl Histories {
    /// Stores a snapshot unless the same or a newer one is stored; evicts the oldest parts above the
    /// limit.
    pub fn insert(&mut self, snapshot: snapshot::Snapshot) {
        let name = snapshot.name;
        let current = self.parts.get(&name);
        if current.is_some_and(|entry| entry.snapshot.sequence >= snapshot.sequence) {
            return;
        }
        let stored = false;
        self.parts.insert(name, Entry { snapshot, stored });
        while self.parts.len() > MAX_PARTS {
            let oldest = self
                .parts
                .values()
                .min_by_key(|entry| entry.snapshot.newest_hour_start());
            let Some(oldest) = oldest.map(|entry| entry.snapshot.name) else {
                return;
            };
            self.parts.remove(&oldest);
        }
    }

    /// All stored snapshots.
    pub fn all(&self) -> impl Iterator<Item = &snapshot::Snapshot> {
        self.parts.values().map(|entry| &entry.snapshot)
    }

    /// Snapshots that the platform is not known to have.
    pub fn unstored(&self) -> impl Iterator<Item = &snapshot::Snapshot> {
        let unstored = self.parts.values().filter(|entry| !entry.stored);
        unstored.map(|entry| &entry.snapshot)
    }

    /// Parts whose newest count is before `seconds` since the Unix epoch.
    pub fn older_than(&self, seconds: u64) -> impl Iterator<Item = snapshot::Name> {
        let entries = self.parts.values();
        let old = entries.filter(move |entry| entry.snapshot.newest_hour_start() < seconds);
        old.map(|entry| entry.snapshot.name)
    }

    /// Removes a part.
    pub fn remove(&mut self, name: snapshot::Name) {
        self.parts.remove(&name);
    }

    /// Records that the platform has this snapshot or a newer one.
    pub fn mark_stored(&mut self, snapshot: &snapshot::Snapshot) {
        if let Some(entry) = self.parts.get_mut(&snapshot.name) {
            entry.stored = entry.snapshot.sequence <= snapshot.sequence;
        }
    }
}

/// Limits a part to the series sent to peers: whole services first, then those with most faults.
#[must_use]
pub fn truncate_lines(mut snapshot: snapshot::Snapshot) -> snapshot::Snapshot {
    let rank = |line: &snapshot::Line| {
        let is_detail = !line.subject.is_service();
        (is_detail, std::cmp::Reverse(line.series.faults()))
    };
    snapshot.lines.sort_by_key(rank);
    snapshot.lines.truncate(MAX_SERIES_PER_PART);
    snapshot
}

/// Adds the series missing after truncation from an older snapshot of the same part.
#[must_use]
pub fn restore_lines(
    mut snapshot: snapshot::Snapshot,
    older: snapshot::Snapshot,
) -> snapshot::Snapshot {
    for line in older.lines {
        if snapshot.lines.iter().all(|l| l.subject != line.subject) {
            snapshot.lines.push(line);
        }
    }
    snapshot
}
