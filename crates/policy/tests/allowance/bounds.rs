//! The bound of an allowance under failures: whatever is lost, late, killed or paused, the daemons
//! together admit no more than allowed.

use std::time::Duration;

use monsooncart_policy::allowance::{Limit, Organisation};
use rand::RngExt as _;

use crate::fleet::{self, Fleet};

const LIMIT: Limit = Limit {
    rate: 100.0,
    burst: 100.0,
};

const ORGANISATION: Organisation = Organisation(7);

/// Requests per second of an organisation that asks for much more than it may, at each daemon.
const FLOOD: f64 = 300.0;

/// Runs with a flood at the daemons in `at`.
fn flood(fleet: &mut Fleet, at: &[usize], duration: Duration) {
    let end = fleet.now + duration;
    let requests = FLOOD * fleet::STEP.as_secs_f64();
    while fleet.now < end {
        fleet.step();
        for vm in at {
            for _ in 0..requests as usize {
                fleet.request(*vm, ORGANISATION, LIMIT);
            }
        }
    }
}

fn start(daemons: usize, seed: u64) -> (Fleet, Vec<usize>) {
    let mut fleet = Fleet::new(daemons, seed);
    fleet.run(Duration::from_secs(3));
    (fleet, (0..daemons).collect())
}

fn assert_bound(fleet: &mut Fleet, context: &str) {
    let largest = fleet.largest_window(ORGANISATION);
    let allowed = fleet::allowed(LIMIT);
    assert!(
        largest as f64 <= allowed,
        "{context}: {largest} in a window, {allowed:.0} allowed"
    );
}

/// Guards against two sides of a partition that each use the whole allowance.
#[test]
fn a_partition_gives_no_side_the_part_of_the_other() {
    let (mut fleet, all) = start(6, 1);
    flood(&mut fleet, &all, Duration::from_secs(5));
    fleet.partition(&[0, 1, 2], true);

    flood(&mut fleet, &[0, 3], Duration::from_secs(20));
    fleet.partition(&[0, 1, 2], false);
    flood(&mut fleet, &all, Duration::from_secs(10));

    assert_bound(&mut fleet, "partition");
}

/// Guards against a part that is reclaimed from a daemon which still uses it, as it hears nothing.
#[test]
fn a_daemon_that_is_heard_and_hears_nothing_keeps_to_its_part() {
    let (mut fleet, all) = start(6, 2);
    flood(&mut fleet, &all, Duration::from_secs(3));
    let others = all.iter().skip(1);
    fleet.cuts.extend(others.map(|vm| (*vm, 0)));

    flood(&mut fleet, &all, Duration::from_secs(20));

    assert_bound(&mut fleet, "one-way partition");
}

/// Guards against a burst that is given again by daemons which have forgotten it.
#[test]
fn all_daemons_killed_at_once_give_no_second_burst() {
    for seed in 1..=5 {
        let (mut fleet, all) = start(6, seed);
        flood(&mut fleet, &all, Duration::from_secs(4));
        for vm in &all {
            fleet.kill(*vm);
        }
        fleet.run(Duration::from_millis(700));
        for vm in &all {
            fleet.start(*vm);
        }
        fleet.announce_holders();

        flood(&mut fleet, &all, Duration::from_secs(8));

        assert_bound(&mut fleet, &format!("seed {seed}"));
    }
}

/// Guards against a paused process that resumes with a part which others have taken meanwhile.
#[test]
fn a_process_that_was_paused_resumes_with_its_own_part_alone() {
    let (mut fleet, all) = start(6, 3);
    flood(&mut fleet, &all, Duration::from_secs(3));
    fleet.pause(0, true);
    flood(&mut fleet, &all[1..], Duration::from_secs(8));
    fleet.pause(0, false);

    flood(&mut fleet, &all, Duration::from_secs(8));

    assert_bound(&mut fleet, "pause");
}

/// Guards against demand that moves between daemons faster than the parts.
#[test]
fn demand_that_moves_between_daemons_is_not_admitted_twice() {
    let (mut fleet, _) = start(12, 4);

    for round in 0..24 {
        flood(&mut fleet, &[round % 12], Duration::from_millis(700));
    }

    assert_bound(&mut fleet, "moving demand");
    assert!(fleet.counts[&ORGANISATION].admitted > 0);
}

/// Searches orders of kills, stops, starts, pauses, partitions and losses, with floods at any daemon.
#[test]
fn no_order_of_failures_admits_more_than_allowed() {
    for seed in 0..60 {
        let (mut fleet, all) = start(5, seed);
        fleet.lost_percent = fleet.rng.random_range(0..30);
        for _ in 0..12 {
            let vm = fleet.rng.random_range(0..all.len());
            match fleet.rng.random_range(0..8) {
                0 => fleet.kill(vm),
                1 => fleet.stop(vm),
                2 | 3 => {
                    fleet.start(vm);
                    fleet.announce_holders();
                }
                4 => fleet.pause(vm, true),
                5 => fleet.pause(vm, false),
                6 => fleet.partition(&[vm], true),
                _ => fleet.partition(&[vm], false),
            }
            let at: Vec<_> = all
                .iter()
                .copied()
                .filter(|_| fleet.rng.random::<bool>())
                .collect();
            flood(&mut fleet, &at, Duration::from_millis(900));
            assert!(fleet.total_part(ORGANISATION) < 1.2, "seed {seed}");
        }
        assert_bound(&mut fleet, &format!("seed {seed}"));
    }
}

/// Guards against a restarted daemon that takes the whole allowance while it has not found the others.
#[test]
fn a_daemon_that_knows_no_other_one_yet_uses_a_small_part() {
    let (mut fleet, all) = start(5, 6);
    flood(&mut fleet, &all, Duration::from_secs(6));
    fleet.kill(0);
    fleet.start(0);
    fleet.announce_to(0, &[0]);

    flood(&mut fleet, &all, Duration::from_secs(10));

    assert_bound(&mut fleet, "solitude");
}

/// Guards against restarted daemons that go on dividing among those which they found first: each one
/// finds the daemon with all of the demand last, after half a second.
#[test]
fn daemons_that_find_the_others_one_by_one_do_not_divide_without_them() {
    let (mut fleet, all) = start(5, 7);
    flood(&mut fleet, &[1], Duration::from_secs(6));
    for vm in [0, 2, 3, 4] {
        fleet.kill(vm);
        fleet.start(vm);
    }
    for vm in [0, 2, 3, 4] {
        fleet.announce_to(vm, &[0, 2, 3, 4]);
    }
    flood(&mut fleet, &all, Duration::from_millis(500));
    fleet.announce_holders();

    flood(&mut fleet, &all, Duration::from_secs(8));

    assert_bound(&mut fleet, "one by one");
}
