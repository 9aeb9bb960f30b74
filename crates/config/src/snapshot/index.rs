//! Index of organisations by the digests of their bearer keys.
//!
//! The index contains the first 8 bytes of each digest, sorted, with the location of its
//! organisation. Digests with the same prefix have an entry each, and a digest that moves from one
//! organisation to another may have an entry for both. The complete digest is compared in the block.

use std::sync::Arc;

use crate::organisation;

/// Number of shards, one for each first byte of a digest; a change copies only the shards that it
/// affects.
const SHARDS: usize = 256;

/// Location of an organisation. A block is an object of at most 1 MiB, in which each organisation
/// takes more than 16 bytes, so 16 bits are enough for the index within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Location {
    /// Index of the block.
    pub(super) block: u16,
    /// Index of the organisation within the block.
    pub(super) index: u16,
}

/// One shard: two arrays of equal length, sorted by prefix.
#[derive(Clone, Debug, Default)]
struct Shard {
    prefixes: Vec<u64>,
    locations: Vec<Location>,
}

/// An entry to insert.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Entry {
    prefix: u64,
    location: Location,
}

impl Entry {
    pub(super) fn new(key: &organisation::Digest, location: Location) -> Self {
        let prefix = prefix_of(key);
        Self { prefix, location }
    }
}

/// Index of the keys of all blocks.
#[derive(Clone, Debug)]
pub(super) struct Index {
    shards: Vec<Arc<Shard>>,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            shards: vec![Arc::default(); SHARDS],
        }
    }
}

fn prefix_of(key: &organisation::Digest) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&key.0[..8]);
    u64::from_be_bytes(first)
}

/// Index of the shard that contains a prefix.
fn shard_of(prefix: u64) -> usize {
    (prefix >> 56) as usize
}

impl Index {
    /// Locations of the organisations that may have a key.
    pub(super) fn locations(
        &self,
        key: &organisation::Digest,
    ) -> impl Iterator<Item = Location> + '_ {
        let prefix = prefix_of(key);
        let shard = &self.shards[shard_of(prefix)];
        let start = shard.prefixes.partition_point(|p| *p < prefix);
        let matching = shard.prefixes[start..]
            .iter()
            .take_while(move |p| **p == prefix);
        matching
            .zip(&shard.locations[start..])
            .map(|(_, location)| *location)
    }

    /// Replaces the entries `old` of a block by `new`; shards without a difference remain shared.
    pub(super) fn replace(&mut self, block: u16, mut old: Vec<Entry>, mut new: Vec<Entry>) {
        old.sort_unstable();
        new.sort_unstable();
        let (mut old, mut new) = (old.as_slice(), new.as_slice());
        for (index, shard) in self.shards.iter_mut().enumerate() {
            let old = split_shard(&mut old, index);
            let new = split_shard(&mut new, index);
            if old != new {
                *shard = Arc::new(shard.with_replaced(block, new));
            }
        }
    }
}

/// Splits the entries of the shard `index` off the front of sorted entries.
fn split_shard<'e>(entries: &mut &'e [Entry], index: usize) -> &'e [Entry] {
    let end = entries.partition_point(|entry| shard_of(entry.prefix) <= index);
    let (head, tail) = entries.split_at(end);
    *entries = tail;
    head
}

impl Shard {
    /// Copies the shard with the entries of a block replaced by `new`, which must be sorted.
    fn with_replaced(&self, block: u16, new: &[Entry]) -> Self {
        let old = self.prefixes.iter().zip(&self.locations);
        let old = old.filter(|(_, location)| location.block != block);
        let mut merged = Self {
            prefixes: Vec::with_capacity(self.prefixes.len() + new.len()),
            locations: Vec::with_capacity(self.locations.len() + new.len()),
        };
        let mut new = new.iter().peekable();
        for (prefix, location) in old {
            while let Some(entry) = new.next_if(|entry| entry.prefix < *prefix) {
                merged.push(entry.prefix, entry.location);
            }
            merged.push(*prefix, *location);
        }
        new.for_each(|entry| merged.push(entry.prefix, entry.location));
        merged.prefixes.shrink_to_fit();
        merged.locations.shrink_to_fit();
        merged
    }

    fn push(&mut self, prefix: u64, location: Location) {
        self.prefixes.push(prefix);
        self.locations.push(location);
    }
}
