use monsooncart_policy::membership::{event, member, protocol};

use crate::network::{self, Network};

fn listed(host: network::Host, state: event::VmState) -> event::Event {
    event::Event::Vms(vec![event::Vm {
        name: network::vm(host),
        peers: network::address(host),
        state,
    }])
}

#[test]
fn daemons_join_through_one_seed() {
    let mut network = Network::new(1);
    for host in 1..=20 {
        network.start(host, "attica");
    }

    network.run_until("joined", 30, Network::all_alive);
}

#[test]
fn daemons_join_through_the_vm_list_alone() {
    let mut network = Network::new(2);
    network.start(2, "attica");
    network.start(3, "attica");

    network.handle(2, listed(3, event::VmState::Live));

    network.run_until("joined", 30, Network::all_alive);
}

/// Sum of a round of probes, one per second to each of nine members, one probe interval, the
/// suspicion timeout and the dissemination.
const DETECTION_SECONDS: u64 = 9 + 1 + 3 + 5;

#[test]
fn a_killed_daemon_is_declared_dead() {
    let mut network = Network::with_members(10, 3);

    network.kill(4);

    let dead = |n: &Network| n.all_observe(4, member::State::Dead);
    network.run_until("declared dead", DETECTION_SECONDS, dead);
}

#[test]
fn a_daemon_that_shuts_down_is_recorded_as_left_without_suspicion() {
    let mut network = Network::with_members(10, 4);
    let instance = network.daemons[&4].local().instance;

    network.handle(4, event::Event::Leave);
    network.run(2);
    let leaving = (1..=10).all(|at| network.record(at, 4).unwrap().member.leaving);
    network.handle(4, event::Event::Shutdown);
    network.step();
    network.kill(4);
    network.run_until("left", 5, |n| n.all_observe(4, member::State::Left));

    assert!(leaving, "every daemon knows that it is leaving");
    assert!(network.daemons.values().all(|d| d.is_terminated(instance)));
    assert!(!network.was_observed(4, member::State::Suspect));
}

#[test]
fn a_leaving_daemon_stays_leaving() {
    let mut network = Network::with_members(5, 5);

    network.handle(4, event::Event::Leave);
    network.loss = 0.4;
    network.run(120);
    network.loss = 0.0;
    network.run_until("alive", 60, Network::all_alive);

    let leaving = |at| network.record(at, 4).unwrap().member.leaving;
    assert!((1..=5).all(leaving));
}

#[test]
fn a_restarted_daemon_replaces_its_earlier_instance() {
    let mut network = Network::with_members(5, 6);
    let earlier = network.daemons[&4].local().instance;

    network.kill(4);
    network.start(4, "attica");

    network.run_until("joined again", 30, Network::all_alive);
    let others = network.daemons.iter().filter(|(host, _)| **host != 4);
    let terminated = |(_, d): (_, &protocol::Protocol)| d.is_terminated(earlier);
    assert!(others.into_iter().all(terminated));
}

#[test]
fn a_restarted_daemon_whose_clock_went_back_still_joins() {
    let mut network = Network::with_members(5, 7);

    network.kill(4);
    network.start_with_incarnation(4, "attica", 1);

    network.run_until("joined again", 30, Network::all_alive);
}

#[test]
fn a_vm_listed_as_gone_terminates_its_daemon() {
    let mut network = Network::with_members(5, 8);
    let instance = network.daemons[&4].local().instance;
    network.kill(4);

    network.handle(2, listed(4, event::VmState::Gone));

    network.run_until("gone", 10, |n| n.all_observe(4, member::State::Gone));
    assert!(network.daemons.values().all(|d| d.is_terminated(instance)));
}

#[test]
fn a_dead_daemon_is_not_proven_to_have_terminated() {
    let mut network = Network::with_members(5, 9);
    let instance = network.daemons[&4].local().instance;

    network.kill(4);
    network.run_until("dead", 30, |n| n.all_observe(4, member::State::Dead));

    assert!(!network.daemons.values().any(|d| d.is_terminated(instance)));
}

#[test]
fn an_outdated_vm_list_does_not_terminate_a_later_instance() {
    let mut network = Network::with_members(5, 10);
    network.kill(4);
    for host in [1, 2, 3, 5] {
        network.handle(host, listed(4, event::VmState::Gone));
    }
    network.run_until("gone", 10, |n| n.all_observe(4, member::State::Gone));
    network.start(4, "attica");
    network.run_until("joined again", 30, Network::all_alive);

    for host in [1, 2, 3, 5] {
        network.handle(host, listed(4, event::VmState::Gone));
    }
    network.run(10);

    assert!(network.all_alive());
}

#[test]
fn a_vm_listed_as_leaving_makes_its_daemon_leave() {
    let mut network = Network::with_members(5, 11);

    network.handle(2, listed(4, event::VmState::Leaving));

    network.run_until("leaving", 10, |n| n.daemons[&4].local().leaving);
}
