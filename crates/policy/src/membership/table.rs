//! The records that a daemon holds, with digests that two daemons compare.

use monsooncart_types::{id, instance, map, time};

use super::{member, record};
use crate::rank;

/// Parts of a digest: a difference costs the records of one part.
pub const BUCKETS: usize = 128;

/// Ended runs remembered, so that their death stays provable.
const ENDED: usize = 1 << 16;

struct Entry {
    record: record::Record,
    hash: u64,
    since: time::Time,
}

/// What came of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// Nothing new.
    Stale,
    /// The held record changed.
    Changed,
}

/// The records by VM.
pub struct Table {
    entries: map::Map<id::Vm, Entry>,
    runs: map::Map<instance::Instance, id::Vm>,
    buckets: Vec<u64>,
    ended: map::Set<instance::Instance>,
    order: std::collections::VecDeque<instance::Instance>,
    version: u64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            entries: map::Map::default(),
            runs: map::Map::default(),
            buckets: vec![0; BUCKETS],
            ended: map::Set::default(),
            order: std::collections::VecDeque::new(),
            version: 0,
        }
    }
}

fn bucket(vm: &id::Vm) -> usize {
    (rank::hash(vm.as_bytes()) % BUCKETS as u64) as usize
}

fn hash(record: &record::Record) -> u64 {
    use std::hash::{Hash as _, Hasher as _};
    let mut hasher = rustc_hash::FxHasher::default();
    record.member.vm.as_bytes().hash(&mut hasher);
    record.member.instance.hash(&mut hasher);
    record.incarnation.hash(&mut hasher);
    (record.member.state as u8).hash(&mut hasher);
    record.member.leaving.hash(&mut hasher);
    hasher.finish() | 1
}

impl Table {
    /// The record of a VM.
    #[must_use]
    pub fn get(&self, vm: &id::Vm) -> Option<&record::Record> {
        self.entries.get(vm).map(|entry| &entry.record)
    }

    /// The record of a run, while it is the last one known of its VM.
    #[must_use]
    pub fn by_instance(&self, instance: instance::Instance) -> Option<&record::Record> {
        self.get(self.runs.get(&instance)?)
    }

    /// All records, in no order.
    pub fn records(&self) -> impl Iterator<Item = &record::Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// All members, in no order.
    pub fn members(&self) -> impl Iterator<Item = &member::Member> {
        self.records().map(|record| &record.member)
    }

    /// Whether a run is known to have ended for certain.
    #[must_use]
    pub fn is_ended(&self, instance: instance::Instance) -> bool {
        self.ended.contains(&instance)
    }

    /// Since when the record of a VM has been as it is.
    #[must_use]
    pub fn changed_at(&self, vm: &id::Vm) -> Option<time::Time> {
        self.entries.get(vm).map(|entry| entry.since)
    }

    /// Grows with every change of a record.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Digest of all records, in parts.
    #[must_use]
    pub fn digest(&self) -> &[u64] {
        &self.buckets
    }

    /// Parts in which `digest` differs.
    #[must_use]
    pub fn differing(&self, digest: &[u64]) -> Vec<u32> {
        let pairs = self.buckets.iter().zip(digest).enumerate();
        let differing = pairs.filter(|(_, (mine, theirs))| mine != theirs);
        differing.map(|(part, _)| part as u32).collect()
    }

    /// Records in `parts`, `limit` at most.
    #[must_use]
    pub fn records_in(&self, parts: &[u32], limit: usize) -> Vec<record::Record> {
        let wanted: map::Set<u32> = parts.iter().copied().collect();
        let chosen = self.records().filter(|record| {
            let part = bucket(&record.member.vm) as u32;
            wanted.contains(&part)
        });
        chosen.take(limit).cloned().collect()
    }

    /// Takes a record in where it tells something new.
    ///
    /// A record of an unknown member that has ended is not taken, so that what was dropped after
    /// its retention does not come back.
    pub fn merge(&mut self, now: time::Time, record: &record::Record) -> Merge {
        let instance = record.member.instance;
        let next = match self.entries.get(&record.member.vm) {
            None if record.member.state.is_live() && !self.is_ended(instance) => record.clone(),
            None => {
                if record.member.state.is_final() {
                    self.end(instance);
                }
                return Merge::Stale;
            }
            Some(held) if held.record.member.instance != instance && self.is_ended(instance) => {
                return Merge::Stale;
            }
            Some(held) => match record.merged(&held.record) {
                None => return Merge::Stale,
                Some(next) => next,
            },
        };
        self.put(now, next);
        Merge::Changed
    }

    fn put(&mut self, now: time::Time, record: record::Record) {
        self.version += 1;
        let vm = record.member.vm.clone();
        let part = bucket(&vm);
        let hash = hash(&record);
        let instance = record.member.instance;
        let ended = record.member.state.is_final();
        let entry = Entry {
            record,
            hash,
            since: now,
        };
        if let Some(old) = self.entries.insert(vm.clone(), entry) {
            self.buckets[part] ^= old.hash;
            let earlier = old.record.member.instance;
            if earlier != instance {
                self.runs.remove(&earlier);
                self.end(earlier);
            }
        }
        self.buckets[part] ^= hash;
        self.runs.insert(instance, vm);
        if ended {
            self.end(instance);
        }
    }

    /// Remembers that a run has ended for certain.
    pub(super) fn end(&mut self, instance: instance::Instance) {
        if !self.ended.insert(instance) {
            return;
        }
        self.order.push_back(instance);
        if self.order.len() > ENDED {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.ended.remove(&oldest));
        }
    }

    /// Drops a record.
    pub fn remove(&mut self, vm: &id::Vm) {
        if let Some(old) = self.entries.remove(vm) {
            self.version += 1;
            self.buckets[bucket(vm)] ^= old.hash;
            self.runs.remove(&old.record.member.instance);
        }
    }
}
