//! Daemons in several regions.

use std::sync::atomic::Ordering;
use std::time::Duration;

use monsooncart_cluster::{config, scope};

use crate::fixture::{self, Daemon};
use crate::platform::Platform;

/// Number of calls that only a daemon that watches continuously makes.
const WATCH_CALLS: u64 = 300;

const REGIONS: [&str; 3] = ["attica", "scot-central", "lothian"];

async fn fleet(count: usize) -> Vec<Daemon> {
    let mut daemons: Vec<Daemon> = Vec::new();
    for number in 0..count {
        let recorder = fixture::recorder();
        let region = REGIONS[number % REGIONS.len()];
        let seeds = daemons.iter().take(1).map(|d| d.engine.local().peers);
        let config = fixture::settings_in(&format!("vm-{number}"), region, &recorder);
        let engine = config.seeds(seeds.collect()).start().await.unwrap();
        daemons.push(Daemon { engine, recorder });
    }
    for daemon in &daemons {
        let joined = || daemon.engine.members().len() == count;
        fixture::eventually("joined", joined).await;
    }
    daemons
}

#[tokio::test]
async fn an_update_reaches_every_region() {
    let daemons = fleet(9).await;

    daemons[0]
        .engine
        .publish(fixture::leaving_update(), scope::Scope::Fleet);

    for daemon in &daemons[1..] {
        let received = || !daemon.recorder.updates.lock().unwrap().is_empty();
        fixture::eventually("update received", received).await;
    }
}

#[tokio::test]
async fn a_crash_is_detected_in_every_region() {
    let mut daemons = fleet(9).await;
    let crashed = daemons.remove(4);
    let instance = crashed.engine.local().instance;

    drop(crashed);

    for daemon in &daemons {
        let removed = || {
            let members = daemon.engine.members();
            !members.iter().any(|m| m.instance == instance)
        };
        fixture::eventually("removed", removed).await;
    }
}

/// Guards against a crashed daemon that stays a member, since another VM's daemon responds at its
/// address.
#[tokio::test]
async fn a_crashed_daemon_whose_address_is_in_use_again_is_removed() {
    let first = fixture::start("vm-0", Vec::new()).await;
    let seeds = vec![first.engine.local().peers];
    let recorder = fixture::recorder();
    let config = fixture::settings("vm-1", &recorder).seeds(seeds.clone());
    let crashed = fixture::Process::start(config, recorder).await;
    let joined = || first.engine.members().len() == 2;
    fixture::eventually("joined", joined).await;
    let local = crashed.daemon.engine.local().clone();

    crashed.crash();
    let recorder = fixture::recorder();
    let next = loop {
        // The sockets of the crashed daemon are closed in the background.
        let config = fixture::settings_at("vm-2", local.peers, &recorder);
        match config.seeds(seeds.clone()).start().await {
            Ok(engine) => break engine,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };

    let removed = || {
        let members = first.engine.members();
        let has = |instance| members.iter().any(|m| m.instance == instance);
        has(next.local().instance) && !has(local.instance)
    };
    fixture::eventually("removed", removed).await;
}

/// Starts a daemon in a region, with its own link to the platform.
async fn start_in(region: &str, name: &str, seeds: &[Daemon], platform: &Platform) -> Daemon {
    let recorder = fixture::recorder();
    let timings = config::Timings {
        max_watch_wait: Duration::from_millis(20),
        stale_after: Duration::from_secs(2),
        watchers: 1,
        reconciliation_interval: Duration::from_millis(40),
        ..fixture::timings()
    };
    let seeds = seeds.iter().take(1).map(|d| d.engine.local().peers);
    let config = fixture::settings_in(name, region, &recorder).timings(timings);
    let config = config.seeds(seeds.collect()).store(platform.outage.clone());
    let engine = config.start().await.unwrap();
    Daemon { engine, recorder }
}

#[tokio::test]
async fn another_daemon_watches_if_only_its_regions_watcher_is_disconnected() {
    let platform = Platform::new();
    let mut daemons = Vec::new();
    let mut links = Vec::new();
    // Many daemons in the connected region, so that most reconciliations between regions reach one.
    for number in 0..6 {
        let name = format!("far-{number}");
        daemons.push(start_in("scot-central", &name, &daemons, &platform).await);
    }
    for number in 0..2 {
        let link = platform.other_link();
        let name = format!("near-{number}");
        daemons.push(start_in("attica", &name, &daemons, &link).await);
        links.push(link);
    }
    for daemon in &daemons {
        let joined = || daemon.engine.members().len() == daemons.len();
        fixture::eventually("joined", joined).await;
    }
    let calls = |index: usize| {
        let counters = daemons[6 + index].engine.counters();
        counters.platform_calls.load(Ordering::Relaxed)
    };

    for cut in [0, 1] {
        links[cut].set_available(false);
        let other = 1 - cut;
        let before = calls(other);
        let watches = || calls(other) > before + WATCH_CALLS;
        fixture::eventually("the other daemon watches", watches).await;
        links[cut].set_available(true);
    }
}
