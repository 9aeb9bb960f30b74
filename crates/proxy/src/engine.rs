//! The interface through which the daemon drives the request path.

use std::hash::{Hash as _, Hasher as _};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use monsooncart_config::{object, snapshot};
use monsooncart_policy::service::View;
use monsooncart_policy::{event, handle, stop};
use monsooncart_task as task;
use monsooncart_types::{id, map, version};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::task::TaskTracker;

use crate::lock::lock;
use crate::{
    activity, backlog, common, decision, listener, relay, report, request, router, service, split,
    trace,
};

/// Number of shards that the services are divided into.
const SHARDS: usize = 16;

/// Ticks between scans for expired idle connections.
const REAP_INTERVAL_TICKS: u64 = 16;

/// Maximum number of connections over which other daemons have requests relayed.
const MAX_RELAYED_CONNECTIONS: usize = 1024;

type Services = map::Map<id::Service, Arc<service::Service>>;

/// A subset of the services whose policies are ticked by one task.
struct Shard {
    services: Mutex<Services>,
    /// Sends services whose policies need ticks to the tick task.
    activation_sender: mpsc::UnboundedSender<Arc<service::Service>>,
}

/// State shared by all clones of an engine.
pub(crate) struct Shared {
    pub common: Arc<common::Common>,
    pub snapshot: ArcSwap<snapshot::Snapshot>,
    pub router: ArcSwap<router::Router>,
    /// Distributes the requests of a route over its services.
    pub splitter: split::Splitter,
    shards: Vec<Shard>,
    /// Connections over which other daemons have requests relayed.
    pub relayed_connections: TaskTracker,
    /// Reports that wait for a configuration.
    backlog: backlog::Backlog,
    /// Serialises configuration changes.
    config_lock: Mutex<()>,
}

impl Shared {
    fn shard(&self, service: &id::Service) -> &Shard {
        let mut hasher = rustc_hash::FxHasher::default();
        service.hash(&mut hasher);
        let hash = usize::try_from(hasher.finish() >> 32).unwrap_or_default();
        &self.shards[hash % SHARDS]
    }

    /// Returns a service by name.
    pub fn service(&self, name: &id::Service) -> Option<Arc<service::Service>> {
        lock(&self.shard(name).services).get(name).cloned()
    }

    fn services(&self, shard: usize) -> Vec<Arc<service::Service>> {
        lock(&self.shards[shard].services)
            .values()
            .cloned()
            .collect()
    }
}

