//! Selection of the members of a region that watch the platform.
//!
//! A watcher reads each new version whole and passes it on first, so the strongest members watch;
//! among equally strong ones, rendezvous hashing decides.

use crate::rank;
use crate::rollout::tree;

/// Returns up to `count` members, the preferred one first.
#[must_use]
pub fn select<'a, M: tree::Node>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a M>,
    count: usize,
) -> Vec<&'a M> {
    let mut members: Vec<&M> = members.into_iter().collect();
    members.sort_unstable_by(|a, b| {
        let place = |m: &M| (m.capacity(), rank::weight(key, m.name()));
        place(b).cmp(&place(a)).then_with(|| a.name().cmp(b.name()))
    });
    members.truncate(count);
    members
}
