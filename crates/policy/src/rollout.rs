//! Anti-entropy of configuration objects: the versions that a daemon has and those it is missing.
//!
//! Invariant: a daemon's version of an object only increases, in whatever order and however often
//! messages arrive. Two daemons with the same versions have the same [`digest::Digest`]; if digests
//! differ, the entries of the differing buckets determine which objects to pull. Pairwise
//! reconciliation along any path therefore brings every accepted version to all daemons, even while
//! the platform is unavailable.
//!
//! An object that is too large for one reply is transferred in parts ([`transfer`]), along a tree of
//! members ([`tree`]) and at a limited rate ([`pacer`]). It is read from the platform by a few members
//! ([`watcher`]).

pub mod comparison;
pub mod digest;
pub mod entry;
pub mod pacer;
pub mod transfer;
pub mod tree;
pub mod versions;
pub mod watcher;
