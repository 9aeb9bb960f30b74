//! Hash maps and sets with a fast hasher.
//!
//! The hasher does not resist collision attacks, so maps with keys chosen by callers must be limited
//! in size.

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
