//! The strongest members watch the platform.

use std::time::Duration;

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

/// Guards against a change that is in force late since all members that watch are lost, and those that
/// are next as well (CONFIG): gateway deployments promise 2 s, of which half a second is left for the
/// listing and its dissemination.
#[test]
fn with_ten_members_lost_in_silence_the_next_one_watches_within_a_few_intervals() {
    const STALE_AFTER: Duration = Duration::from_millis(1400);
    let due_ages: Vec<_> = (0..12)
        .map(|place| watcher::due_age(place, 1, STALE_AFTER))
        .collect();

    assert_eq!(due_ages[0], Duration::ZERO);
    assert_eq!(due_ages[1], STALE_AFTER);
    assert!(due_ages.is_sorted());
    assert!(due_ages[11] <= Duration::from_millis(1500), "{due_ages:?}");
}

#[test]
fn members_that_watch_at_the_same_time_are_few() {
    let due_at = |age: Duration| {
        let places = 0..200;
        let due = places.filter(|place| watcher::due_age(*place, 1, Duration::from_secs(1)) == age);
        due.count()
    };

    for millis in (1000..2500).step_by(50) {
        assert!(due_at(Duration::from_millis(millis)) <= watcher::GROUP);
    }
}
