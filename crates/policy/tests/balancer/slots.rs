//! Slots: never passed, shared between daemons, with slow start and a light preference for near
//! servers.

use std::time::Duration;

use monsooncart_policy::balancer::Config;
use monsooncart_policy::slots::Strategy;
use monsooncart_policy::{event, handle, outcome};
use monsooncart_types::{instance, map};
use strum::IntoEnumIterator;

use crate::fixture::{self, Bench, MS};

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

fn counts(sent: &[fixture::Sent]) -> map::Map<handle::Server, u32> {
    let mut counts = map::Map::default();
    for sent in sent {
        *counts.entry(sent.server).or_default() += 1;
    }
    counts
}

fn arrive(bench: &mut Bench, count: u32) -> Vec<fixture::Sent> {
    (0..count)
        .flat_map(|_| fixture::sends(&bench.arrive()))
        .collect()
}

#[test]
fn strategies_bear_names() {
    let names: Vec<_> = Strategy::iter().map(|s| s.to_string()).collect();

    assert_eq!(names, ["power-of-two", "shared-load", "divided-slots"]);
}

#[test]
fn slots_are_filled_and_never_passed() {
    for strategy in Strategy::iter() {
        let config = Config::new(3).strategy(strategy);
        let mut bench = fixture::bench_with(config, fixture::inventory(4, 2));

        let sent = arrive(&mut bench, 20);

        assert_eq!(sent.len(), 8, "{strategy}");
        assert!(counts(&sent).values().all(|&n| n == 2), "{strategy}");
    }
}

#[test]
fn shared_load_avoids_servers_that_peers_fill() {
    let config = Config::new(3).strategy(Strategy::SharedLoad);
    let mut bench = fixture::bench_with(config, fixture::inventory(2, 6));
    bench.hear(9, vec![(handle::Server(0), digest(6))]);

    let sent = arrive(&mut bench, 6);

    assert!(sent.iter().all(|s| s.server == handle::Server(1)));
}

#[test]
fn divided_slots_borrow_only_what_looks_unused() {
    let config = Config::new(3)
        .strategy(Strategy::DividedSlots)
        .instance(instance::Instance(1));
    let mut inventory = fixture::inventory(4, 6);
    inventory.daemons = 2;
    let mut bench = fixture::bench_with(config, inventory);
    let full = (0..4).map(|s| (handle::Server(s), digest(6))).collect();
    bench.hear(2, full);

    let own = arrive(&mut bench, 24).len();
    let idle = (0..4).map(|s| (handle::Server(s), digest(0))).collect();
    bench.hear(2, idle);
    bench.tick();
    let borrowed = bench.view_in_flight() as usize - own;

    assert!((6..=18).contains(&own), "own slots: {own} of 24");
    assert_eq!(own + borrowed, 24);
}

#[test]
fn daemons_divide_each_slot_once() {
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
fn near_servers_are_preferred_lightly() {
    let mut inventory = fixture::inventory(3, 6);
    inventory.servers[0].local = true;
    inventory.servers[1].local = false;
    inventory.servers[2].local = false;
    let mut bench = fixture::bench_with(Config::new(5), inventory);
    let mut sent = Vec::new();

    for _ in 0..300 {
        let attempt = arrive(&mut bench, 1)[0];
        bench.pass(MS);
        bench.answer(attempt.attempt);
        sent.push(attempt);
    }

    let counts = counts(&sent);
    let near = counts[&handle::Server(0)];
    assert!(near > 120, "near server got {near} of 300");
    assert!(counts.values().all(|&n| n >= 30), "{counts:?}");
}

#[test]
fn a_new_server_starts_slowly() {
    let mut bench = fixture::bench(5, 6);
    bench.warm(50, 5 * MS);
    bench.handle(event::Event::Inventory(fixture::inventory(6, 6)));
    let mut shares = Vec::new();

    for _ in 0..3 {
        let sent = arrive(&mut bench, 18);
        let share = counts(&sent).get(&handle::Server(5)).copied();
        shares.push(share.unwrap_or(0));
        for sent in sent {
            bench.answer(sent.attempt);
        }
        bench.pass(Duration::from_secs(12));
        bench.tick();
    }

    assert!(shares[0] <= 1, "at first: {shares:?}");
    assert!(shares[2] >= 2, "in the end: {shares:?}");
}

#[test]
fn a_shedding_server_is_left_alone_until_it_asks_for_work() {
    let mut bench = fixture::bench(2, 2);
    let sent = fixture::sends(&bench.arrive())[0];
    bench.handle(event::Event::Finish {
        attempt: sent.attempt,
        outcome: outcome::Outcome::Shed { leaving: false },
        replayable: true,
        retry_after: Some(Duration::from_secs(5)),
    });

    bench.pass(Duration::from_secs(4));
    let early = arrive(&mut bench, 3);
    bench.pass(Duration::from_secs(2));
    bench.tick();
    let late = bench.view(sent.server).in_flight;

    assert!(early.iter().all(|s| s.server != sent.server));
    assert_eq!(late, 2, "work that waited goes to the server again");
}

#[test]
fn leaving_is_sticky() {
    let mut bench = fixture::bench(2, 6);
    bench.handle(event::Event::Leaving(handle::Server(0)));
    bench.handle(event::Event::Inventory(fixture::inventory(2, 6)));
    bench.ejection(handle::Server(0), event::Ejection::Restored);

    let sent = arrive(&mut bench, 6);

    assert!(sent.iter().all(|s| s.server == handle::Server(1)));
    assert_eq!(bench.view(handle::Server(0)).state, "leaving");
}

#[test]
fn a_server_that_sheds_as_leaving_gets_no_more_work() {
    let mut bench = fixture::bench(2, 6);
    let sent = fixture::sends(&bench.arrive())[0];

    let retried = bench.finish(sent.attempt, outcome::Outcome::Shed { leaving: true });
    let later = arrive(&mut bench, 5);

    let all = fixture::sends(&retried).into_iter().chain(later);
    assert!(all.into_iter().all(|s| s.server != sent.server));
}
