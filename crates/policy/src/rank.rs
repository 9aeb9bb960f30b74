//! Rendezvous hashing: assigns keys to members without coordination.
//!
//! Every daemon with the same list of members computes the same ranking, and adding or removing a
//! member moves only the keys that it serves.

use std::hash::{Hash, Hasher};

use monsooncart_types::id;

/// A member with a stable name to rank it by.
pub trait Ranked {
    /// Name that the rank is computed from.
    fn name(&self) -> &id::Vm;
}

/// Finalizer of the splitmix64 generator: every bit of `x` affects every bit of the result.
pub(crate) const fn mix(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns a hash of `text` that is the same in every process and release.
#[must_use]
pub fn hash(text: &[u8]) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    text.hash(&mut hasher);
    mix(hasher.finish())
}

/// Returns the weight of `member` for `key`; the members with the greatest weights serve it.
#[must_use]
pub fn weight(key: &[u8], member: &id::Vm) -> u64 {
    mix(hash(key) ^ hash(member.as_bytes()).rotate_left(17))
}

/// Returns the `count` members of greatest weight for `key`, greatest first.
#[must_use]
pub fn top<'a, M: Ranked>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a M>,
    count: usize,
) -> Vec<&'a M> {
    let weighed = |member: &'a M| (weight(key, member.name()), member);
    let mut weights: Vec<_> = members.into_iter().map(weighed).collect();
    let order =
        |a: &(u64, &'a M), b: &(u64, &'a M)| b.0.cmp(&a.0).then_with(|| a.1.name().cmp(b.1.name()));
    if count < weights.len() && count > 0 {
        weights.select_nth_unstable_by(count - 1, order);
    }
    weights.truncate(count);
    weights.sort_unstable_by(order);
    weights.into_iter().map(|(_, member)| member).collect()
}
