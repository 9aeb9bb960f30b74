//! The membership table: a daemon's records of all members, with a digest for anti-entropy.

use monsooncart_types::{id, instance, map, time};

use super::{member, record};
use crate::rank;

/// Number of buckets of the digest; each one that differs costs the transfer of its records.
pub const BUCKETS: usize = 128;

/// Maximum number of terminated instances that are recorded, so that their termination remains
/// provable; the oldest are dropped first.
const MAX_TERMINATED: usize = 1 << 16;

struct Entry {
    record: record::Record,
    hash: u64,
    changed_at: time::Time,
}

/// Result of a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// The record contained nothing new.
    Stale,
    /// The stored record changed.
    Changed,
}

/// Records by VM.
pub struct Table {
    entries: map::Map<id::Vm, Entry>,
    vm_by_instance: map::Map<instance::Instance, id::Vm>,
    buckets: Vec<u64>,
    terminated: map::Set<instance::Instance>,
    terminated_order: std::collections::VecDeque<instance::Instance>,
    version: u64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            entries: map::Map::default(),
            vm_by_instance: map::Map::default(),
            buckets: vec![0; BUCKETS],
            terminated: map::Set::default(),
            terminated_order: std::collections::VecDeque::new(),
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
    // Never 0, so that adding a record always changes its bucket.
    hasher.finish() | 1
}

impl Table {
    /// Returns the record of a VM.
    #[must_use]
    pub fn get(&self, vm: &id::Vm) -> Option<&record::Record> {
        self.entries.get(vm).map(|entry| &entry.record)
    }

    /// Returns the record of an instance; `None` unless it is the newest known instance of its VM.
    #[must_use]
    pub fn by_instance(&self, instance: instance::Instance) -> Option<&record::Record> {
        self.get(self.vm_by_instance.get(&instance)?)
    }

    /// Iterates over all records in arbitrary order.
    pub fn records(&self) -> impl Iterator<Item = &record::Record> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Iterates over all members in arbitrary order.
    pub fn members(&self) -> impl Iterator<Item = &member::Member> {
        self.records().map(|record| &record.member)
    }

    /// Whether an instance has certainly terminated.
    #[must_use]
    pub fn is_terminated(&self, instance: instance::Instance) -> bool {
        self.terminated.contains(&instance)
    }

    /// Returns the time at which the record of a VM last changed.
    #[must_use]
    pub fn changed_at(&self, vm: &id::Vm) -> Option<time::Time> {
        self.entries.get(vm).map(|entry| entry.changed_at)
    }

    /// Returns the version of the table, which increases with every change of a record.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the digest of all records, one value per bucket.
    #[must_use]
    pub fn digest(&self) -> &[u64] {
        &self.buckets
    }

    /// Returns the indices of the buckets that differ from `digest`.
    #[must_use]
    pub fn differing_buckets(&self, digest: &[u64]) -> Vec<u32> {
        let pairs = self.buckets.iter().zip(digest).enumerate();
        let differing_buckets = pairs.filter(|(_, (local, remote))| local != remote);
        differing_buckets.map(|(bucket, _)| bucket as u32).collect()
    }

    /// Returns at most `limit` records from the given buckets.
    #[must_use]
    pub fn records_in(&self, buckets: &[u32], limit: usize) -> Vec<record::Record> {
        let buckets: map::Set<u32> = buckets.iter().copied().collect();
        let selected = self.records().filter(|record| {
            let bucket = bucket(&record.member.vm) as u32;
            buckets.contains(&bucket)
        });
        selected.take(limit).cloned().collect()
    }

    /// Merges a record into the table.
    ///
    /// A record of an unknown member that is not live is ignored, so that records removed after
    /// their retention are not added again.
    pub fn merge(&mut self, now: time::Time, record: &record::Record) -> Merge {
        let instance = record.member.instance;
        let next = match self.entries.get(&record.member.vm) {
            None if record.member.state.is_live() && !self.is_terminated(instance) => {
                record.clone()
            }
            None => {
                if record.member.state.is_final() {
                    self.record_terminated(instance);
                }
                return Merge::Stale;
            }
            Some(stored)
                if stored.record.member.instance != instance && self.is_terminated(instance) =>
            {
                return Merge::Stale;
            }
            Some(stored) => match record.merged_into(&stored.record) {
                None => return Merge::Stale,
                Some(next) => next,
            },
        };
        self.replace(now, next);
        Merge::Changed
    }

    fn replace(&mut self, now: time::Time, record: record::Record) {
        self.version += 1;
        let vm = record.member.vm.clone();
        let bucket = bucket(&vm);
        let hash = hash(&record);
        let instance = record.member.instance;
        let is_final = record.member.state.is_final();
        let entry = Entry {
            record,
            hash,
            changed_at: now,
        };
        if let Some(old) = self.entries.insert(vm.clone(), entry) {
            self.buckets[bucket] ^= old.hash;
            let earlier = old.record.member.instance;
            if earlier != instance {
                self.vm_by_instance.remove(&earlier);
                self.record_terminated(earlier);
            }
        }
        self.buckets[bucket] ^= hash;
        self.vm_by_instance.insert(instance, vm);
        if is_final {
            self.record_terminated(instance);
        }
    }

    /// Records that an instance has certainly terminated.
    pub(super) fn record_terminated(&mut self, instance: instance::Instance) {
        if !self.terminated.insert(instance) {
            return;
        }
        self.terminated_order.push_back(instance);
        if self.terminated_order.len() > MAX_TERMINATED {
            let oldest = self.terminated_order.pop_front();
            oldest.map(|oldest| self.terminated.remove(&oldest));
        }
    }

    /// Removes the record of a VM.
    pub fn remove(&mut self, vm: &id::Vm) {
        if let Some(old) = self.entries.remove(vm) {
            self.version += 1;
            self.buckets[bucket(vm)] ^= old.hash;
            self.vm_by_instance.remove(&old.record.member.instance);
        }
    }
}
