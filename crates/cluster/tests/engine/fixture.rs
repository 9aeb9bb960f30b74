//! Engines with short timings and a handler that records what it receives.

use std::net;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_util::future::{BoxFuture, FutureExt};
use monsooncart_cluster::handler::Peer;
use monsooncart_cluster::{config, engine, handler};
use monsooncart_policy::claims::{claim, handover, ticket};
use monsooncart_policy::membership::{member, timings};
use monsooncart_types::instance;
use monsooncart_wire::{claims, datagram, floor, update, usage};
use tokio::runtime;

/// Maximum time until a condition holds.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Handler that records updates and grants every claim.
#[derive(Default)]
pub struct Recorder {
    pub updates: Mutex<Vec<update::Update>>,
    pub claims: Mutex<Vec<claims::Claim>>,
}

impl handler::Handler for Recorder {
    fn claim(
        &self,
        _caller: Peer,
        request: claims::Claim,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        self.claims.lock().unwrap().push(request);
        async { Ok(()) }.boxed()
    }

    fn release(
        &self,
        _caller: Peer,
        _request: claims::Release,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        async { Ok(()) }.boxed()
    }

    fn settle(
        &self,
        _caller: Peer,
        _request: claims::Settle,
    ) -> BoxFuture<'_, Result<(), claim::Refusal>> {
        async { Ok(()) }.boxed()
    }

    fn outcome(
        &self,
        _caller: Peer,
        _request: claims::Outcome,
    ) -> BoxFuture<'_, Result<claim::State, claim::Refusal>> {
        async { Ok(claim::State::Open) }.boxed()
    }

    fn hand_over(
        &self,
        _caller: Peer,
        _request: claims::HandOver,
    ) -> BoxFuture<'_, handover::Reply> {
        async { handover::Reply::Taken }.boxed()
    }

    fn keep_usage(&self, _caller: Peer, _copy: usage::Copy) -> BoxFuture<'_, ()> {
        async {}.boxed()
    }

    fn fetch_usage(&self, _caller: Peer, _request: usage::Fetch) -> BoxFuture<'_, usage::Copies> {
        async { usage::Copies { copies: Vec::new() } }.boxed()
    }

    fn floor(&self, _caller: Peer, request: floor::Request) -> BoxFuture<'_, floor::Reply> {
        let payload = request.payload;
        async { floor::Reply { payload } }.boxed()
    }

    fn receive_update(&self, update: update::Update) {
        self.updates.lock().unwrap().push(update);
    }
}

/// A running engine with its handler.
pub struct Daemon {
    pub engine: engine::Engine,
    pub recorder: Arc<Recorder>,
}

/// A daemon on a runtime of its own, which ends with all of its tasks and sockets when it crashes.
pub struct Process {
    pub daemon: Daemon,
    runtime: runtime::Runtime,
}

impl Process {
    pub async fn start(config: config::Config, recorder: Arc<Recorder>) -> Self {
        let mut builder = runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().unwrap();
        let engine = runtime.spawn(config.start()).await.unwrap().unwrap();
        Self {
            daemon: Daemon { engine, recorder },
            runtime,
        }
    }

    /// Ends the daemon without a message to the others.
    pub fn crash(self) {
        self.runtime.shutdown_background();
    }
}

pub fn timings() -> config::Timings {
    config::Timings {
        membership: timings::Timings {
            probe_interval: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(60),
            suspicion_timeout: Duration::from_millis(600),
            gossip_interval: Duration::from_millis(40),
            sync_interval: Duration::from_millis(400),
            ..timings::Timings::default()
        },
        tick_interval: Duration::from_millis(20),
        vm_list_interval: Duration::from_millis(200),
        reconciliation_interval: Duration::from_millis(200),
        discovery_grace: Duration::from_millis(100),
        max_watch_wait: Duration::from_secs(1),
        backoff: Duration::from_millis(100),
        ..config::Timings::default()
    }
}

pub fn loopback(last: u8) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, last], 0))
}

pub fn member(name: &str) -> member::Member {
    member::Member {
        vm: name.parse().unwrap(),
        instance: instance::Instance(rand::random()),
        peers: loopback(1),
        callers: loopback(1),
        admin: loopback(1),
        data_centre: "attica-a".parse().unwrap(),
        region: "attica".parse().unwrap(),
        state: member::State::Alive,
        leaving: false,
        capacity: 1000,
    }
}

pub fn recorder() -> Arc<Recorder> {
    Arc::default()
}

pub fn settings(name: &str, recorder: &Arc<Recorder>) -> config::Config {
    settings_at(name, loopback(1), recorder)
}

pub fn settings_at(
    name: &str,
    listen: net::SocketAddr,
    recorder: &Arc<Recorder>,
) -> config::Config {
    let handler: Arc<dyn handler::Handler> = recorder.clone();
    config::Config::new(member(name), listen, handler).timings(timings())
}

/// Secret of the running test's fleet: daemons of other tests get ports that its daemons had.
fn secret() -> datagram::Secret {
    let mut key = [0; 32];
    let thread = std::thread::current();
    for (index, byte) in thread.name().unwrap().bytes().enumerate() {
        key[index % 32] ^= byte.rotate_left(index as u32 / 32);
    }
    datagram::Secret::new(key)
}

pub fn settings_in(name: &str, region: &str, recorder: &Arc<Recorder>) -> config::Config {
    let handler: Arc<dyn handler::Handler> = recorder.clone();
    let member = member::Member {
        region: region.parse().unwrap(),
        ..member(name)
    };
    let config = config::Config::new(member, loopback(1), handler).timings(timings());
    config.secret(Some(secret()))
}

pub async fn start(name: &str, seeds: Vec<net::SocketAddr>) -> Daemon {
    let recorder = recorder();
    let config = settings(name, &recorder).seeds(seeds);
    let engine = config.start().await.unwrap();
    Daemon { engine, recorder }
}

/// Starts `count` daemons named `vm-0`, `vm-1` and so on; the first is the seed of the others.
pub async fn fleet(count: usize) -> Vec<Daemon> {
    let first = start("vm-0", Vec::new()).await;
    let seed = first.engine.local().peers;
    let mut daemons = vec![first];
    for number in 1..count {
        daemons.push(start(&format!("vm-{number}"), vec![seed]).await);
    }
    for daemon in &daemons {
        eventually("all joined", || daemon.engine.members().len() == count).await;
    }
    daemons
}

/// Update announcing that a server is draining.
pub fn leaving_update() -> update::Update {
    update::Update::Leaving {
        service: "wiredesk".parse().unwrap(),
        server: "wiredesk-1".parse().unwrap(),
    }
}

/// Claim on a ticket of `minter`.
pub fn claim(minter: instance::Instance) -> claims::Claim {
    claims::Claim {
        ticket: ticket::Ticket {
            minter,
            number: 1,
            mac: 2,
        },
        claimant: claim::Claimant {
            daemon: instance::Instance(3),
            request: 4,
        },
    }
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "{what}: not within {TIMEOUT:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
