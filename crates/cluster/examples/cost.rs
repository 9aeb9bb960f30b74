//! Measures the cost of fleet communication: bytes, datagrams, platform calls, processor time and
//! memory per daemon, and the time until updates and configuration have reached all daemons.
//!
//! `cargo run --release -p monsooncart-cluster --example cost -- --daemons 60 --regions 3`

use std::fs;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use clap::Parser;
use futures_util::future::BoxFuture;
use monsooncart_cluster::handler::Peer;
use monsooncart_cluster::{config, engine, handler, scope};
use monsooncart_config::{object, zone};
use monsooncart_policy::claims::{claim, handover};
use monsooncart_policy::membership::member;
use monsooncart_store::{memory, object as platform, store::Store};
use monsooncart_types::instance;
use monsooncart_wire::{claims, floor, update, usage};

/// Unit of the processor time in /proc/self/stat.
const TICKS_PER_SECOND: f64 = 100.0;

/// Unit of the sizes in /proc/self/statm.
const PAGE_BYTES: f64 = 4096.0;

#[derive(Parser, Debug, serde::Serialize)]
struct Arguments {
    /// Number of daemons, all in this process.
    #[arg(long, default_value_t = 60)]
    daemons: usize,
    /// Number of regions that the daemons are distributed over.
    #[arg(long, default_value_t = 1)]
    regions: usize,
    /// Duration of the measurement at rest, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of services in the configuration.
    #[arg(long, default_value_t = 200)]
    services: usize,
    /// Number of configuration changes and of updates whose dissemination is timed.
    #[arg(long, default_value_t = 10)]
    changes: usize,
}

/// Handler that records when an update arrived.
#[derive(Default)]
struct Recorder {
    received_at: Mutex<Option<Instant>>,
}

impl handler::Handler for Recorder {
    fn claim(&self, _: Peer, _: claims::Claim) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        Box::pin(async { Err(claim::Refusal::Forged) })
    }

    fn release(&self, _: Peer, _: claims::Release) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        Box::pin(async { Ok(()) })
    }

    fn settle(&self, _: Peer, _: claims::Settle) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        Box::pin(async { Ok(()) })
    }

    fn outcome(
        &self,
        _: Peer,
        _: claims::Outcome,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>> {
        Box::pin(async { Err(claim::Refusal::Forged) })
    }

    fn hand_over(&self, _: Peer, _: claims::HandOver) -> BoxFuture<'_, handover::Reply> {
        Box::pin(async { handover::Reply::Taken })
    }

    fn keep_usage(&self, _: Peer, _: usage::Copy) -> BoxFuture<'_, ()> {
        Box::pin(async {})
    }

    fn fetch_usage(&self, _: Peer, _: usage::Fetch) -> BoxFuture<'_, usage::Copies> {
        Box::pin(async { usage::Copies { copies: Vec::new() } })
    }

    fn floor(&self, _: Peer, request: floor::Request) -> BoxFuture<'_, floor::Reply> {
        let payload = request.payload;
        Box::pin(async { floor::Reply { payload } })
    }

    fn receive_update(&self, _: update::Update) {
        let mut received_at = self
            .received_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *received_at = Some(Instant::now());
    }
}

struct Daemon {
    engine: engine::Engine,
    recorder: Arc<Recorder>,
}

/// Resources used by all daemons since their start.
#[derive(Clone, Copy, Default)]
struct Totals {
    datagrams: f64,
    datagram_bytes: f64,
    call_bytes: f64,
    platform_calls: f64,
    processor_seconds: f64,
}

/// Resources used per daemon and second.
#[derive(Debug, serde::Serialize)]
struct Rate {
    datagrams: f64,
    datagram_bytes: f64,
    call_bytes: f64,
    platform_calls: f64,
    processor_percent: f64,
}

/// Percentiles over the daemons of the time until an update arrived, in milliseconds.
#[derive(Debug, serde::Serialize)]
struct Latencies {
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
    configuration: Latencies,
    news: Latencies,
}

fn processor_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
    let ticks = fields.iter().skip(12).take(2);
    ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn totals(daemons: &[Daemon]) -> Totals {
    let sum = |read: fn(&monsooncart_cluster::counters::Counters) -> &AtomicU64| {
        let counters = daemons.iter().map(|d| d.engine.counters());
        counters
            .map(|c| read(c).load(Ordering::Relaxed) as f64)
            .sum()
    };
    Totals {
        datagrams: sum(|c| &c.datagrams_sent),
        datagram_bytes: sum(|c| &c.datagram_bytes_sent),
        call_bytes: sum(|c| &c.call_bytes_sent),
        platform_calls: sum(|c| &c.platform_calls),
        processor_seconds: processor_seconds(),
    }
}

