//! Object versions stored by one daemon.

use std::collections::BTreeMap;
use std::fmt;

use crate::rollout::{digest, entry};

/// Versions by key, with a digest of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Versions<K> {
    buckets: Vec<BTreeMap<K, entry::Version>>,
    digest: digest::Digest,
}

impl<K> Default for Versions<K> {
    fn default() -> Self {
        Self {
            buckets: (0..digest::BUCKETS).map(|_| BTreeMap::new()).collect(),
            digest: digest::Digest::default(),
        }
    }
}

impl<K: fmt::Display + Ord + Clone> Versions<K> {
    /// Stores a version if it is newer than the stored one; returns whether it was. The caller
    /// applies the object only in that case.
    pub fn update(&mut self, key: &K, version: entry::Version) -> bool {
        if !self.is_newer(key, version) {
            return false;
        }
        let bucket = digest::Digest::bucket(key);
        let old = self.buckets[bucket].insert(key.clone(), version);
        if let Some(old) = old {
            self.digest.remove(key, old);
        }
        self.digest.add(key, version);
        true
    }

    /// Whether `version` is newer than the stored one.
    #[must_use]
    pub fn is_newer(&self, key: &K, version: entry::Version) -> bool {
        self.version(key).is_none_or(|stored| stored < version)
    }

    /// Returns the stored version of an object.
    #[must_use]
    pub fn version(&self, key: &K) -> Option<entry::Version> {
        let bucket = &self.buckets[digest::Digest::bucket(key)];
        bucket.get(key).copied()
    }

    /// Returns the digest of all stored versions.
    #[must_use]
    pub fn digest(&self) -> &digest::Digest {
        &self.digest
    }

    /// Returns the entries in these buckets, ignoring indices out of range.
    #[must_use]
    pub fn entries_in(&self, buckets: &[usize]) -> Vec<entry::Entry<K>> {
        let buckets = buckets
            .iter()
            .filter_map(|bucket| self.buckets.get(*bucket));
        let entry = |(key, version): (&K, &entry::Version)| entry::Entry {
            key: key.clone(),
            version: *version,
        };
        buckets.flatten().map(entry).collect()
    }

    /// Returns those of another daemon's entries that are newer than the stored ones and should be
    /// pulled from it.
    #[must_use]
    pub fn missing(&self, entries: &[entry::Entry<K>]) -> Vec<entry::Entry<K>> {
        let newer = |e: &&entry::Entry<K>| self.is_newer(&e.key, e.version);
        entries.iter().filter(newer).cloned().collect()
    }

    /// Returns the number of objects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.iter().map(BTreeMap::len).sum()
    }

    /// Whether there are no objects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
