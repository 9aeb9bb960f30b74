//! What all parts of the request path share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use http::HeaderValue;
use monsooncart_config::{routing, settings};
use monsooncart_policy::{handle, outcome};
use monsooncart_types::{id, map};
use tokio::sync::watch;

use crate::lock::lock;
use crate::{clock, decision, host_routing, interface, metrics, pool, samples, sizes, trace};

/// What all parts of the request path share.
pub struct Common {
    /// Name of this daemon.
    pub name: id::Vm,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Limits of the caller listener, as the configuration has them.
    limits: ArcSwap<settings::Limits>,
    /// Limits of the connections to servers.
    pub pool: pool::Limits,
    /// The rest of the fleet.
    pub fleet: Arc<dyn interface::Fleet>,
    /// Claims on tickets.
    pub claims: Arc<dyn interface::Claims>,
    /// Accounts for requests.
    pub meter: Arc<dyn interface::Meter>,
    /// Makes policies.
    pub policies: Arc<dyn interface::Policies>,
    /// Names of headers where hosts and paths name the contracts of requests.
    pub hosts: Option<host_routing::HeaderNames>,
    /// Stands for all callers where they are not told apart.
    pub anyone: id::Organisation,
    /// How large answers usually are.
    pub sizes: sizes::Sizes,
    /// Bounds the logs of requests that were answered.
    pub samples: samples::Samples,
    /// The clock of the decisions.
    pub clock: clock::Clock,
    /// Counters.
    pub metrics: metrics::Metrics,
    /// Recent decisions.
    pub decisions: decision::Ring,
    /// Recent requests.
    pub traces: trace::Ring,
    /// Whether a planned stop began.
    pub draining: watch::Sender<bool>,
    /// Tells this run's attempts from those of any other.
    pub nonce: u64,
    requests: AtomicU64,
    attempts: AtomicU64,
    organisations: Mutex<map::Map<id::Organisation, handle::Organisation>>,
    stopping: AtomicBool,
}

/// What [`Common`] is made of.
pub struct Parts {
    /// Name of this daemon.
    pub name: id::Vm,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Limits of the caller listener.
    pub limits: settings::Limits,
    /// Limits of the connections to servers.
    pub pool: pool::Limits,
    /// The rest of the fleet.
    pub fleet: Arc<dyn interface::Fleet>,
    /// Claims on tickets.
    pub claims: Arc<dyn interface::Claims>,
    /// Accounts for requests.
    pub meter: Arc<dyn interface::Meter>,
    /// Makes policies.
    pub policies: Arc<dyn interface::Policies>,
    /// Names of headers where hosts and paths name the contracts of requests.
    pub hosts: Option<host_routing::HeaderNames>,
    /// Counters.
    pub metrics: metrics::Metrics,
}

/// Name of the organisation that stands for all callers where they are not told apart.
const ANYONE: &str = "anyone";

/// Bits of a request's number that count; the bits above differ from run to run.
const COUNTER_BITS: u32 = 28;

/// Bits of a request's number that differ from run to run; a number stays exact in JSON.
const RUN_BITS: u32 = 24;

impl Common {
    /// Puts the shared parts together.
    pub fn new(parts: Parts) -> Self {
        let nonce: u64 = rand::random();
        let run = nonce >> (u64::BITS - RUN_BITS);
        Self {
            name: parts.name,
            data_centre: parts.data_centre,
            limits: ArcSwap::from_pointee(parts.limits),
            pool: parts.pool,
            fleet: parts.fleet,
            claims: parts.claims,
            meter: parts.meter,
            policies: parts.policies,
            hosts: parts.hosts,
            anyone: ANYONE.parse().expect("it is a name"),
            metrics: parts.metrics,
            sizes: sizes::Sizes::default(),
            samples: samples::Samples::default(),
            clock: clock::Clock::new(),
            decisions: decision::Ring::default(),
            traces: trace::Ring::default(),
            draining: watch::Sender::new(false),
            nonce,
            requests: AtomicU64::new(run << COUNTER_BITS),
            attempts: AtomicU64::new(0),
            organisations: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Limits of the caller listener.
    pub fn limits(&self) -> Arc<settings::Limits> {
        self.limits.load_full()
    }

    /// Takes the limits that a routing states.
    pub fn limit(&self, stated: &routing::Limits) {
        let mut limits = settings::Limits::clone(&self.limits.load());
        limits.head = stated.head;
        limits.head_timeout = stated.head_timeout;
        limits.idle_timeout = stated.idle_timeout;
        self.limits.store(Arc::new(limits));
    }

    /// Longest time for which a connection to a server may go without an acknowledgement.
    pub fn silence(&self) -> std::time::Duration {
        self.pool
            .ack_timeout
            .unwrap_or(self.limits().body_timeout.0)
    }

    /// A number for a received request.
    pub fn request(&self) -> handle::Request {
        handle::Request(self.requests.fetch_add(1, Ordering::Relaxed))
    }

    /// A name for an attempt that no other attempt of any daemon bears.
    pub fn attempt(&self) -> HeaderValue {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let name = format!("{:016x}{number:016x}", self.nonce);
        HeaderValue::from_str(&name).expect("digits are a header value")
    }

    /// Stands for an organisation.
    pub fn organisation(&self, name: &id::Organisation) -> handle::Organisation {
        let mut known = lock(&self.organisations);
        let next = u32::try_from(known.len()).unwrap_or(u32::MAX);
        *known
            .entry(name.clone())
            .or_insert(handle::Organisation(next))
    }

    /// Whether a planned stop began.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        if !self.stopping.swap(true, Ordering::Relaxed) {
            log::info!(daemon:% = self.name; "proxy: planned stop began");
        }
        self.draining.send_replace(true);
    }

    /// Counts an attempt that ended.
    pub fn attempt_ended(&self, service: &id::Service, end: outcome::Outcome) {
        self.metrics.attempt(service, end);
    }
}
