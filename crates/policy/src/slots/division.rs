//! Division of a server's slots between the daemons, by rendezvous hashing.
//!
//! Each slot belongs to the daemon with the highest hash of daemon and slot, so that all daemons
//! that know the same peers agree without a message. A number stands in for the instance of each
//! daemon that has not reported yet, so that slots are left for it.

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
/// number of peers that have not reported yet.
#[must_use]
pub fn owned_slots(
    own: instance::Instance,
    peers: &[instance::Instance],
    unknown_peers: u32,
    server: &id::Server,
    slots: u32,
) -> u32 {
    let owns = |slot: &u32| {
        let own_score = score(own.0, server, *slot);
        let known_peers = peers.iter().map(|p| p.0);
        let others = known_peers.chain((0..unknown_peers).map(u64::from));
        others
            .into_iter()
            .all(|other| score(other, server, *slot) < own_score)
    };
    (0..slots).filter(owns).count() as u32
}
