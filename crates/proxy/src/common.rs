//! State shared by all parts of the request path.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use http::HeaderValue;
use monsooncart_config::{routing, settings};
use monsooncart_policy::{handle, leaving, stop};
use monsooncart_types::{id, map};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::lock::lock;
use crate::{
    clock, decision, host_routing, interface, log_limiter, memory, metrics, pace, pool, relay,
    response_sizes, trace,
};

/// State shared by all parts of the request path.
pub struct Common {
    pub name: id::Vm,
    pub data_centre: id::DataCentre,
    /// Current limits of the caller listener.
    limits: ArcSwap<settings::Limits>,
    /// Limits of connections to servers.
    pub pool: pool::Limits,
    pub fleet: Arc<dyn interface::Fleet>,
    pub claims: Arc<dyn interface::Claims>,
    pub meter: Arc<dyn interface::Meter>,
    pub policies: Arc<dyn interface::Policies>,
    /// Header names if requests are routed by host and path.
    pub host_headers: Option<host_routing::HeaderNames>,
    /// Organisation of all callers if they have no keys.
    pub default_organisation: id::Organisation,
    pub response_sizes: response_sizes::ResponseSizes,
    /// Bodies that the daemon holds.
    pub bodies: Arc<memory::Bound>,
    /// Pace of the VM's link, if it is known.
    pub link_pace: Option<pace::Pace>,
    /// Limits the log lines for answered requests.
    pub log_limiter: log_limiter::LogLimiter,
    /// Clock of the policies.
    pub clock: clock::Clock,
    pub metrics: metrics::Metrics,
    pub decisions: decision::Ring,
    pub traces: trace::Ring,
    /// Whether the daemon is draining.
    pub draining: watch::Sender<bool>,
    leaving_runs: Mutex<leaving::Runs>,
    /// Connections to daemons that relay requests.
    pub relays: relay::Peers,
    /// Set from the beginning of a planned stop with a grace period.
    pub stop: OnceLock<Stop>,
    /// Cancelled when a planned stop sends no more requests that it might cut off.
    pub uncovered_refused: CancellationToken,
    /// Cancelled when requests without a response are abandoned.
    pub abandoned: CancellationToken,
    /// Distinguishes the attempts of this process from those of any other.
    pub nonce: u64,
    next_request_number: AtomicU64,
    next_attempt_number: AtomicU64,
    organisations: Mutex<map::Map<id::Organisation, handle::Organisation>>,
    drain_logged: AtomicBool,
}

/// A planned stop with a grace period.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    pub start: Instant,
    pub schedule: stop::Schedule,
}

/// Components of [`Common`].
pub struct Parts {
    pub name: id::Vm,
    pub data_centre: id::DataCentre,
    /// Initial limits of the caller listener.
    pub limits: settings::Limits,
    /// Limits of connections to servers.
    pub pool: pool::Limits,
    pub fleet: Arc<dyn interface::Fleet>,
    pub claims: Arc<dyn interface::Claims>,
    pub meter: Arc<dyn interface::Meter>,
    pub policies: Arc<dyn interface::Policies>,
    /// Header names if requests are routed by host and path.
    pub host_headers: Option<host_routing::HeaderNames>,
    /// Maximum number of bytes of bodies that the daemon holds.
    pub max_body_bytes: u64,
    /// Pace of the VM's link, if it is known.
    pub link_pace: Option<pace::Pace>,
    pub metrics: metrics::Metrics,
}

/// Name of the organisation of all callers if they have no keys.
const DEFAULT_ORGANISATION: &str = "anyone";

/// Number of low bits of a request's number, which count requests.
const SEQUENCE_BITS: u32 = 28;

/// Number of high bits of a request's number, which are random per process. With the sequence bits
/// they stay within the 53 bits that JSON numbers represent exactly.
const PROCESS_BITS: u32 = 24;

impl Common {
    pub fn new(parts: Parts) -> Self {
        let nonce: u64 = rand::random();
        let process_bits = nonce >> (u64::BITS - PROCESS_BITS);
        Self {
            name: parts.name,
            data_centre: parts.data_centre,
            limits: ArcSwap::from_pointee(parts.limits),
            pool: parts.pool,
            fleet: parts.fleet,
            claims: parts.claims,
            meter: parts.meter,
            policies: parts.policies,
            host_headers: parts.host_headers,
            default_organisation: DEFAULT_ORGANISATION
                .parse()
                .expect("constant is a valid name"),
            response_sizes: response_sizes::ResponseSizes::default(),
            bodies: memory::Bound::new(parts.max_body_bytes, parts.metrics.held_body_bytes.clone()),
            link_pace: parts.link_pace,
            metrics: parts.metrics,
            log_limiter: log_limiter::LogLimiter::default(),
            clock: clock::Clock::new(),
            decisions: decision::Ring::default(),
            traces: trace::Ring::default(),
            draining: watch::Sender::new(false),
            leaving_runs: Mutex::default(),
            relays: relay::Peers::default(),
            stop: OnceLock::new(),
            uncovered_refused: CancellationToken::new(),
            abandoned: CancellationToken::new(),
            nonce,
            next_request_number: AtomicU64::new(process_bits << SEQUENCE_BITS),
            next_attempt_number: AtomicU64::new(0),
            organisations: Mutex::default(),
            drain_logged: AtomicBool::new(false),
        }
    }

