//! Removal of objects around partitions of daemons from the platform, which stays available, and around
//! outages of it.

use std::time::{Duration, Instant};

use monsooncart_cluster::{config, engine};
use monsooncart_config::{object, registration};
use monsooncart_policy::rollout::watcher;
use monsooncart_store::store::Store as _;
use monsooncart_types::span;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::dissemination::stores;
use crate::fixture::{self, Daemon};
use crate::platform::{self, Platform};

/// Minimum silence of the platform in which objects expire.
const EXPIRY_TIME: Duration = Duration::from_secs(1);

/// Time within which a removal that is not deferred reaches every daemon.
const REMOVAL_TIME: Duration = Duration::from_secs(10);

/// Share of a service's sound servers that must stay in use (`floor_share` of the users' platform).
const FLOOR_SHARE: f64 = 0.7;

/// Number of servers, of `total`, that may be removed although they may reappear.
fn max_removed(total: usize) -> usize {
    total - (total as f64 * FLOOR_SHARE).ceil() as usize
}

/// Timings with one watcher, and with which deferred removals are never applied.
fn timings() -> config::Timings {
    config::Timings {
        max_watch_wait: Duration::from_millis(200),
        stale_after: Duration::from_millis(300),
        watchers: 1,
        removal_delay: Duration::from_secs(3600),
        expiry_time: EXPIRY_TIME,
        ..fixture::timings()
    }
}

/// A daemon with a link of its own to the platform.
struct Linked {
    daemon: Daemon,
    link: Platform,
}

async fn start(number: usize, region: &str, seeds: &[Linked], platform: &Platform) -> Linked {
    let recorder = fixture::recorder();
    let link = platform.other_link();
    let seeds = seeds.iter().take(1);
    let seeds = seeds.map(|l| l.daemon.engine.local().peers).collect();
    let config = fixture::settings_in(&format!("vm-{number}"), region, &recorder);
    let config = config.timings(timings());
    let config = config.seeds(seeds).store(link.outage.clone());
    let engine = config.start().await.unwrap();
    let daemon = Daemon { engine, recorder };
    Linked { daemon, link }
}

/// Starts daemons that know each other, in the order in which they watch the platform.
async fn fleet(count: usize, platform: &Platform) -> Vec<Linked> {
    let mut fleet = Vec::new();
    for number in 0..count {
        let linked = start(number, "attica", &fleet, platform).await;
        fleet.push(linked);
    }
    for linked in &fleet {
        let joined = || linked.daemon.engine.members().len() == count;
        fixture::eventually("all joined", joined).await;
    }
    let members = fleet[0].daemon.engine.members();
    let order = watcher::select(b"config", members.iter(), count);
    fleet.sort_by_key(|linked| {
        let vm = &linked.daemon.engine.local().vm;
        order.iter().position(|member| member.vm == *vm)
    });
    fleet
}

fn key(server: usize) -> object::Key {
    object::Key::Registration(format!("wiredesk-{server}").parse().unwrap())
}

fn registration(leaving: bool) -> object::Value {
    object::Value::Registration(Some(Box::new(registration::Registration {
        service: "wiredesk".parse().unwrap(),
        address: fixture::loopback(1),
        data_centre: "attica-a".parse().unwrap(),
        slots: 2,
        leaving,
        cold: span::Span(Duration::ZERO),
        started_millis: 1,
    })))
}

async fn register(platform: &Platform, count: usize, leaving: usize) -> u64 {
    let mut version = 0;
    for server in 0..count {
        let value = registration(server < leaving);
        version = platform.write(&key(server), &value).await;
    }
    version
}

async fn remove(platform: &Platform, key: &object::Key) {
    let condition = monsooncart_store::object::Condition::Always;
    let memory = platform.outage.memory();
    let key = key.to_string();
    let removed = memory.delete(&key, condition);
    removed.await.unwrap();
}

fn has(engine: &engine::Engine, key: &object::Key) -> bool {
    let snapshot = engine.replica().snapshot();
    snapshot.value(key).is_some_and(|value| !value.is_empty())
}

async fn wait_until_removed(fleet: &[Linked], key: &object::Key, what: &str) {
    let start = Instant::now();
    for linked in fleet {
        let removed = || !has(&linked.daemon.engine, key);
        fixture::eventually(what, removed).await;
    }
    assert!(start.elapsed() < REMOVAL_TIME, "{what}");
}

