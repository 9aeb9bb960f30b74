//! Error budget histories of other instances, stored as the parts of their snapshots.
//!
//! They are retained after the platform has them, so that reports still cover replaced daemons
//! while the platform is unavailable.

use std::collections::BTreeMap;

use monsooncart_usage::burn::snapshot;

/// Maximum number of series that a peer stores per part.
const MAX_SERIES_PER_PART: usize = 8;

/// Maximum number of stored parts: those of 32 instances, 23 MB if every series is full.
const MAX_PARTS: usize = 32 * snapshot::PARTS as usize;

/// The newest parts of other instances' histories.
#[derive(Debug, Default)]
pub struct Histories {
    parts: BTreeMap<snapshot::Name, Entry>,
}

#[derive(Debug)]
struct Entry {
    part: snapshot::Part,
    /// Whether the platform has this part or a newer version of it.
    is_confirmed: bool,
}

impl Histories {
    /// Stores a part unless the same or a newer version of it is stored; evicts the oldest parts
    /// above the limit.
    pub fn insert(&mut self, part: snapshot::Part) {
        let name = part.name;
        let current = self.parts.get(&name);
        if current.is_some_and(|entry| entry.part.sequence >= part.sequence) {
            return;
        }
        let is_confirmed = false;
        self.parts.insert(name, Entry { part, is_confirmed });
        while self.parts.len() > MAX_PARTS {
            let oldest = self
                .parts
                .values()
                .min_by_key(|entry| entry.part.newest_hour_start());
            let Some(oldest) = oldest.map(|entry| entry.part.name) else {
                return;
            };
            self.parts.remove(&oldest);
        }
    }

    /// All stored parts.
    pub fn all(&self) -> impl Iterator<Item = &snapshot::Part> {
        self.parts.values().map(|entry| &entry.part)
    }

    /// Parts that the platform is not known to have.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &snapshot::Part> {
        let unconfirmed = self.parts.values().filter(|entry| !entry.is_confirmed);
        unconfirmed.map(|entry| &entry.part)
    }

    /// Names of the parts whose newest counts are from before `seconds` since the Unix epoch.
    pub fn older_than(&self, seconds: u64) -> impl Iterator<Item = snapshot::Name> {
        let entries = self.parts.values();
        let old = entries.filter(move |entry| entry.part.newest_hour_start() < seconds);
        old.map(|entry| entry.part.name)
    }

    /// Removes a part.
    pub fn remove(&mut self, name: snapshot::Name) {
        self.parts.remove(&name);
    }

    /// Records that the platform has this part or a newer version of it.
    pub fn confirm(&mut self, part: &snapshot::Part) {
        if let Some(entry) = self.parts.get_mut(&part.name) {
            entry.is_confirmed = entry.part.sequence <= part.sequence;
        }
    }
}

/// Limits a part to the series sent to peers: those of whole services first, then those with the
/// most faults.
#[must_use]
pub fn truncate_lines(mut part: snapshot::Part) -> snapshot::Part {
    let rank = |line: &snapshot::Line| {
        let is_detail = !line.subject.is_service();
        (is_detail, std::cmp::Reverse(line.series.faults()))
    };
    part.lines.sort_by_key(rank);
    part.lines.truncate(MAX_SERIES_PER_PART);
    part
}

/// Adds to a truncated part the series that only an older version of it has.
#[must_use]
pub fn restore_lines(mut part: snapshot::Part, older: snapshot::Part) -> snapshot::Part {
    for line in older.lines {
        if part.lines.iter().all(|l| l.subject != line.subject) {
            part.lines.push(line);
        }
    }
    part
}
