//! The distribution tree of a new version: from which members a daemon fetches it.
//!
//! The members of a region are ordered by capacity and then by their rank for the version. Each of
//! them serves the next members of that order that have no source yet, as many as its capacity
//! allows, so that strong members are close to the root and all copies take similar times. Members
//! with different views of the region compute different trees; a daemon that makes no progress
//! therefore turns to the further sources of its list.

use crate::rank;

/// Number of members that fetch a version from a member of median capacity.
pub const FAN_OUT: usize = 3;

/// Maximum number of members that fetch a version from the same member.
pub const MAX_FAN_OUT: usize = 20;

/// A member with the capacity by which it is placed.
pub trait Node: rank::Ranked {
    /// Capacity relative to that of other members.
    fn capacity(&self) -> u32;
}

/// Number of members that a member of this capacity serves.
fn fan_out(capacity: u32, median_capacity: u32) -> usize {
    let ratio = f64::from(capacity) / f64::from(median_capacity.max(1));
    ((FAN_OUT as f64 * ratio) as usize).clamp(1, MAX_FAN_OUT)
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
    let members: Vec<&M> = members.into_iter().collect();
    let mut capacities: Vec<u32> = members.iter().map(|m| m.capacity()).collect();
    capacities.sort_unstable();
    let median_capacity = capacities.get(capacities.len() / 2).copied().unwrap_or(1);
    let others = members
        .into_iter()
        .filter(|m| m.name() != root.name() && m.name() != own.name());
    let mut ahead: Vec<&M> = others.filter(|m| place(m) > own_place).collect();
    ahead.sort_unstable_by_key(|m| std::cmp::Reverse(place(m)));
    let strongest = ahead.first().map_or(own.capacity(), |m| m.capacity());
    let root_fan_out = match root.capacity() < strongest {
        // One copy to a stronger member takes less time than several from the root.
        true => 1,
        false => fan_out(root.capacity(), median_capacity),
    };
    let fan_outs = ahead.iter().map(|m| fan_out(m.capacity(), median_capacity));
    // For each member of the order, with the root first, the number of members that have a source
    // among it and those before it.
    let served: Vec<usize> = std::iter::once(root_fan_out)
        .chain(fan_outs)
        .scan(0, |sum, fan_out| {
            *sum += fan_out;
            Some(*sum)
        })
        .collect();
    let mut position = ahead.len();
    let mut sources = Vec::new();
    loop {
        let parent = served.partition_point(|served| *served <= position);
        match parent.checked_sub(1) {
            Some(index) => {
                sources.push(ahead[index]);
                position = index;
            }
            None => {
                sources.push(root);
                return sources;
            }
        }
    }
}