/// Guards against servers that get requests after their removal, as the daemons that watch had been
/// turned away by the platform, which answered others meanwhile (DRAIN).
#[tokio::test]
async fn a_removal_is_not_deferred_by_daemons_that_were_turned_away() {
    let checks = (0..16).map(|seed| async move {
        let mut rng = SmallRng::seed_from_u64(seed);
        let platform = Platform::new();
        let fleet = fleet(4, &platform).await;
        let zones = platform::zones("attica-a");
        let version = platform.write(&object::Key::Zones, &zones).await;
        for linked in &fleet {
            let stored = || stores(&linked.daemon.engine, &object::Key::Zones, version);
            fixture::eventually("object stored", stored).await;
        }

        let turned_away = rng.random_range(1..fleet.len());
        let duration = EXPIRY_TIME.mul_f64(rng.random_range(1.2..3.0));
        let (away, _others) = fleet.split_at(turned_away);
        away.iter().for_each(|l| l.link.set_available(false));
        tokio::time::sleep(duration).await;
        away.iter().for_each(|l| l.link.set_available(true));
        let pause = EXPIRY_TIME.mul_f64(rng.random_range(0.0..1.0));
        tokio::time::sleep(pause).await;
        remove(&platform, &object::Key::Zones).await;

        let what = format!("object removed, seed {seed}");
        wait_until_removed(&fleet, &object::Key::Zones, &what).await;
    });
    futures_util::future::join_all(checks).await;
}

/// Guards against servers that get requests after their removal, as a daemon that begins to watch after a
/// long rest fails with its first call (DRAIN).
#[tokio::test]
async fn a_removal_is_not_deferred_as_the_first_call_after_a_rest_failed() {
    let platform = Platform::new();
    let fleet = fleet(2, &platform).await;
    let zones = platform::zones("attica-a");
    let version = platform.write(&object::Key::Zones, &zones).await;
    for linked in &fleet {
        let stored = || stores(&linked.daemon.engine, &object::Key::Zones, version);
        fixture::eventually("object stored", stored).await;
    }
    tokio::time::sleep(2 * EXPIRY_TIME).await;

    fleet[0].link.set_available(false);
    fleet[1].link.set_available(false);
    tokio::time::sleep(EXPIRY_TIME / 4).await;
    fleet[1].link.set_available(true);
    remove(&platform, &object::Key::Zones).await;

    wait_until_removed(&fleet, &object::Key::Zones, "object removed").await;
}

/// Guards against servers that get requests after their removal, as a watch is cut off long after some
/// other call failed (DRAIN).
#[tokio::test]
async fn a_removal_is_not_deferred_as_a_watch_is_cut_off_long_after_a_failed_call() {
    let platform = Platform::new();
    let fleet = fleet(1, &platform).await;
    let zones = platform::zones("attica-a");
    let version = platform.write(&object::Key::Zones, &zones).await;
    let stored = || stores(&fleet[0].daemon.engine, &object::Key::Zones, version);
    fixture::eventually("object stored", stored).await;
    fleet[0].link.set_available(false);
    tokio::time::sleep(EXPIRY_TIME / 4).await;
    fleet[0].link.set_available(true);
    tokio::time::sleep(3 * EXPIRY_TIME).await;

    fleet[0].link.outage.cut_off_watches();
    tokio::time::sleep(EXPIRY_TIME / 2).await;
    remove(&platform, &object::Key::Zones).await;

    wait_until_removed(&fleet, &object::Key::Zones, "object removed").await;
}

/// Guards against servers that get requests after their removal, as the listing after a watch that was
/// cut off has so many pages that it takes longer than an outage (DRAIN).
#[tokio::test]
async fn a_removal_is_not_deferred_as_a_listing_takes_long() {
    const SERVERS: usize = 2500;
    let platform = Platform::new();
    let version = register(&platform, SERVERS, 0).await;
    let fleet = fleet(1, &platform).await;
    let stored = || stores(&fleet[0].daemon.engine, &key(SERVERS - 1), version);
    fixture::eventually("servers stored", stored).await;

    fleet[0].link.outage.set_page_delay(EXPIRY_TIME / 2);
    fleet[0].link.outage.cut_off_watches();
    let zones = platform::zones("attica-a");
    let version = platform.write(&object::Key::Zones, &zones).await;
    let stored = || stores(&fleet[0].daemon.engine, &object::Key::Zones, version);
    fixture::eventually("objects listed again", stored).await;
    remove(&platform, &object::Key::Zones).await;

    wait_until_removed(&fleet, &object::Key::Zones, "object removed").await;
}

