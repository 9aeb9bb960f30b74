//! Slots are never exceeded and are shared between daemons; new servers ramp up, and servers in the
//! local data centre are slightly preferred.

use std::time::Duration;

use monsooncart_policy::balancer::Config;
use monsooncart_policy::slots::Strategy;
use monsooncart_policy::{event, handle, outcome};
use monsooncart_types::{instance, map};
use strum::IntoEnumIterator;

use crate::fixture::{self, Harness, MS};

fn digest(in_flight: u32) -> event::Digest {
    event::Digest {
        good: 5,
        bad: 0,
        in_flight,
        oldest_millis: 0,
        median_millis: 10,
        suspicion: 0,
    }
}

fn count_by_server(sent: &[fixture::Sent]) -> map::Map<handle::Server, u32> {
    let mut counts = map::Map::default();
    for sent in sent {
        *counts.entry(sent.server).or_default() += 1;
    }
    counts
}

fn arrive(harness: &mut Harness, count: u32) -> Vec<fixture::Sent> {
    (0..count)
        .flat_map(|_| fixture::sends(&harness.arrive()))
        .collect()
}

#[test]
fn strategies_have_stable_names() {
    let names: Vec<_> = Strategy::iter().map(|s| s.to_string()).collect();

    assert_eq!(names, ["power-of-two", "shared-load", "divided-slots"]);
}

#[test]
fn slots_are_filled_and_never_exceeded() {
    for strategy in Strategy::iter() {
        let config = Config::new(3).strategy(strategy);
        let mut harness = fixture::harness_with(config, fixture::inventory(4, 2));

        let sent = arrive(&mut harness, 20);

        assert_eq!(sent.len(), 8, "{strategy}");
        assert!(
            count_by_server(&sent).values().all(|&n| n == 2),
            "{strategy}"
        );
    }
}

#[test]
fn shared_load_avoids_servers_that_peers_fill() {
    let config = Config::new(3).strategy(Strategy::SharedLoad);
    let mut harness = fixture::harness_with(config, fixture::inventory(2, 6));
    harness.deliver_evidence(9, vec![(handle::Server(0), digest(6))]);

    let sent = arrive(&mut harness, 6);

    assert!(sent.iter().all(|s| s.server == handle::Server(1)));
}

#[test]
fn divided_slots_borrow_only_unused_slots() {
    let config = Config::new(3)
        .strategy(Strategy::DividedSlots)
        .instance(instance::Instance(1));
    let mut inventory = fixture::inventory(4, 6);
    inventory.daemons = [1, 2].map(instance::Instance).to_vec();
    let mut harness = fixture::harness_with(config, inventory);
    let full = (0..4).map(|s| (handle::Server(s), digest(6))).collect();
    harness.deliver_evidence(2, full);

    let own = arrive(&mut harness, 24).len();
    let idle = (0..4).map(|s| (handle::Server(s), digest(0))).collect();
    harness.deliver_evidence(2, idle);
    harness.tick();
    let borrowed = harness.total_in_flight() as usize - own;

    assert!((6..=18).contains(&own), "own slots: {own} of 24");
    assert_eq!(own + borrowed, 24);
}

#[test]
fn each_slot_is_owned_by_one_daemon() {
    let instances: Vec<_> = (1..=3).map(instance::Instance).collect();
    let owned = |own: instance::Instance, server: u32| {
        let peers: Vec<_> = instances.iter().copied().filter(|i| *i != own).collect();
        let name = fixture::server(server, 6).name;
        monsooncart_policy::slots::division::owned_slots(own, &peers, 0, &name, 6)
    };

    for server in 0..50 {
        let total: u32 = instances.iter().map(|i| owned(*i, server)).sum();

        assert_eq!(total, 6, "server {server}");
    }
}

#[test]
fn local_servers_are_slightly_preferred() {
    let mut inventory = fixture::inventory(3, 6);
    inventory.servers[0].local = true;
    inventory.servers[1].local = false;
    inventory.servers[2].local = false;
    let mut harness = fixture::harness_with(Config::new(5), inventory);
    let mut sent = Vec::new();

    for _ in 0..300 {
        let attempt = arrive(&mut harness, 1)[0];
        harness.advance(MS);
        harness.answer(attempt.attempt);
        sent.push(attempt);
    }

    let counts = count_by_server(&sent);
    let local = counts[&handle::Server(0)];
    assert!(local > 120, "local server got {local} of 300");
    assert!(counts.values().all(|&n| n >= 30), "{counts:?}");
}

#[test]
fn a_new_server_ramps_up() {
    let mut harness = fixture::harness(5, 6);
    harness.establish_baseline(50, 5 * MS);
    harness.handle(event::Event::Inventory(fixture::inventory(6, 6)));
    let mut shares = Vec::new();

    for _ in 0..3 {
        let sent = arrive(&mut harness, 18);
        let share = count_by_server(&sent).get(&handle::Server(5)).copied();
        shares.push(share.unwrap_or(0));
        for sent in sent {
            harness.answer(sent.attempt);
        }
        harness.advance(Duration::from_secs(12));
        harness.tick();
    }

    assert!(shares[0] <= 1, "at the start: {shares:?}");
    assert!(shares[2] >= 2, "after the ramp-up: {shares:?}");
}

#[test]
fn a_shedding_server_gets_no_requests_until_its_retry_after() {
    let mut harness = fixture::harness(2, 2);
    let sent = fixture::sends(&harness.arrive())[0];
    harness.handle(event::Event::Finish {
        attempt: sent.attempt,
        outcome: outcome::Outcome::Shed { leaving: false },
        replayable: true,
        retry_after: Some(Duration::from_secs(5)),
    });

    harness.advance(Duration::from_secs(4));
    let early = arrive(&mut harness, 3);
    harness.advance(Duration::from_secs(2));
    harness.tick();
    let late = harness.view(sent.server).in_flight;

    assert!(early.iter().all(|s| s.server != sent.server));
    assert_eq!(late, 2, "queued requests go to the server again");
}

#[test]
fn leaving_is_permanent() {
    let mut harness = fixture::harness(2, 6);
    harness.handle(event::Event::Leaving(handle::Server(0)));
    harness.handle(event::Event::Inventory(fixture::inventory(2, 6)));
    harness.deliver_ejection(handle::Server(0), event::Ejection::Restored);

    let sent = arrive(&mut harness, 6);

    assert!(sent.iter().all(|s| s.server == handle::Server(1)));
    assert_eq!(harness.view(handle::Server(0)).state, "leaving");
}

#[test]
fn a_server_that_sheds_as_leaving_gets_no_more_requests() {
    let mut harness = fixture::harness(2, 6);
    let sent = fixture::sends(&harness.arrive())[0];

    let retried = harness.finish(sent.attempt, outcome::Outcome::Shed { leaving: true });
    let later = arrive(&mut harness, 5);

    let all = fixture::sends(&retried).into_iter().chain(later);
    assert!(all.into_iter().all(|s| s.server != sent.server));
}
