//! Dissemination of configuration, with the platform available and unavailable.

use std::net;
use std::sync::atomic::Ordering;
use std::time::Duration;

use monsooncart_cluster::spread::{held, source};
use monsooncart_cluster::{config, engine};
use monsooncart_config::{object, zone};
use monsooncart_policy::membership::timings;
use monsooncart_policy::rollout::watcher;

use crate::fixture::{self, Daemon, Process};
use crate::platform::{self, Platform};

pub async fn start(name: &str, seeds: Vec<net::SocketAddr>, platform: &Platform) -> Daemon {
    let recorder = fixture::recorder();
    let config = fixture::settings(name, &recorder);
    let config = config.seeds(seeds).store(platform.outage.clone());
    let engine = config.start().await.unwrap();
    Daemon { engine, recorder }
}

pub async fn fleet(count: usize, platform: &Platform) -> Vec<Daemon> {
    let first = start("vm-0", Vec::new(), platform).await;
    let seed = first.engine.local().peers;
    let mut daemons = vec![first];
    for number in 1..count {
        let name = format!("vm-{number}");
        daemons.push(start(&name, vec![seed], platform).await);
    }
    for daemon in &daemons {
        let joined = || daemon.engine.members().len() == count;
        fixture::eventually("all joined", joined).await;
    }
    daemons
}

pub fn stores(engine: &engine::Engine, key: &object::Key, version: u64) -> bool {
    engine.replica().snapshot().version(key) == Some(version)
}

pub async fn wait_until_stored(daemons: &[Daemon], key: &object::Key, version: u64) {
    for daemon in daemons {
        let stored = || stores(&daemon.engine, key, version);
        fixture::eventually("configuration stored", stored).await;
    }
}

#[tokio::test]
async fn a_change_reaches_every_daemon() {
    let platform = Platform::new();
    let daemons = fleet(6, &platform).await;

    let first = platform
        .write(&object::Key::Zones, &platform::zones("attica-a"))
        .await;
    wait_until_stored(&daemons, &object::Key::Zones, first).await;
    let second = platform
        .write(&object::Key::Zones, &platform::zones("attica-b"))
        .await;
    wait_until_stored(&daemons, &object::Key::Zones, second).await;

    let snapshot = daemons[5].engine.replica().snapshot();
    assert_eq!(snapshot.zones()[0].data_centre.as_str(), "attica-b");
}

#[tokio::test]
async fn a_new_daemon_pulls_from_its_peers_while_the_platform_is_unavailable() {
    let platform = Platform::new();
    let daemons = fleet(3, &platform).await;
    let version = platform
        .write(&object::Key::Zones, &platform::zones("attica-a"))
        .await;
    wait_until_stored(&daemons, &object::Key::Zones, version).await;
    platform.set_available(false);

    let seed = daemons[0].engine.local().peers;
    let new = start("vm-new", vec![seed], &platform).await;

    let stored = || stores(&new.engine, &object::Key::Zones, version);
    fixture::eventually("configuration stored", stored).await;
}

#[tokio::test]
async fn a_change_during_an_outage_reaches_every_daemon_afterwards() {
    let platform = Platform::new();
    let daemons = fleet(4, &platform).await;
    platform.set_available(false);
    let version = platform
        .write(&object::Key::Zones, &platform::zones("attica-c"))
        .await;

    platform.set_available(true);

    wait_until_stored(&daemons, &object::Key::Zones, version).await;
}

/// Number of platform calls of a daemon; the watchers make the most.
fn platform_calls(daemon: &Daemon) -> u64 {
    let calls = &daemon.engine.counters().platform_calls;
    calls.load(Ordering::SeqCst)
}