/// Guards against servers that get requests after their removal, as all daemons were cut off from a
/// platform that was there (DRAIN), and, for the other side, against a service that loses most of its
/// servers as their entries expired in an outage. A daemon alone cannot tell one from the other.
#[tokio::test]
async fn few_missing_servers_are_removed_at_once_and_many_are_kept() {
    let checks = (0..32).map(|seed| async move {
        let mut rng = SmallRng::seed_from_u64(seed);
        let servers: usize = rng.random_range(1..40);
        let leaving = rng.random_range(0..=servers / 3);
        let mut missing: Vec<_> = (0..servers).collect();
        missing.retain(|_| rng.random_bool(0.25));
        let (before, after) = missing.split_at(rng.random_range(0..=missing.len()));
        let platform = Platform::new();
        let version = register(&platform, servers, leaving).await;
        let fleet = fleet(1, &platform).await;
        let engine = &fleet[0].daemon.engine;
        let stored = || stores(engine, &key(servers - 1), version);
        fixture::eventually("servers stored", stored).await;

        fleet[0].link.set_available(false);
        tokio::time::sleep(2 * EXPIRY_TIME).await;
        for server in before {
            remove(&platform, &key(*server)).await;
        }
        fleet[0].link.set_available(true);
        tokio::time::sleep(EXPIRY_TIME).await;
        for server in after {
            remove(&platform, &key(*server)).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }

        let max_removed = max_removed(servers - leaving);
        let serving = missing.iter().filter(|server| **server >= leaving);
        let is_removed = |server: &usize| !has(engine, &key(*server));
        let what = format!("leaving servers removed, seed {seed}");
        let mut gone = missing.iter().filter(|server| **server < leaving);
        fixture::eventually(&what, || gone.clone().all(is_removed)).await;
        assert!(gone.all(is_removed));
        if serving.clone().count() <= max_removed {
            let what = format!("few servers removed, seed {seed}");
            fixture::eventually(&what, || serving.clone().all(is_removed)).await;
        }
        tokio::time::sleep(EXPIRY_TIME).await;
        let removed = serving.filter(|server| is_removed(server)).count();
        assert!(
            removed <= max_removed,
            "seed {seed}: {removed} of {servers}"
        );
        let kept = (leaving..servers).filter(|server| !missing.contains(server));
        assert!(
            kept.clone().all(|server| !is_removed(&server)),
            "seed {seed}"
        );
    });
    futures_util::future::join_all(checks).await;
}

/// Guards against a service that loses most of its servers after an outage, as several watchers each remove
/// some whose entries expired.
#[tokio::test]
async fn all_watchers_together_remove_few_of_the_missing_servers() {
    const SERVERS: usize = 30;
    const WATCHERS: usize = 4;
    let platform = Platform::new();
    let version = register(&platform, SERVERS, 0).await;
    let mut fleet = Vec::new();
    for number in 0..WATCHERS {
        let region = format!("region-{number}");
        let linked = start(number, &region, &fleet, &platform).await;
        fleet.push(linked);
    }
    for linked in &fleet {
        let joined = || linked.daemon.engine.members().len() == WATCHERS;
        fixture::eventually("all joined", joined).await;
        let stored = || stores(&linked.daemon.engine, &key(SERVERS - 1), version);
        fixture::eventually("servers stored", stored).await;
    }

    fleet.iter().for_each(|l| l.link.set_available(false));
    tokio::time::sleep(2 * EXPIRY_TIME).await;
    fleet.iter().for_each(|l| l.link.set_available(true));
    tokio::time::sleep(EXPIRY_TIME).await;
    for server in 0..SERVERS {
        remove(&platform, &key(server)).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(EXPIRY_TIME).await;

    let max_removed = max_removed(SERVERS);
    for linked in &fleet {
        let removed = (0..SERVERS).filter(|server| !has(&linked.daemon.engine, &key(*server)));
        let removed = removed.count();
        assert!((1..=max_removed).contains(&removed), "{removed} removed");
    }
}

/// Guards against a daemon that stands still after an outage in which the entries of all servers expired: the
/// time to defer their removal grows with their number, not with its square.
#[tokio::test]
async fn deferring_the_removal_of_all_servers_takes_time_in_proportion_to_their_number() {
    const FEW: usize = 4000;
    const MANY: usize = 32_000;
    // Eight times as many take 64 times as long if each is compared with all others.
    const MAX_RATIO: f64 = 24.0;
    let few = time_to_list_after_outage(FEW).await;
    let many = time_to_list_after_outage(MANY).await;
    let ratio = many.div_duration_f64(few);
    assert!(ratio < MAX_RATIO, "{FEW}: {few:?}, {MANY}: {many:?}");
}

/// Time from the end of an outage in which all entries expired until an object written since is stored.
async fn time_to_list_after_outage(servers: usize) -> Duration {
    let platform = Platform::new();
    let version = register(&platform, servers, 0).await;
    let fleet = fleet(1, &platform).await;
    let engine = &fleet[0].daemon.engine;
    let stored = || stores(engine, &key(servers - 1), version);
    fixture::eventually("servers stored", stored).await;
    fleet[0].link.set_available(false);
    tokio::time::sleep(2 * EXPIRY_TIME).await;
    for server in 0..servers {
        remove(&platform, &key(server)).await;
    }
    let zones = platform::zones("attica-a");
    let version = platform.write(&object::Key::Zones, &zones).await;

    let start = Instant::now();
    fleet[0].link.set_available(true);
    let stored = || stores(engine, &object::Key::Zones, version);
    fixture::eventually("object stored", stored).await;
    start.elapsed()
}
