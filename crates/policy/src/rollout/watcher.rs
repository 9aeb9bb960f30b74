//! Selection of the members of a region that watch the platform.
//!
//! A watcher reads each new version whole and passes it on first, so the strongest members watch;
//! among equally strong ones, rendezvous hashing decides.
//!
//! Lost watchers are silent, and so may be those that are next in the order. The longer no answer of
//! the platform is known, the more members therefore watch, a few at a time: the first one with an
//! answer reports it, and the others need not call. Reports of watchers that the platform does not
//! answer say that it is away itself; they call no further members.

use std::time::Duration;

use crate::rank;
use crate::rollout::tree;

/// Number of members that begin to watch at a time while no watcher is known to reach the platform.
pub const GROUP: usize = 5;

/// Time between one group and the next, in which an answer of the platform is reported.
const GROUP_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the age of the latest known answer of the platform from which the member at `place` in the
/// order watches, of which the first `watchers` always do.
#[must_use]
pub fn due_age(place: usize, watchers: usize, stale_after: Duration) -> Duration {
    if place < watchers {
        return Duration::ZERO;
    }
    let group = u32::try_from(place / GROUP).unwrap_or(u32::MAX);
    stale_after + GROUP_INTERVAL.saturating_mul(group)
}

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
