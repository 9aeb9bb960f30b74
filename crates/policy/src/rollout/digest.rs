//! Digests of the object versions stored by a daemon.

use std::fmt::{self, Write as _};

use crate::rollout::entry;

/// Number of buckets in a digest.
pub const BUCKETS: usize = 64;

/// 64-bit FNV-1a hasher with a finalizer; the same in every build.
struct Hasher(u64);

impl Hasher {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    fn new() -> Self {
        Self(Self::OFFSET)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }

    /// Mixes the state so that every input bit affects the whole result; FNV-1a diffuses the last
    /// input bytes poorly.
    fn finish(&self) -> u64 {
        let mixed = (self.0 ^ (self.0 >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        mixed ^ (mixed >> 33)
    }
}

impl fmt::Write for Hasher {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.write(text.as_bytes());
        Ok(())
    }
}

/// For each bucket, the sum of the hashes of its keys and versions, which does not depend on their
/// order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Digest(Vec<u64>);

impl Default for Digest {
    fn default() -> Self {
        Self(vec![0; BUCKETS])
    }
}

impl Digest {
    /// Returns the bucket index of a key.
    #[must_use]
    pub fn bucket<K: fmt::Display>(key: &K) -> usize {
        let mut hasher = Hasher::new();
        // Writing to the hasher cannot fail.
        let _ = write!(hasher, "{key}");
        (hasher.finish() % BUCKETS as u64) as usize
    }

    /// Adds a version of an object.
    pub fn add<K: fmt::Display>(&mut self, key: &K, version: entry::Version) {
        let sum = &mut self.0[Self::bucket(key)];
        *sum = sum.wrapping_add(hash(key, version));
    }

    /// Removes a version that was added.
    pub fn remove<K: fmt::Display>(&mut self, key: &K, version: entry::Version) {
        let sum = &mut self.0[Self::bucket(key)];
        *sum = sum.wrapping_sub(hash(key, version));
    }

    /// Returns the indices of the buckets that differ; a bucket that `other` lacks counts as
    /// different.
    #[must_use]
    pub fn differing_buckets(&self, other: &Self) -> Vec<usize> {
        let differs = |bucket: &usize| self.0.get(*bucket) != other.0.get(*bucket);
        (0..BUCKETS).filter(differs).collect()
    }
}

fn hash<K: fmt::Display>(key: &K, version: entry::Version) -> u64 {
    let mut hasher = Hasher::new();
    let _ = write!(hasher, "{key}");
    hasher.write(&version.0.to_be_bytes());
    hasher.finish()
}
