//! The distribution tree of a new version: from which members a daemon fetches it.
//!
//! The members of a region are ordered by capacity and then by their rank for the version. Each of
//! them serves the next [`FAN_OUT`] members of that order that have no source yet, so that strong
//! members are close to the root and none sends more than a few copies. Members with different
//! views of the region compute different trees; a daemon that makes no progress therefore turns to
//! the further sources of its list.

use crate::rank;

/// Number of members that fetch a version from the same member.
pub const FAN_OUT: usize = 3;

/// A member with the capacity by which it is placed.
pub trait Node: rank::Ranked {
    /// Capacity relative to that of other members.
    fn capacity(&self) -> u32;
}

/// Returns the sources of `own` for the version with this key, in the order in which they are
/// tried: its parent in the tree, the parent of its parent and so on up to `root`, a member that
/// stores the version. `own` and `root` need not be among the members.
#[must_use]
pub fn sources<'a, M: Node>(
    key: &[u8],
    members: impl IntoIterator<Item = &'a M>,
    root: &'a M,
    own: &M,
) -> Vec<&'a M> {
    let place = |m: &M| (m.capacity(), rank::weight(key, m.name()));
    let own_place = place(own);
    let others = members
        .into_iter()
        .filter(|m| m.name() != root.name() && m.name() != own.name());
    let mut ahead: Vec<&M> = others.filter(|m| place(m) > own_place).collect();
    ahead.sort_unstable_by_key(|m| std::cmp::Reverse(place(m)));
    let mut position = ahead.len();
    let mut sources = Vec::new();
    while position >= FAN_OUT {
        position = position / FAN_OUT - 1;
        sources.push(ahead[position]);
    }
    sources.push(root);
    sources
}