async fn measure(daemons: &[Daemon], seconds: u64) -> Rate {
    let before = totals(daemons);
    let start = Instant::now();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = totals(daemons);
    let daemon_seconds = start.elapsed().as_secs_f64() * daemons.len() as f64;
    Rate {
        datagrams: (after.datagrams - before.datagrams) / daemon_seconds,
        datagram_bytes: (after.datagram_bytes - before.datagram_bytes) / daemon_seconds,
        call_bytes: (after.call_bytes - before.call_bytes) / daemon_seconds,
        platform_calls: (after.platform_calls - before.platform_calls) / daemon_seconds,
        processor_percent: 100.0 * (after.processor_seconds - before.processor_seconds)
            / daemon_seconds,
    }
}

fn latencies(mut times: Vec<f64>) -> Latencies {
    times.sort_by(f64::total_cmp);
    let percentile = |share: f64| {
        let index = (times.len() as f64 * share).ceil() as usize;
        times.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
    };
    Latencies {
        p50: percentile(0.5),
        p99: percentile(0.99),
        last: percentile(1.0),
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
    let recorder = Arc::new(Recorder::default());
    let config = config::Config::new(member, local, recorder.clone());
    let config = config.seeds(seeds).store(store);
    let engine = config.start().await.expect("the engine starts");
    Daemon { engine, recorder }
}

async fn wait_until(condition: impl Fn() -> bool) {
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
    written.await.expect("the store accepts the value").0
}

async fn time_changes(daemons: &[Daemon], store: &memory::Memory, changes: usize) -> Latencies {
    let mut times = Vec::new();
    for change in 0..changes {
        let start = Instant::now();
        let version = write(store, &object::Key::Zones, &value(change)).await;
        let mut pending: Vec<_> = daemons.iter().collect();
        while !pending.is_empty() {
            pending.retain(|daemon| {
                let current = daemon
                    .engine
                    .replica()
                    .snapshot()
                    .version(&object::Key::Zones);
                let done = current.is_some_and(|current| current >= version);
                if done {
                    times.push(start.elapsed().as_secs_f64() * 1000.0);
                }
                !done
            });
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    latencies(times)
}

async fn time_updates(daemons: &[Daemon], changes: usize) -> Latencies {
    let mut times = Vec::new();
    for change in 0..changes {
        for daemon in daemons {
            *daemon
                .recorder
                .received_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = None;
        }
        let start = Instant::now();
        let update = update::Update::Leaving {
            service: "wiredesk".parse().expect("a name"),
            server: format!("wiredesk-{change}").parse().expect("a name"),
        };
        daemons[0].engine.publish(update, scope::Scope::Fleet);
        let received_at = |daemon: &Daemon| {
            *daemon
                .recorder
                .received_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
        };
        wait_until(|| {
            daemons[1..]
                .iter()
                .all(|daemon| received_at(daemon).is_some())
        })
        .await;
        let instants = daemons[1..].iter().filter_map(received_at);
        times.extend(instants.map(|at| at.duration_since(start).as_secs_f64() * 1000.0));
    }
    latencies(times)
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
    let started_at = Instant::now();
    let first = start(0, &arguments, Vec::new(), store.clone()).await;
    let seed = first.engine.local().peers;
    let mut daemons = vec![first];
    for number in 1..arguments.daemons {
        daemons.push(start(number, &arguments, vec![seed], store.clone()).await);
    }
    let has_joined = |daemon: &Daemon| {
        let objects = daemon.engine.replica().snapshot().versions().count();
        daemon.engine.members().len() == arguments.daemons && objects == arguments.services
    };
    wait_until(|| daemons.iter().all(has_joined)).await;
    let join_seconds = started_at.elapsed().as_secs_f64();
    tokio::time::sleep(Duration::from_secs(10)).await;
    let at_rest = measure(&daemons, arguments.seconds).await;
    let resident = resident_bytes() - before;
    let report = Report {
        join_seconds,
        at_rest,
        resident_mb_a_daemon: resident / daemons.len() as f64 / 1e6,
        configuration: time_changes(&daemons, &store, arguments.changes).await,
        news: time_updates(&daemons, arguments.changes).await,
        arguments,
    };
    println!("{}", serde_json::to_string(&report).unwrap_or_default());
}