/// Guards against a call of the platform for each single change of a series.
#[tokio::test]
async fn a_series_of_changes_takes_few_calls_of_the_platform() {
    const CHANGES: usize = 100;
    /// Changes that a call must cover on average.
    const CHANGES_PER_CALL: u64 = 3;
    let platform = Platform::new();
    let daemons = fleet(1, &platform).await;
    let first = platform
        .write(&object::Key::Zones, &platform::zones("attica-a"))
        .await;
    wait_until_stored(&daemons, &object::Key::Zones, first).await;
    let before = platform_calls(&daemons[0]);
    let start = std::time::Instant::now();

    let mut last = first;
    for number in 0..CHANGES {
        let zones = platform::zones(&format!("attica-{number}"));
        last = platform.write(&object::Key::Zones, &zones).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    wait_until_stored(&daemons, &object::Key::Zones, last).await;

    // On a busy machine the series takes longer, in which more calls are due.
    let due_calls = u64::try_from(start.elapsed().as_millis()).expect("short") / 100 + 3;
    let allowed = due_calls.max(CHANGES as u64 / CHANGES_PER_CALL);
    let calls = platform_calls(&daemons[0]) - before;
    assert!(calls <= allowed, "{calls} calls, {allowed} allowed");
}

#[tokio::test]
async fn a_change_reaches_every_daemon_while_both_watchers_are_disconnected() {
    let platform = Platform::new();
    let mut links = Vec::new();
    let mut daemons = Vec::new();
    for number in 0..6 {
        let link = platform.other_link();
        let seeds = daemons.iter().take(1);
        let seeds = seeds.map(|d: &Daemon| d.engine.local().peers).collect();
        daemons.push(start(&format!("vm-{number}"), seeds, &link).await);
        links.push(link);
    }
    let version = platform
        .write(&object::Key::Zones, &platform::zones("attica-a"))
        .await;
    wait_until_stored(&daemons, &object::Key::Zones, version).await;

    let mut order: Vec<_> = (0..daemons.len()).collect();
    order.sort_by_key(|number| std::cmp::Reverse(platform_calls(&daemons[*number])));
    for number in &order[..2] {
        links[*number].set_available(false);
    }
    let version = platform
        .write(&object::Key::Zones, &platform::zones("attica-b"))
        .await;

    wait_until_stored(&daemons, &object::Key::Zones, version).await;
}

#[tokio::test]
async fn a_change_reaches_every_daemon_after_both_watchers_crashed() {
    let platform = Platform::new();
    let mut processes = processes(6, &platform, fixture::timings()).await;
    let version = platform
        .write(&object::Key::Zones, &platform::zones("attica-a"))
        .await;
    for process in &processes {
        let stored = || stores(&process.daemon.engine, &object::Key::Zones, version);
        fixture::eventually("configuration stored", stored).await;
    }

    processes.sort_by_key(|process| platform_calls(&process.daemon));
    processes.drain(4..).for_each(Process::crash);
    let version = platform
        .write(&object::Key::Zones, &platform::zones("attica-b"))
        .await;

    for process in &processes {
        let stored = || stores(&process.daemon.engine, &object::Key::Zones, version);
        fixture::eventually("configuration stored", stored).await;
    }
    processes.into_iter().for_each(Process::crash);
}

/// Starts daemons that can crash, and waits until all know each other.
async fn processes(count: usize, platform: &Platform, timings: config::Timings) -> Vec<Process> {
    let mut processes = Vec::<Process>::new();
    for number in 0..count {
        let recorder = fixture::recorder();
        let config = fixture::settings(&format!("vm-{number}"), &recorder);
        let seeds = processes.iter().take(1);
        let seeds = seeds.map(|p| p.daemon.engine.local().peers).collect();
        let config = config.timings(timings).seeds(seeds);
        let config = config.store(platform.outage.clone());
        processes.push(Process::start(config, recorder).await);
    }
    for process in &processes {
        let joined = || process.daemon.engine.members().len() == count;
        fixture::eventually("all joined", joined).await;
    }
    processes
}

/// Timings with which no lost member is noticed, so that it stays in the order of the watchers.
fn timings_without_failure_detection() -> config::Timings {
    let timings = fixture::timings();
    let never = Duration::from_secs(3600);
    config::Timings {
        membership: timings::Timings {
            probe_interval: never,
            suspicion_timeout: never,
            ..timings.membership
        },
        max_watch_wait: Duration::from_millis(200),
        stale_after: Duration::from_millis(400),
        watchers: 1,
        ..timings
    }
}

/// Guards against daemons that wait for lost ones to watch the platform, as these are still before them
/// in the order of the watchers, and serve an older configuration meanwhile (CONFIG).
#[tokio::test]
async fn a_change_reaches_the_last_daemons_while_all_before_them_are_lost_unnoticed() {
    const LOST: usize = 6;
    let platform = Platform::new();
    let mut processes = processes(LOST + 2, &platform, timings_without_failure_detection()).await;
    let first = platform
        .write(&object::Key::Zones, &platform::zones("attica-a"))
        .await;
    for process in &processes {
        let stored = || stores(&process.daemon.engine, &object::Key::Zones, first);
        fixture::eventually("configuration stored", stored).await;
    }

    let members = processes[0].daemon.engine.members();
    let order = watcher::select(b"config", members.iter(), LOST);
    let is_lost = |p: &mut Process| order.iter().any(|m| m.vm == p.daemon.engine.local().vm);
    let lost: Vec<_> = processes.extract_if(.., is_lost).collect();
    assert_eq!(lost.len(), LOST);
    lost.into_iter().for_each(Process::crash);
    let second = platform
        .write(&object::Key::Zones, &platform::zones("attica-b"))
        .await;

    for process in &processes {
        let stored = || stores(&process.daemon.engine, &object::Key::Zones, second);
        fixture::eventually("configuration stored", stored).await;
    }
    processes.into_iter().for_each(Process::crash);
}

#[tokio::test]
async fn an_object_removed_while_nobody_watched_is_removed() {
    let platform = Platform::new();
    let daemons = fleet(2, &platform).await;
    let version = platform
        .write(&object::Key::Zones, &platform::zones("attica-a"))
        .await;
    wait_until_stored(&daemons, &object::Key::Zones, version).await;
    platform.set_available(false);
    let key = object::Key::Zones.to_string();
    let condition = monsooncart_store::object::Condition::Always;
    let removed =
        monsooncart_store::store::Store::delete(platform.outage.memory().as_ref(), &key, condition);
    removed.await.unwrap();

    platform.set_available(true);

    for daemon in &daemons {
        let removed = || daemon.engine.replica().snapshot().zones().is_empty();
        fixture::eventually("object removed", removed).await;
    }
}

#[test]
fn stored_objects_never_revert() {
    arbtest::arbtest(|u| {
        let replica = held::Replica::default();
        let mut newest = 0;
        for _ in 0..u.int_in_range(1..=20)? {
            let version = u.int_in_range(1..=10)?;
            replica.merge(vec![held::Object {
                key: object::Key::Zones,
                version,
                value: platform::zones(&format!("dc-{version}")),
            }]);
            newest = version.max(newest);

            let snapshot = replica.snapshot();
            assert_eq!(snapshot.version(&object::Key::Zones), Some(newest));
            let expected = format!("dc-{newest}");
            assert_eq!(snapshot.zones()[0].data_centre.as_str(), expected);
        }
        Ok(())
    });
}

fn zones_object(version: u64) -> held::Object {
    held::Object {
        key: object::Key::Zones,
        version,
        value: platform::zones("attica-a"),
    }
}

/// A replica that listed the platform's objects at revision 10, without the zones.
fn replica_after_listing() -> held::Replica {
    let replica = held::Replica::default();
    replica.record_listing(object::PREFIX, 10);
    replica
}

#[test]
fn an_object_that_the_platform_has_removed_is_not_taken_from_a_peer() {
    let replica = replica_after_listing();

    replica.merge_from_peer(vec![zones_object(9)], &source::Native, Duration::ZERO);

    let snapshot = replica.snapshot();
    assert!(snapshot.zones().is_empty());
    // The removal has a version, by which it replaces the peer's object.
    assert_eq!(snapshot.version(&object::Key::Zones), Some(10));
}

#[test]
fn an_object_that_may_have_expired_in_an_outage_is_left_out_without_its_removal() {
    let replica = replica_after_listing();
    let retention = Duration::from_secs(3600);

    replica.merge_from_peer(vec![zones_object(9)], &source::Native, retention);

    assert_eq!(replica.snapshot().version(&object::Key::Zones), None);
}

#[test]
fn an_object_that_is_newer_than_the_listing_is_taken_from_a_peer() {
    let replica = replica_after_listing();

    replica.merge_from_peer(vec![zones_object(11)], &source::Native, Duration::ZERO);
    replica.merge_from_peer(vec![zones_object(10)], &source::Native, Duration::ZERO);

    let snapshot = replica.snapshot();
    assert_eq!(snapshot.version(&object::Key::Zones), Some(11));
    assert_eq!(snapshot.zones().len(), 1);
}

/// Zones whose value is too large for an announcement.
fn many_zones(change: usize) -> object::Value {
    let zone = |number| zone::Zone {
        data_centre: format!("attica-{change}-{number}").parse().unwrap(),
        region: "attica".parse().unwrap(),
    };
    object::Value::Zones((0..100).map(zone).collect())
}

/// Starts a listener that accepts connections but never answers.
async fn start_silent_listener() -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind(fixture::loopback(1))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    address
}

