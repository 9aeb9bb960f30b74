//! Dissemination of a routing, which is fetched in parts.

use std::sync::atomic::{AtomicU64, Ordering};

use monsooncart_config::routing::{self, part};
use monsooncart_config::{object, snapshot};

use crate::dissemination::{fleet, stores, wait_until_stored};
use crate::fixture::{self, Daemon};
use crate::platform::Platform;

/// Number of routes of a large routing.
const ROUTES: usize = 1400;

fn route(number: usize) -> routing::Route {
    routing::Route {
        name: format!("route-{number}"),
        host: format!("host-{}.example", number % 40),
        prefix: format!("/path-{number}/"),
        repeatable: true,
        timeout: None,
        objective: None,
        attempts: 2,
        priority: 1,
        targets: vec![routing::Target {
            service: "wiredesk".parse().unwrap(),
            weight: 1.0,
        }],
        open: false,
    }
}

fn routing(version: u64, routes: usize) -> routing::Routing {
    routing::Routing {
        version,
        limits: routing::Limits::default(),
        routes: (0..routes).map(route).collect(),
        services: Vec::new(),
        access: routing::access::Access::Open,
    }
}

fn size_bytes(routing: &routing::Routing) -> u64 {
    let parts = part::Parts::split(routing);
    let digests = parts.manifest().parts.iter();
    let sizes = digests
        .filter_map(|d| parts.content(d))
        .map(|c| c.len() as u64);
    sizes.sum()
}

async fn write(platform: &Platform, routing: routing::Routing) -> u64 {
    let value = object::Value::Routing(Box::new(routing));
    platform.write(&object::Key::Routing, &value).await
}

fn received(daemon: &Daemon) -> u64 {
    let counter: &AtomicU64 = &daemon.engine.counters().part_bytes_received;
    counter.load(Ordering::SeqCst)
}

fn snapshot(daemon: &Daemon) -> std::sync::Arc<snapshot::Snapshot> {
    daemon.engine.replica().snapshot()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_routing_reaches_every_daemon_and_each_receives_each_part_once() {
    let platform = Platform::new();
    let daemons = fleet(12, &platform).await;
    let small = write(&platform, routing(1, 10)).await;
    wait_until_stored(&daemons, &object::Key::Routing, small).await;
    let before: Vec<u64> = daemons.iter().map(received).collect();

    let large = write(&platform, routing(2, ROUTES)).await;
    wait_until_stored(&daemons, &object::Key::Routing, large).await;

    let size = size_bytes(&routing(2, ROUTES));
    for (daemon, before) in daemons.iter().zip(before) {
        let snapshot = snapshot(daemon);
        assert_eq!(snapshot.routing().unwrap().routes.len(), ROUTES);
        assert!(snapshot.route("host-7.example", "/path-1367/x").is_some());
        let received = received(daemon) - before;
        assert!(received <= size, "received {received} of {size} bytes");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_bytes_of_a_change_grow_with_the_change() {
    let platform = Platform::new();
    let daemons = fleet(12, &platform).await;
    let mut changed = routing(1, ROUTES);
    let first = write(&platform, changed.clone()).await;
    wait_until_stored(&daemons, &object::Key::Routing, first).await;
    let before: Vec<u64> = daemons.iter().map(received).collect();

    changed.routes[77].attempts = 3;
    changed.version = 2;
    let size = size_bytes(&changed);
    let second = write(&platform, changed).await;
    wait_until_stored(&daemons, &object::Key::Routing, second).await;

    for (daemon, before) in daemons.iter().zip(before) {
        let received = received(daemon) - before;
        assert!(received * 10 < size, "received {received} of {size} bytes");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_daemon_fetches_the_routing_from_its_peers_while_the_platform_is_unavailable() {
    let platform = Platform::new();
    let daemons = fleet(3, &platform).await;
    let version = write(&platform, routing(1, ROUTES)).await;
    wait_until_stored(&daemons, &object::Key::Routing, version).await;
    platform.set_available(false);

    let seed = daemons[0].engine.local().peers;
    let new = crate::dissemination::start("vm-new", vec![seed], &platform).await;

    let stored = || stores(&new.engine, &object::Key::Routing, version);
    fixture::eventually("routing fetched", stored).await;
}