/// A handle to the request path; clones share the same state.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Creates an engine without configuration, whose policies are ticked at the interval
    /// `tick_interval`.
    pub(crate) fn new(common: common::Common, tick_interval: Duration) -> Self {
        let mut shards = Vec::with_capacity(SHARDS);
        let mut activation_receivers = Vec::with_capacity(SHARDS);
        for _ in 0..SHARDS {
            let (activation_sender, activation_receiver) = mpsc::unbounded_channel();
            activation_receivers.push(activation_receiver);
            shards.push(Shard {
                services: Mutex::default(),
                activation_sender,
            });
        }
        let shared = Arc::new(Shared {
            common: Arc::new(common),
            snapshot: ArcSwap::default(),
            router: ArcSwap::default(),
            splitter: split::Splitter::default(),
            shards,
            relayed_connections: TaskTracker::new(),
            backlog: backlog::Backlog::default(),
            config_lock: Mutex::default(),
        });
        for activation_receiver in activation_receivers {
            tokio::spawn(tick_shard(
                Arc::downgrade(&shared),
                activation_receiver,
                tick_interval,
            ));
        }
        Self { shared }
    }

    /// Applies a configuration; unchanged services are not touched.
    pub fn configure(&self, snapshot: Arc<snapshot::Snapshot>) {
        let _guard = lock(&self.shared.config_lock);
        let old = self.shared.snapshot.load_full();
        let mut router = self.shared.router.load().as_ref().clone();
        let mut changed = 0;
        for spec in snapshot.services() {
            let current = old.service(&spec.name);
            if current.is_some_and(|current| Arc::ptr_eq(current, spec)) {
                continue;
            }
            changed += 1;
            if let Some(current) = current {
                router.remove(current);
            }
            router.insert(spec);
            self.apply_service(spec, &snapshot);
            self.apply_waiting_reports(&spec.name);
        }
        for spec in old.services() {
            if snapshot.service(&spec.name).is_none() {
                changed += 1;
                router.remove(spec);
                if let Some(service) = self.shared.service(&spec.name) {
                    service.remove();
                }
            }
        }
        if let Some(routing) = snapshot.routing() {
            self.shared.common.apply_limits(&routing.limits);
        }
        self.shared.snapshot.store(snapshot);
        self.shared.router.store(Arc::new(router));
        log::info!(changed; "config: applied configuration");
    }

    fn apply_service(
        &self,
        spec: &Arc<monsooncart_config::service::Service>,
        snapshot: &snapshot::Snapshot,
    ) {
        let known = self.shared.service(&spec.name);
        if let Some(service) = known {
            let epoch_of = |server: &id::Server| {
                let version = snapshot.version(&object::Key::Registration(server.clone()));
                version::Version(version.unwrap_or_default()).epoch()
            };
            service.configure(spec, epoch_of);
            return;
        }
        let shard = self.shared.shard(&spec.name);
        let common = self.shared.common.clone();
        let service = service::Service::new(common, spec, shard.activation_sender.clone());
        lock(&shard.services).insert(spec.name.clone(), Arc::new(service));
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn snapshot(&self) -> Arc<snapshot::Snapshot> {
        self.shared.snapshot.load_full()
    }

    /// Passes an event from the rest of the daemon to the policy of a service.
    pub fn handle_event(&self, service: &id::Service, event: event::Event) {
        if let Some(service) = self.shared.service(service) {
            service.handle_event(event);
        }
    }

    /// Passes a report to its service. One that is about a service or a server that is not configured
    /// yet waits for that.
    pub fn report(&self, service: &id::Service, report: report::Report) {
        if let report::Report::Leaving {
            server,
            started_millis,
        } = &report
        {
            self.shared.common.record_leaving(server, *started_millis);
        }
        let Some(unapplied) = self.apply_report(service, report) else {
            return;
        };
        // A configuration that is applied meanwhile takes the waiting reports.
        let _guard = lock(&self.shared.config_lock);
        if let Some(report) = self.apply_report(service, unapplied) {
            let now = self.shared.common.clock.now();
            let kind = report::Kind::from(&report);
            let Some(waiting) = backlog::Waiting::new(now, report) else {
                return;
            };
            match self.shared.backlog.push(now, service, waiting) {
                true => {
                    log::info!(service:%, kind:%; "report: its subject is not configured yet; waiting");
                }
                false => {
                    log::warn!(service:%, kind:%; "report: too many wait for their configuration; dropped");
                }
            }
        }
    }

    /// Applies a report; returns it if its service or its server is not configured.
    fn apply_report(
        &self,
        service: &id::Service,
        report: report::Report,
    ) -> Option<report::Report> {
        match self.shared.service(service) {
            Some(known) => known.apply_report(report),
            None => Some(report),
        }
    }

    /// Applies the reports that have waited for the configuration of a service.
    fn apply_waiting_reports(&self, service: &id::Service) {
        let now = self.shared.common.clock.now();
        for waiting in self.shared.backlog.take(now, service) {
            let report = waiting.report.clone().after(now.since(waiting.received_at));
            if self.apply_report(service, report).is_some() {
                let has_room = self.shared.backlog.push(now, service, waiting);
                debug_assert!(has_room, "the report was taken before");
            }
        }
    }

    /// Returns this daemon's evidence about the servers of a service.
    #[must_use]
    pub fn digests(&self, service: &id::Service) -> Vec<(id::Server, event::Digest)> {
        let service = self.shared.service(service);
        service.map(|service| service.digests()).unwrap_or_default()
    }

    /// Returns the policy's view of each server of a service.
    #[must_use]
    pub fn views(&self, service: &id::Service) -> Vec<(id::Server, View)> {
        let service = self.shared.service(service);
        service.map(|service| service.views()).unwrap_or_default()
    }

    /// Returns the services that had traffic or received events since the start.
    #[must_use]
    pub fn active_services(&self) -> Vec<id::Service> {
        let services = (0..SHARDS).flat_map(|shard| self.shared.services(shard));
        let active = services.filter(|service| service.is_active());
        active.map(|service| service.name.clone()).collect()
    }

    /// Returns recent decisions, oldest first.
    #[must_use]
    pub fn decisions(&self) -> Vec<decision::Decision> {
        self.shared.common.decisions.all()
    }

    /// Returns the trace of a recent request; `None` if it is unfinished or no longer stored.
    #[must_use]
    pub fn trace(&self, request: handle::Request) -> Option<trace::Trace> {
        self.shared.common.traces.get(request)
    }

    /// Updates the policies of services whose serving daemons changed.
    pub fn refresh_daemons(&self) {
        for shard in 0..SHARDS {
            for service in self.shared.services(shard) {
                service.refresh_daemons();
            }
        }
    }

    /// Starts draining: connections are closed after their current response or when idle, and
    /// requests in flight complete. New connections are accepted until `stop` of
    /// [`Engine::serve`] resolves.
    pub fn drain(&self) {
        self.shared.common.drain();
    }

    /// Sends only such requests to servers from now on as the schedule of a planned stop, which began
    /// at `start`, has room for.
    pub fn set_stop(&self, start: Instant, schedule: stop::Schedule) {
        let stop = common::Stop { start, schedule };
        if self.shared.common.stop.set(stop).is_err() {
            log::warn!("proxy: a planned stop has begun already");
        }
    }

    /// Refuses the requests that have not been sent, and that a planned stop might cut off if they were
    /// sent now.
    pub fn refuse_uncovered_requests(&self) {
        self.shared.common.uncovered_refused.cancel();
    }

    /// Responds to the requests that wait for a response of a server, now and from now on. Those that
    /// may have run are reported as such.
    pub fn abandon_requests(&self) {
        self.shared.common.abandoned.cancel();
    }

    /// Returns the number of bytes of bodies that the daemon holds.
    #[must_use]
    pub fn held_body_bytes(&self) -> u64 {
        self.shared.common.bodies.held_bytes()
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let count = self.shared.common.metrics.in_flight.get();
        usize::try_from(count).unwrap_or_default()
    }

    /// Serves a connection over which another daemon has requests relayed, until it closes. A planned
    /// stop waits for the requests in flight on it.
    pub fn serve_relay<S: relay::Stream + 'static>(&self, stream: S) -> BoxFuture<'static, ()> {
        let connections = &self.shared.relayed_connections;
        if connections.is_closed() || connections.len() >= MAX_RELAYED_CONNECTIONS {
            return std::future::ready(()).boxed();
        }
        let origin = request::Origin::Relay;
        let activity = activity::Activity::new(None);
        let shared = self.shared.clone();
        let serving = listener::serve_connection(shared, stream, activity, origin, |_| ());
        connections.track_future(serving).boxed()
    }

    /// Serves callers until `stop` resolves, then waits without a time limit for the requests in
    /// flight to complete.
    pub fn serve<S: Future + Send + 'static>(
        &self,
        listener: TcpListener,
        stop: S,
    ) -> impl Future<Output = ()> + Send + 'static {
        let stop = async move {
            stop.await;
        };
        listener::serve(self.shared.clone(), listener, stop)
    }
}

/// Ticks the active policies of one shard until the engine is dropped.
async fn tick_shard(
    shared: Weak<Shared>,
    mut activation_receiver: mpsc::UnboundedReceiver<Arc<service::Service>>,
    tick_interval: Duration,
) {
    let mut active: Vec<Arc<service::Service>> = Vec::new();
    let mut ticks = interval(tick_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u64 = 0;
    loop {
        if active.is_empty() {
            // An idle daemon has no periodic wake-ups.
            let Some(service) = activation_receiver.recv().await else {
                return;
            };
            active.push(service);
        }
        ticks.tick().await;
        count += 1;
        if shared.strong_count() == 0 {
            return;
        }
        while let Ok(service) = activation_receiver.try_recv() {
            active.push(service);
        }
        let reap = count.is_multiple_of(REAP_INTERVAL_TICKS);
        // A service whose tick panicked is ticked again.
        active.retain(|service| task::catch("tick", || service.tick(reap)).unwrap_or(true));
    }
}
