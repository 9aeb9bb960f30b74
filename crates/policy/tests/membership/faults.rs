use arbtest::arbtest;
use monsooncart_policy::membership::{member, timings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::network::Network;

/// Time for partitioned daemons to merge: one ping per second to one of at most nine dead members
/// or seeds, the refutation and its dissemination.
const RECOVERY_SECONDS: u64 = 60;

/// Time in which probes sent before the faults end, and the suspicions that they raise, are
/// resolved.
const SETTLING_SECONDS: u64 = 10;

const SUSPECT: Option<member::State> = Some(member::State::Suspect);

#[test]
fn indirect_probes_keep_a_pair_with_a_one_way_loss_alive() {
    let mut network = Network::with_members(6, 21);
    network.changes.clear();

    network.block(2, 3);
    network.run(120);

    assert!(!network.was_observed(3, member::State::Suspect));
    assert!(!network.was_observed(2, member::State::Suspect));
}

#[test]
fn without_indirect_probes_a_one_way_loss_raises_suspicion() {
    let mut network = Network::new(21);
    network.timings = timings::Timings {
        indirect_probes: 0,
        ..timings::Timings::default()
    };
    for host in 1..=6 {
        network.start(host, "attica");
    }
    network.run_until("joined", 60, Network::all_alive);
    network.changes.clear();

    network.block(2, 3);
    network.run(120);

    assert!(network.was_observed(3, member::State::Suspect));
}

#[test]
fn a_daemon_that_can_only_receive_is_declared_dead_and_recovers() {
    let mut network = Network::with_members(6, 22);

    for host in [1, 2, 3, 5, 6] {
        network.block(4, host);
    }
    network.run_until("dead", 60, |n| n.all_observe(4, member::State::Dead));
    network.blocked.clear();

    network.run_until("recovered", RECOVERY_SECONDS, Network::all_alive);
}

#[test]
fn a_daemon_that_was_paused_declares_nobody_dead_because_of_its_pause() {
    for seed in 0..50 {
        let mut network = Network::with_members(6, seed);
        // A suspicion and a probe are pending when the pause begins.
        network.block(4, 5);
        network.loss = 0.5;
        network.run_until("suspicion", 60, |n| {
            (1..=6).any(|of| n.state(4, of) == SUSPECT)
        });

        network.paused.insert(4);
        network.blocked.clear();
        network.loss = 0.0;
        network.run(60);
        network.changes.clear();
        network.paused.clear();
        network.run_until("merged", RECOVERY_SECONDS, Network::all_alive);

        let dead = |(at, m): &&(_, member::Member)| *at == 4 && m.state == member::State::Dead;
        assert_eq!(network.changes.iter().find(dead), None, "seed {seed}");
    }
}

#[test]
fn two_halves_merge_after_a_long_partition() {
    let mut network = Network::with_members(8, 23);

    for left in 1..=4 {
        for right in 5..=8 {
            network.block(left, right);
            network.block(right, left);
        }
    }
    network.run(300);
    let partitioned = network.state(1, 8);
    network.blocked.clear();

    assert_eq!(partitioned, Some(member::State::Dead));
    network.run_until("merged", RECOVERY_SECONDS, Network::all_alive);
}

#[test]
fn after_faults_end_every_daemon_is_alive_everywhere() {
    arbtest(|u| {
        let count = u.int_in_range(2..=6)?;
        let mut network = Network::with_members(count, u.arbitrary()?);
        for _ in 0..u.int_in_range(0..=6)? {
            let (from, to) = (u.int_in_range(1..=count)?, u.int_in_range(1..=count)?);
            network.block(from, to);
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

        network.blocked.clear();
        network.loss = 0.0;

        // A probe sent before the faults end may still raise a suspicion afterwards.
        network.run(SETTLING_SECONDS);
        network.run_until("merged", RECOVERY_SECONDS, Network::all_alive);
        network.changes.clear();
        network.run(10);
        let not_alive = |(_, m): &(_, member::Member)| m.state != member::State::Alive;
        assert!(
            !network.changes.iter().any(not_alive),
            "a member is not alive"
        );
        Ok(())
    })
    .budget_ms(8_000);
}

/// Number of seeds for the random losses. Without the direct notification of a suspect and its
/// repetition halfway to the timeout, seeds 141 and 206 declare a live daemon dead.
const SEED_COUNT: u64 = 400;

#[test]
fn one_way_losses_with_an_indirect_path_declare_nobody_dead() {
    for seed in 0..SEED_COUNT {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut network = Network::with_members(6, seed);
        network.changes.clear();
        // Daemon 1 can reach all daemons and be reached by all.
        for from in 2..=6 {
            network.block(from, rng.random_range(2..=6));
        }

        network.run(60);

        let dead = |(_, m): &&(_, member::Member)| m.state == member::State::Dead;
        let dead = network.changes.iter().find(dead);
        assert_eq!(dead, None, "seed {seed}, blocked {:?}", network.blocked);
    }
}

#[test]
fn one_loss_to_and_one_from_each_daemon_raise_no_suspicion() {
    arbtest(|u| {
        let mut network = Network::with_members(6, u.arbitrary()?);
        network.changes.clear();
        let offset = u.int_in_range(1..=5)?;
        for from in 1..=6 {
            network.block(from, (from - 1 + offset) % 6 + 1);
        }

        network.run(60);

        assert!(network.changes.is_empty(), "{:?}", network.changes);
        Ok(())
    })
    .budget_ms(4_000);
}

/// Guards against callers that are sent to strong daemons long after these and most others are lost
/// (FLOOR).
#[test]
fn strong_daemons_lost_with_most_others_are_noticed_within_a_few_probes() {
    const DAEMONS: u8 = 36;
    const PROBES: u64 = 5;
    for seed in 30..40 {
        let mut network = Network::new(seed);
        network.strong = [1, 2].into();
        for host in 1..=DAEMONS {
            network.start(host, "attica");
        }
        network.run_until("joined", 60, Network::all_alive);

        network.paused = (1..=DAEMONS * 4 / 5).collect();
        network.run(PROBES);

        for host in DAEMONS * 4 / 5 + 1..=DAEMONS {
            for strong in [1, 2] {
                let state = network.state(host, strong);
                assert_ne!(state, Some(member::State::Alive), "seed {seed}, at {host}");
            }
        }
    }
}