/// Timings with which a call to a silent peer outlasts the test, and no member is suspected.
fn endless_timings() -> config::Timings {
    const ENDLESS: Duration = Duration::from_secs(3600);
    let timings = fixture::timings();
    config::Timings {
        dial_timeout: ENDLESS,
        exchange_timeout: ENDLESS,
        watchers: 3,
        membership: timings::Timings {
            probe_interval: ENDLESS,
            ..timings.membership
        },
        ..timings
    }
}

#[tokio::test]
async fn a_silent_peer_delays_no_change() {
    let platform = Platform::new();
    let settings = |name| fixture::settings(name, &fixture::recorder()).timings(endless_timings());
    let watcher = settings("vm-0").store(platform.outage.clone());
    let watcher = watcher.start().await.unwrap();
    let seeds = vec![watcher.local().peers];
    let other = settings("vm-1").seeds(seeds.clone()).start().await.unwrap();
    let silent = settings("vm-2")
        .seeds(seeds)
        .advertise(Some(start_silent_listener().await));
    let _silent = silent.start().await.unwrap();
    let joined = || watcher.members().len() == 3 && other.members().len() == 3;
    fixture::eventually("all joined", joined).await;

    for change in 0..20 {
        let version = platform
            .write(&object::Key::Zones, &many_zones(change))
            .await;
        let stored = || stores(&other, &object::Key::Zones, version);
        fixture::eventually("change stored", stored).await;
        // The next reconciliation may begin.
        tokio::time::sleep(endless_timings().reconciliation_interval).await;
    }
}

