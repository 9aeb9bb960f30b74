//! Division of a server's slots between the daemons, by rendezvous hashing.
//!
//! Each slot belongs to the daemon with the highest hash of daemon and slot, so that all daemons
//! that know the same peers agree without a message. Daemons that have not reported yet get their
//! part of the slots under a number in place of their instance.

use std::hash::{Hash, Hasher};

use monsooncart_types::{id, instance};

fn score(daemon: u64, server: &id::Server, slot: u32) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    server.as_bytes().hash(&mut hasher);
    (slot, daemon).hash(&mut hasher);
    mix(hasher.finish())
}

/// Mixes the bits of a hash (the finaliser of SplitMix64).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Number of slots of a server that belong to the daemon `own`, given its known `peers` and the
/// number of `unknown` ones.
#[must_use]
pub fn owned_slots(
    own: instance::Instance,
    peers: &[instance::Instance],
    unknown: u32,
    server: &id::Server,
    slots: u32,
) -> u32 {
    let owns = |slot: &u32| {
        let own_score = score(own.0, server, *slot);
        let known = peers.iter().map(|p| p.0);
        let others = known.chain((0..unknown).map(u64::from));
        others
            .into_iter()
            .all(|other| score(other, server, *slot) < own_score)
    };
    (0..slots).filter(owns).count() as u32
}
