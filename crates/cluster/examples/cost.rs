//! Measures what a daemon's part in the fleet costs: bytes, datagrams, platform calls, processor
//! time and memory a daemon, and the time until news and configuration have reached all.
//!
//! `cargo run --release -p monsooncart-cluster --example cost -- --daemons 60 --regions 3`

use std::fs;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use clap::Parser;
use futures_util::future::BoxFuture;
use monsooncart_cluster::handler::Caller;
use monsooncart_cluster::{config, engine, handler, scope};
use monsooncart_config::{object, zone};
use monsooncart_policy::claims::{claim, handover};
use monsooncart_policy::membership::member;
use monsooncart_store::{memory, object as platform, store::Store};
use monsooncart_types::instance;
use monsooncart_wire::{claims, floor, news, usage};

/// Ticks of the processor time in /proc/self/stat a second.
const TICKS: f64 = 100.0;

/// Bytes of a page in /proc/self/statm.
const PAGE: f64 = 4096.0;

#[derive(Parser, Debug, serde::Serialize)]
struct Arguments {
    /// Daemons, all in this process.
    #[arg(long, default_value_t = 60)]
    daemons: usize,
    /// Regions that they stand in.
    #[arg(long, default_value_t = 1)]
    regions: usize,
    /// Time of each measurement, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Services in the configuration.
    #[arg(long, default_value_t = 200)]
    services: usize,
    /// Changes and news whose spreading is timed.
    #[arg(long, default_value_t = 10)]
    changes: usize,
}

/// Notes when it heard news.
#[derive(Default)]
struct Listener {
    heard: Mutex<Option<Instant>>,
}

impl handler::Handler for Listener {
    fn claim(&self, _: Caller, _: claims::Claim) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        Box::pin(async { Err(claim::Refusal::Forged) })
    }

    fn release(&self, _: Caller, _: claims::Release) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        Box::pin(async { Ok(()) })
    }

    fn settle(&self, _: Caller, _: claims::Settle) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        Box::pin(async { Ok(()) })
    }

    fn outcome(
        &self,
        _: Caller,
        _: claims::Outcome,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>> {
        Box::pin(async { Err(claim::Refusal::Forged) })
    }

    fn hand_over(&self, _: Caller, _: claims::HandOver) -> BoxFuture<'_, handover::Reply> {
        Box::pin(async { handover::Reply::Taken })
    }

    fn keep_usage(&self, _: Caller, _: usage::Copy) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }

    fn fetch_usage(&self, _: Caller, _: usage::Fetch) -> BoxFuture<'_, usage::Copies> {
        Box::pin(async { usage::Copies { copies: Vec::new() } })
    }

    fn floor(&self, _: Caller, request: floor::Request) -> BoxFuture<'_, floor::Reply> {
        let payload = request.payload;
        Box::pin(async { floor::Reply { payload } })
    }

    fn news(&self, _: news::News) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        *heard = Some(Instant::now());
    }
}

struct Daemon {
    engine: engine::Engine,
    listener: Arc<Listener>,
}

/// What the daemons have used so far, over all.
#[derive(Clone, Copy, Default)]
struct Used {
    datagrams: f64,
    datagram_bytes: f64,
    call_bytes: f64,
    platform_calls: f64,
    processor_seconds: f64,
}

/// What one daemon uses in a second.
#[derive(Debug, serde::Serialize)]
struct Rate {
    datagrams: f64,
    datagram_bytes: f64,
    call_bytes: f64,
    platform_calls: f64,
    processor_percent: f64,
}

/// Times until news had reached the median daemon, the 99th in 100 and the last, in milliseconds.
#[derive(Debug, serde::Serialize)]
struct Spread {
    p50: f64,
    p99: f64,
    last: f64,
}

#[derive(Debug, serde::Serialize)]
struct Report {
    arguments: Arguments,
    join_seconds: f64,
    at_rest: Rate,
    resident_mb_a_daemon: f64,
    configuration: Spread,
    news: Spread,
}

fn processor_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = fields.iter().skip(12).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS
}

fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE
}

fn used(daemons: &[Daemon]) -> Used {
    let sum = |read: fn(&monsooncart_cluster::counters::Counters) -> &AtomicU64| {
        let counters = daemons.iter().map(|d| d.engine.counters());
        counters
            .map(|c| read(c).load(Ordering::Relaxed) as f64)
            .sum()
    };
    Used {
        datagrams: sum(|c| &c.datagrams_sent),
        datagram_bytes: sum(|c| &c.bytes_sent),
        call_bytes: sum(|c| &c.call_bytes_sent),
        platform_calls: sum(|c| &c.platform_calls),
        processor_seconds: processor_seconds(),
    }
}

