//! The strongest members watch the platform.

use monsooncart_policy::rank;
use monsooncart_policy::rollout::{tree, watcher};
use monsooncart_types::id;

struct Member {
    name: id::Vm,
    capacity: u32,
}

impl rank::Ranked for Member {
    fn name(&self) -> &id::Vm {
        &self.name
    }
}

impl tree::Node for Member {
    fn capacity(&self) -> u32 {
        self.capacity
    }
}

fn members(capacities: &[u32]) -> Vec<Member> {
    let numbered = capacities.iter().enumerate();
    let member = |(number, capacity): (usize, &u32)| Member {
        name: format!("vm-{number}").parse().expect("a name"),
        capacity: *capacity,
    };
    numbered.map(member).collect()
}

fn names(members: &[&Member]) -> Vec<String> {
    members.iter().map(|m| m.name.to_string()).collect()
}

/// Guards against a large routing that is read and passed on over a weak link.
#[test]
fn strong_members_watch_before_weak_ones() {
    let members = members(&[25, 25, 500, 25, 100, 25]);

    let selected = watcher::select(b"config", &members, 2);

    assert_eq!(names(&selected), ["vm-2", "vm-4"]);
}

#[test]
fn equally_strong_members_are_ranked_by_their_weight() {
    let members = members(&[100; 30]);

    let selected = watcher::select(b"config", &members, 5);

    assert_eq!(names(&selected), names(&rank::top(b"config", &members, 5)));
}

#[test]
fn the_order_of_members_does_not_matter_and_removal_moves_only_the_removed() {
    let capacities: Vec<u32> = (0..40).map(|number| 25 * (1 + number % 3)).collect();
    let mut members = members(&capacities);
    let before = names(&watcher::select(b"config", &members, 5));

    members.reverse();
    let reversed = names(&watcher::select(b"config", &members, 5));
    members.retain(|m| m.name.as_str() != before[0]);
    let after = names(&watcher::select(b"config", &members, 5));

    assert_eq!(reversed, before);
    assert_eq!(after[..4], before[1..]);
}
