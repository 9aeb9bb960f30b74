//! Usage counter shared by all worker threads.
//!
//! The counts are sharded by organisation and service, with a lock per shard. [`Counter::take`]
//! returns and resets the counts, so each request is in the result of exactly one call.

use std::hash::{BuildHasher, BuildHasherDefault, Hash};
use std::sync::{Mutex, PoisonError};

use monsooncart_types::{id, map};

use crate::{sample, tally};

/// Number of shards, more than an entry VM has worker threads.
const SHARDS: usize = 16;

/// Organisation and service that a request is accounted to.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Key {
    /// Organisation on whose behalf the request was sent.
    pub organisation: id::Organisation,
    /// Service that the request was addressed to.
    pub service: id::Service,
}

type Shard = Mutex<map::Map<Key, tally::Tally>>;

/// Sharded counts of completed requests.
#[derive(Debug)]
pub struct Counter {
    shards: Vec<Shard>,
}

impl Default for Counter {
    fn default() -> Self {
        let shards = (0..SHARDS).map(|_| Shard::default()).collect();
        Self { shards }
    }
}

impl Counter {
    /// Counts a completed request.
    pub fn record(&self, sample: &sample::Sample) {
        let key = Key {
            organisation: sample.organisation.clone(),
            service: sample.service.clone(),
        };
        let shard = &self.shards[shard_index(&key)];
        let mut tallies = shard.lock().unwrap_or_else(PoisonError::into_inner);
        tallies.entry(key).or_default().record(sample);
    }

    /// Returns the counts since the previous call and resets them.
    pub fn take(&self) -> Vec<(Key, tally::Tally)> {
        let mut all = Vec::new();
        for shard in &self.shards {
            let mut tallies = shard.lock().unwrap_or_else(PoisonError::into_inner);
            all.extend(tallies.drain());
        }
        all
    }
}

fn shard_index<K: Hash>(key: &K) -> usize {
    let hasher = BuildHasherDefault::<std::hash::DefaultHasher>::default();
    (hasher.hash_one(key) % SHARDS as u64) as usize
}
