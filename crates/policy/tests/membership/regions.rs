use monsooncart_policy::membership::member;

use crate::network::{Host, Network};

const REGIONS: [&str; 4] = ["attica", "lothian", "fife", "moray"];

fn region(host: Host) -> &'static str {
    REGIONS[usize::from(host) % REGIONS.len()]
}

fn fleet(count: Host, seed: u64) -> Network {
    let mut network = Network::new(seed);
    for host in 1..=count {
        network.start(host, region(host));
    }
    network.run_until("joined", 120, Network::all_alive);
    network
}

#[test]
fn every_region_learns_of_every_member() {
    let network = fleet(24, 31);

    let members = network.daemons[&24].table().members().count();

    assert_eq!(members, 24);
}

#[test]
fn a_killed_daemon_is_declared_dead_in_every_region() {
    let mut network = fleet(24, 32);

    network.kill(7);

    network.run_until("dead", 60, |n| n.all_observe(7, member::State::Dead));
}

#[test]
fn daemons_probe_only_their_own_region() {
    let mut network = fleet(24, 33);
    network.pings.clear();

    network.run(60);

    let crossing = |(from, to): &&(Host, Host)| region(*from) != region(*to);
    assert_eq!(network.pings.iter().find(crossing), None);
    assert!(!network.pings.is_empty());
}

#[test]
fn partitioned_regions_keep_each_others_members_alive() {
    let mut network = fleet(24, 34);
    network.changes.clear();
    for from in 1..=24 {
        for to in (1..=24).filter(|to| region(*to) != region(from)) {
            network.block(from, to);
        }
    }

    network.run(120);

    assert!(network.all_alive());
    assert!(network.changes.is_empty(), "{:?}", network.changes);
}

#[test]
fn an_idle_daemon_sends_no_more_datagrams_in_a_larger_fleet() {
    let rate = |count| {
        let mut network = fleet(count, 35);
        network.run(60);
        network.sent.clear();
        network.run(60);
        network.sent.values().copied().max().unwrap()
    };

    let (small, large) = (rate(16), rate(96));

    // One probe per second and as many answers, with a margin for the random order of probes.
    assert!(small <= 180 && large <= 180, "{small} and {large} a minute");
}