/// Guards against a daemon that missed an announcement and waits for lost peers, one after the other,
/// while it serves an older configuration (CONFIG).
#[tokio::test]
async fn a_missed_change_is_found_while_most_peers_are_lost_unnoticed() {
    // Time in which a configuration must be in force.
    const APPLY_TIME: Duration = Duration::from_millis(2500);
    const LOST: usize = 6;
    for _ in 0..5 {
        let platform = Platform::new();
        let settings =
            |name: &str| fixture::settings(name, &fixture::recorder()).timings(endless_timings());
        let watcher = settings("vm-0").store(platform.outage.clone());
        let watcher = watcher.start().await.unwrap();
        let change = platform.write(&object::Key::Zones, &many_zones(1)).await;
        let stored = || stores(&watcher, &object::Key::Zones, change);
        fixture::eventually("change stored", stored).await;
        let mut lost = Vec::new();
        for number in 0..LOST {
            let engine = settings(&format!("lost-{number}"))
                .seeds(vec![watcher.local().peers])
                .advertise(Some(start_silent_listener().await));
            lost.push(engine.start().await.unwrap());
        }
        let joined = || lost[0].members().len() == LOST + 1;
        fixture::eventually("all joined", joined).await;

        // Its members are known from a lost daemon, and the change is not announced to it.
        let late = settings("late").seeds(vec![lost[0].bound_address()]);
        let late = late.start().await.unwrap();
        let joined = || late.members().len() == LOST + 2;
        fixture::eventually("joined", joined).await;

        let stored = || stores(&late, &object::Key::Zones, change);
        let found = tokio::time::timeout(APPLY_TIME, fixture::eventually("found", stored));
        assert!(found.await.is_ok(), "not within {APPLY_TIME:?}");
    }
}
