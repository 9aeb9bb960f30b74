//! Addresses at which a daemon of another VM starts after the earlier one crashed.

use monsooncart_policy::membership::member;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::network::{self, Network};

const SEEDS: std::ops::Range<u64> = 0..400;

/// Daemon whose address is in use again.
const HOST: network::Host = 4;

/// One probe per second to each of nine members, one probe interval, the suspicion timeout and the
/// dissemination, with as much again for lost datagrams.
const DETECTION_SECONDS: u64 = 2 * (9 + 1 + 3 + 5);

/// A fleet in which the daemon at `HOST` crashed and one of another VM starts at its address.
fn reused(seed: u64, rng: &mut SmallRng) -> Network {
    let mut network = Network::with_members(rng.random_range(2..=9).max(HOST), seed);
    network.run(rng.random_range(0..5));
    network.kill(HOST);
    network.run(rng.random_range(0..4));
    let region = ["attica", "lothian"][rng.random_range(0..2)];
    network.start_at_address_of(HOST, "vm-other".parse().unwrap(), region);
    network
}

/// Guards against a crashed daemon that stays a member, since another VM's daemon responds at its
/// address.
#[test]
fn a_crashed_daemon_whose_address_is_in_use_again_is_declared_dead() {
    for seed in SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut network = reused(seed, &mut rng);
        network.loss = rng.random_range(0.0..0.1);

        let what = format!("declared dead, seed {seed}");
        network.run_until(&what, DETECTION_SECONDS, |n| {
            let observers = n.daemons.keys().filter(|at| **at != HOST);
            observers
                .into_iter()
                .all(|at| n.state(*at, HOST) == Some(member::State::Dead))
        });

        network.loss = 0.0;
        network.run_until(&what, DETECTION_SECONDS, Network::all_alive);
    }
}

#[test]
fn daemons_beside_an_address_in_use_again_stay_members_under_one_way_losses() {
    for seed in SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut network = reused(seed, &mut rng);
        let count = network.daemons.len() as network::Host;
        // Daemon 1 can reach all daemons and be reached by all.
        for from in 2..=count {
            network.block(from, rng.random_range(2..=count));
        }

        network.run(60);

        let dead = |(_, m): &&(_, member::Member)| {
            m.state == member::State::Dead && m.vm != network::vm(HOST)
        };
        let dead = network.changes.iter().find(dead);
        assert_eq!(dead, None, "seed {seed}, blocked {:?}", network.blocked);
        assert!(network.all_members(), "seed {seed}");
    }
}

/// Guards against a restarted daemon that is suspected because a probe of its earlier instance was not
/// answered.
#[test]
fn a_daemon_that_restarts_while_it_is_probed_is_not_suspected() {
    for seed in SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut network = Network::with_members(6, seed);
        network.kill(HOST);
        for _ in 0..rng.random_range(1..9) {
            network.step();
        }
        network.start(HOST, "attica");
        let restarted = network.daemons[&HOST].local().instance;
        network.changes.clear();

        network.run(30);

        let suspected = |(_, m): &&(_, member::Member)| {
            m.instance == restarted && m.state != member::State::Alive
        };
        assert_eq!(network.changes.iter().find(suspected), None, "seed {seed}");
    }
}
