use arbtest::arbtest;
use monsooncart_policy::membership::{member, timings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::network::Network;

/// Time in which parted daemons find each other again: a knock a second at one of at most nine dead
/// members or seeds, the refutation and its spreading.
const HEALING: u64 = 60;

/// Time in which probes sent before a healing, and the suspicions that they raise, come to an end.
const SETTLING: u64 = 10;

const SUSPECT: Option<member::State> = Some(member::State::Suspect);

#[test]
fn a_pair_with_a_one_way_cut_stays_alive_by_indirect_probes() {
    let mut network = Network::joined(6, 21);
    network.changes.clear();

    network.cut(2, 3);
    network.run(120);

    assert!(!network.was(3, member::State::Suspect));
    assert!(!network.was(2, member::State::Suspect));
}

#[test]
fn without_indirect_probes_a_one_way_cut_raises_suspicion() {
    let mut network = Network::new(21);
    network.timings = timings::Timings {
        indirect_probes: 0,
        ..timings::Timings::default()
    };
    for place in 1..=6 {
        network.start(place, "attica");
    }
    network.until("joined", 60, Network::all_alive);
    network.changes.clear();

    network.cut(2, 3);
    network.run(120);

    assert!(network.was(3, member::State::Suspect));
}

#[test]
fn a_daemon_that_hears_all_and_reaches_none_is_dropped_and_comes_back() {
    let mut network = Network::joined(6, 22);

    for place in [1, 2, 3, 5, 6] {
        network.cut(4, place);
    }
    network.until("dropped", 60, |n| n.all_hold(4, member::State::Dead));
    network.cuts.clear();

    network.until("back", HEALING, Network::all_alive);
}

#[test]
fn a_daemon_that_was_paused_judges_nobody_by_its_pause() {
    for seed in 0..50 {
        let mut network = Network::joined(6, seed);
        // A suspicion and a probe are open when the pause begins.
        network.cut(4, 5);
        network.loss = 0.5;
        network.until("suspicion", 60, |n| {
            (1..=6).any(|of| n.state(4, of) == SUSPECT)
        });

        network.paused.insert(4);
        network.cuts.clear();
        network.loss = 0.0;
        network.run(60);
        network.changes.clear();
        network.paused.clear();
        network.until("whole again", HEALING, Network::all_alive);

        let dead = |(at, m): &&(_, member::Member)| *at == 4 && m.state == member::State::Dead;
        assert_eq!(network.changes.iter().find(dead), None, "seed {seed}");
    }
}

#[test]
fn two_halves_find_each_other_after_a_long_partition() {
    let mut network = Network::joined(8, 23);

    for left in 1..=4 {
        for right in 5..=8 {
            network.cut(left, right);
            network.cut(right, left);
        }
    }
    network.run(300);
    let parted = network.state(1, 8);
    network.cuts.clear();

    assert_eq!(parted, Some(member::State::Dead));
    network.until("whole again", HEALING, Network::all_alive);
}

#[test]
fn after_any_faults_every_reachable_daemon_is_alive_everywhere() {
    arbtest(|u| {
        let count = u.int_in_range(2..=6)?;
        let mut network = Network::joined(count, u.arbitrary()?);
        for _ in 0..u.int_in_range(0..=6)? {
            let (from, to) = (u.int_in_range(1..=count)?, u.int_in_range(1..=count)?);
            network.cut(from, to);
        }
        network.loss = f64::from(u.int_in_range(0..=40)?) / 100.0;
        let restarted = u.int_in_range(1..=count)?;
        network.run(u.int_in_range(0..=30)?);
        if u.arbitrary()? {
            network.kill(restarted);
            network.run(u.int_in_range(0..=10)?);
            network.start(restarted, "attica");
        }
        network.run(u.int_in_range(0..=30)?);

        network.cuts.clear();
        network.loss = 0.0;

        // A probe sent before the healing may still raise a suspicion after it.
        network.run(SETTLING);
        network.until("whole again", HEALING, Network::all_alive);
        network.changes.clear();
        network.run(10);
        let suspect = |(_, m): &(_, member::Member)| m.state != member::State::Alive;
        assert!(!network.changes.iter().any(suspect), "all stay alive");
        Ok(())
    })
    .budget_ms(8_000);
}

/// Seeds of the random cuts. Without the direct warning of a suspect and its repetition half way,
/// seeds 141 and 206 declare a live daemon dead.
const SEEDS: u64 = 400;

#[test]
fn one_way_cuts_that_leave_a_way_round_declare_nobody_dead() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut network = Network::joined(6, seed);
        network.changes.clear();
        // Daemon 1 reaches all and is reached by all.
        for from in 2..=6 {
            network.cut(from, rng.random_range(2..=6));
        }

        network.run(60);

        let dead = |(_, m): &&(_, member::Member)| m.state == member::State::Dead;
        let dead = network.changes.iter().find(dead);
        assert_eq!(dead, None, "seed {seed}, cuts {:?}", network.cuts);
    }
}

#[test]
fn one_cut_to_and_one_from_each_daemon_raise_no_suspicion() {
    arbtest(|u| {
        let mut network = Network::joined(6, u.arbitrary()?);
        network.changes.clear();
        let turn = u.int_in_range(1..=5)?;
        for from in 1..=6 {
            network.cut(from, (from - 1 + turn) % 6 + 1);
        }

        network.run(60);

        assert!(network.changes.is_empty(), "{:?}", network.changes);
        Ok(())
    })
    .budget_ms(4_000);
}