async fn measure(daemons: &[Daemon], seconds: u64) -> Rate {
    let before = used(daemons);
    let start = Instant::now();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = used(daemons);
    let each = start.elapsed().as_secs_f64() * daemons.len() as f64;
    Rate {
        datagrams: (after.datagrams - before.datagrams) / each,
        datagram_bytes: (after.datagram_bytes - before.datagram_bytes) / each,
        call_bytes: (after.call_bytes - before.call_bytes) / each,
        platform_calls: (after.platform_calls - before.platform_calls) / each,
        processor_percent: 100.0 * (after.processor_seconds - before.processor_seconds) / each,
    }
}

fn spread(mut times: Vec<f64>) -> Spread {
    times.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let index = (times.len() as f64 * share).ceil() as usize;
        times.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
    };
    Spread {
        p50: at(0.5),
        p99: at(0.99),
        last: at(1.0),
    }
}

async fn start(
    number: usize,
    arguments: &Arguments,
    seeds: Vec<net::SocketAddr>,
    store: Arc<memory::Memory>,
) -> Daemon {
    let region = number % arguments.regions;
    let local = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let member = member::Member {
        vm: format!("entry-{number:05}").parse().expect("a name"),
        instance: instance::Instance(rand::random()),
        peers: local,
        callers: local,
        admin: local,
        data_centre: format!("region-{region}-a").parse().expect("a name"),
        region: format!("region-{region}").parse().expect("a name"),
        state: member::State::Alive,
        leaving: false,
        capacity: 1000,
    };
    let listener = Arc::new(Listener::default());
    let config = config::Config::new(member, local, listener.clone());
    let config = config.seeds(seeds).store(store);
    let engine = config.start().await.expect("the engine starts");
    Daemon { engine, listener }
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn value(change: usize) -> object::Value {
    object::Value::Zones(vec![zone::Zone {
        data_centre: format!("attica-{change}").parse().expect("a name"),
        region: "attica".parse().expect("a name"),
    }])
}

async fn write(store: &memory::Memory, key: &object::Key, value: &object::Value) -> u64 {
    let key = key.to_string();
    let written = store.put(&key, value.encode(), platform::Condition::Always);
    written.await.expect("the store takes the value").0
}

async fn time_changes(daemons: &[Daemon], store: &memory::Memory, changes: usize) -> Spread {
    let mut times = Vec::new();
    for change in 0..changes {
        let start = Instant::now();
        let version = write(store, &object::Key::Zones, &value(change)).await;
        let mut waiting: Vec<_> = daemons.iter().collect();
        while !waiting.is_empty() {
            waiting.retain(|daemon| {
                let held = daemon.engine.held().snapshot().version(&object::Key::Zones);
                let done = held.is_some_and(|held| held >= version);
                if done {
                    times.push(start.elapsed().as_secs_f64() * 1000.0);
                }
                !done
            });
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    spread(times)
}

async fn time_news(daemons: &[Daemon], changes: usize) -> Spread {
    let mut times = Vec::new();
    for change in 0..changes {
        for daemon in daemons {
            *daemon
                .listener
                .heard
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = None;
        }
        let start = Instant::now();
        let news = news::News::Leaving {
            service: "wiredesk".parse().expect("a name"),
            server: format!("wiredesk-{change}").parse().expect("a name"),
        };
        daemons[0].engine.publish(news, scope::Scope::Fleet);
        let heard = |daemon: &Daemon| {
            *daemon
                .listener
                .heard
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
        };
        until(|| daemons[1..].iter().all(|daemon| heard(daemon).is_some())).await;
        let instants = daemons[1..].iter().filter_map(heard);
        times.extend(instants.map(|at| at.duration_since(start).as_secs_f64() * 1000.0));
    }
    spread(times)
}

#[tokio::main]
async fn main() {
    let arguments = Arguments::parse();
    let store = Arc::new(memory::Memory::default());
    for number in 0..arguments.services {
        let name = format!("service-{number}").parse().expect("a name");
        write(
            &store,
            &object::Key::Service(name),
            &object::Value::Service(None),
        )
        .await;
    }
    let before = resident_bytes();
    let begun = Instant::now();
    let first = start(0, &arguments, Vec::new(), store.clone()).await;
    let seed = first.engine.local().peers;
    let mut daemons = vec![first];
    for number in 1..arguments.daemons {
        daemons.push(start(number, &arguments, vec![seed], store.clone()).await);
    }
    let joined = |daemon: &Daemon| {
        let held = daemon.engine.held().snapshot().versions().count();
        daemon.engine.members().len() == arguments.daemons && held == arguments.services
    };
    until(|| daemons.iter().all(joined)).await;
    let join_seconds = begun.elapsed().as_secs_f64();
    tokio::time::sleep(Duration::from_secs(10)).await;
    let at_rest = measure(&daemons, arguments.seconds).await;
    let resident = resident_bytes() - before;
    let report = Report {
        join_seconds,
        at_rest,
        resident_mb_a_daemon: resident / daemons.len() as f64 / 1e6,
        configuration: time_changes(&daemons, &store, arguments.changes).await,
        news: time_news(&daemons, arguments.changes).await,
        arguments,
    };
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
}
