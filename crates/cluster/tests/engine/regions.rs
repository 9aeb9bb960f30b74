//! Daemons of several regions.

use std::sync::atomic::Ordering;
use std::time::Duration;

use monsooncart_cluster::{config, scope};

use crate::fixture::{self, Daemon};
use crate::platform::Platform;

/// Calls of a daemon that watches all the time, which one that looks in now and then does not make.
const WATCHES: u64 = 300;

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
async fn news_reaches_every_region() {
    let daemons = fleet(9).await;

    daemons[0]
        .engine
        .publish(fixture::leaving(), scope::Scope::Fleet);

    for daemon in &daemons[1..] {
        let heard = || !daemon.recorder.news.lock().unwrap().is_empty();
        fixture::eventually("news heard", heard).await;
    }
}

#[tokio::test]
async fn a_crash_is_known_in_every_region() {
    let mut daemons = fleet(9).await;
    let crashed = daemons.remove(4);
    let instance = crashed.engine.local().instance;

    drop(crashed);

    for daemon in &daemons {
        let dropped = || {
            let members = daemon.engine.members();
            !members.iter().any(|m| m.instance == instance)
        };
        fixture::eventually("dropped", dropped).await;
    }
}

/// Starts a daemon of a region with a way of its own to the platform.
async fn start_in(region: &str, name: &str, seeds: &[Daemon], platform: &Platform) -> Daemon {
    let recorder = fixture::recorder();
    let timings = config::Timings {
        watch: Duration::from_millis(20),
        stale: Duration::from_secs(2),
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
async fn another_watches_where_a_regions_watcher_is_cut_off_though_other_regions_hear() {
    let platform = Platform::new();
    let mut daemons = Vec::new();
    let mut ways = Vec::new();
    // Many daemons of a region that hears, so that most comparisons across are with one.
    for number in 0..6 {
        let name = format!("far-{number}");
        daemons.push(start_in("scot-central", &name, &daemons, &platform).await);
    }
    for number in 0..2 {
        let way = platform.other_way();
        let name = format!("near-{number}");
        daemons.push(start_in("attica", &name, &daemons, &way).await);
        ways.push(way);
    }
    for daemon in &daemons {
        let joined = || daemon.engine.members().len() == daemons.len();
        fixture::eventually("joined", joined).await;
    }
    let calls = |place: usize| {
        let counters = daemons[6 + place].engine.counters();
        counters.platform_calls.load(Ordering::Relaxed)
    };

    for cut in [0, 1] {
        ways[cut].set_up(false);
        let other = 1 - cut;
        let before = calls(other);
        let watches = || calls(other) > before + WATCHES;
        fixture::eventually("the other daemon watches", watches).await;
        ways[cut].set_up(true);
    }
}