    /// Returns the current limits of the caller listener.
    pub fn limits(&self) -> Arc<settings::Limits> {
        self.limits.load_full()
    }

    /// Applies the limits of a routing configuration.
    pub fn apply_limits(&self, configured: &routing::Limits) {
        let mut limits = settings::Limits::clone(&self.limits.load());
        limits.head = configured.head;
        limits.head_timeout = configured.head_timeout;
        limits.idle_timeout = configured.idle_timeout;
        self.limits.store(Arc::new(limits));
    }

    /// Maximum time without a TCP acknowledgement on a connection to a server.
    pub fn ack_timeout(&self) -> Duration {
        self.pool
            .ack_timeout
            .unwrap_or(self.limits().body_timeout.0)
    }

    /// Allocates the number of a received request.
    pub fn next_request(&self) -> handle::Request {
        handle::Request(self.next_request_number.fetch_add(1, Ordering::Relaxed))
    }

    /// Allocates an attempt id that is unique across daemons.
    pub fn next_attempt_id(&self) -> HeaderValue {
        let number = self.next_attempt_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}{number:016x}", self.nonce);
        HeaderValue::from_str(&id).expect("hexadecimal digits are a valid header value")
    }

    /// Returns the handle of an organisation, and allocates one for a new organisation.
    pub fn organisation_handle(&self, name: &id::Organisation) -> handle::Organisation {
        let mut organisations = lock(&self.organisations);
        let next = u32::try_from(organisations.len()).unwrap_or(u32::MAX);
        *organisations
            .entry(name.clone())
            .or_insert(handle::Organisation(next))
    }

    /// Records that a run of a server is leaving; returns whether it was not known.
    pub fn record_leaving(&self, server: &id::Server, started_millis: u64) -> bool {
        lock(&self.leaving_runs).record(server, started_millis)
    }

    /// Records that a run of a server was removed in an epoch of the platform.
    pub fn record_removed(&self, server: &id::Server, started_millis: u64, epoch: u64) {
        let now = self.clock.now();
        lock(&self.leaving_runs).record_removed(now, server, started_millis, epoch);
    }

    /// Records that a run of a server is listed in an epoch; returns for how long it is held back, if it
    /// is.
    pub fn record_listed(
        &self,
        server: &id::Server,
        started_millis: u64,
        epoch: u64,
    ) -> Option<Duration> {
        let now = self.clock.now();
        let until = lock(&self.leaving_runs).record_listed(now, server, started_millis, epoch)?;
        Some(until.since(now))
    }

    /// Whether a run of a server is to get no requests: it is leaving, or held back.
    pub fn is_withdrawn(&self, server: &id::Server, started_millis: u64) -> bool {
        let now = self.clock.now();
        let runs = lock(&self.leaving_runs);
        runs.contains(server, started_millis) || runs.is_held(now, server, started_millis)
    }

    /// Whether a run of a server is known to be leaving.
    pub fn is_leaving(&self, server: &id::Server, started_millis: u64) -> bool {
        lock(&self.leaving_runs).contains(server, started_millis)
    }

    /// Whether the daemon is draining.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Whether callers with a kept connection are to connect anew, because of a planned stop.
    pub fn releases_callers(&self) -> bool {
        let stop = self.stop.get();
        let is_due = |stop: &Stop| stop.start.elapsed() >= stop.schedule.release;
        self.is_draining() || stop.is_some_and(is_due)
    }

    /// Whether a planned stop leaves time for a request with this deadline, which was received whole
    /// or is still being received.
    pub fn has_time(&self, deadline: Instant, is_received: bool) -> bool {
        self.stop.get().is_none_or(|Stop { start, schedule }| {
            let deadline = deadline.saturating_duration_since(*start);
            match is_received {
                true => schedule.may_send(start.elapsed(), deadline),
                false => schedule.is_covered(deadline),
            }
        })
    }

    /// Whether a planned stop waits for a request with this deadline until then, whenever it is sent.
    fn is_covered(&self, deadline: Instant) -> bool {
        self.stop.get().is_none_or(|Stop { start, schedule }| {
            schedule.is_covered(deadline.saturating_duration_since(*start))
        })
    }

    /// Whether a request with this deadline has to be received whole before it is sent, because of a
    /// planned stop.
    pub fn must_receive_whole(&self, deadline: Instant) -> bool {
        !self.is_covered(deadline)
    }

    /// Waits until a planned stop leaves no time to send a request with this deadline.
    pub async fn wait_for_refusal(&self, deadline: Instant) {
        self.uncovered_refused.cancelled().await;
        if self.is_covered(deadline) {
            std::future::pending::<()>().await;
        }
    }

    /// Starts draining.
    pub fn drain(&self) {
        if !self.drain_logged.swap(true, Ordering::Relaxed) {
            log::info!(daemon:% = self.name; "proxy: draining started");
        }
        self.draining.send_replace(true);
    }
}
