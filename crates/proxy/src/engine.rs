//! The request path as the daemon drives it.

use std::hash::{Hash as _, Hasher as _};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use arc_swap::ArcSwap;
use monsooncart_config::snapshot;
use monsooncart_policy::service::View;
use monsooncart_policy::{event, handle};
use monsooncart_types::{id, instance, map};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use crate::lock::lock;
use crate::{common, decision, listener, router, service, split, trace};

/// Shards of the services.
const SHARDS: usize = 16;

/// Ticks between looks for connections that waited too long.
const REAP_TICKS: u64 = 16;

type Services = map::Map<id::Service, Arc<service::Service>>;

/// A share of the services, with the ticks of their policies.
struct Shard {
    services: Mutex<Services>,
    /// Takes the services whose policies are made.
    activated: mpsc::UnboundedSender<Arc<service::Service>>,
}

/// What all clones of an engine share.
pub(crate) struct Shared {
    pub common: Arc<common::Common>,
    pub snapshot: ArcSwap<snapshot::Snapshot>,
    pub router: ArcSwap<router::Router>,
    /// Divides requests between the services of a route.
    pub splitter: split::Splitter,
    shards: Vec<Shard>,
    /// Held while a configuration is put in force.
    configuring: Mutex<()>,
}

impl Shared {
    fn shard(&self, service: &id::Service) -> &Shard {
        let mut hasher = rustc_hash::FxHasher::default();
        service.hash(&mut hasher);
        let hash = usize::try_from(hasher.finish() >> 32).unwrap_or_default();
        &self.shards[hash % SHARDS]
    }

    /// A service by name.
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

/// The request path; a clone stands for the same one.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

impl Engine {
    /// An engine without configuration, whose policies get a tick every `tick`.
    pub(crate) fn new(common: common::Common, tick: Duration) -> Self {
        let mut shards = Vec::with_capacity(SHARDS);
        let mut activations = Vec::with_capacity(SHARDS);
        for _ in 0..SHARDS {
            let (activated, activation) = mpsc::unbounded_channel();
            activations.push(activation);
            shards.push(Shard {
                services: Mutex::default(),
                activated,
            });
        }
        let shared = Arc::new(Shared {
            common: Arc::new(common),
            snapshot: ArcSwap::default(),
            router: ArcSwap::default(),
            splitter: split::Splitter::default(),
            shards,
            configuring: Mutex::default(),
        });
        for activation in activations {
            tokio::spawn(tick_shard(Arc::downgrade(&shared), activation, tick));
        }
        Self { shared }
    }

    /// Puts a configuration in force; services that did not change are left alone.
    pub fn configure(&self, snapshot: Arc<snapshot::Snapshot>) {
        let _configuring = lock(&self.shared.configuring);
        let old = self.shared.snapshot.load_full();
        let mut router = self.shared.router.load().as_ref().clone();
        let mut changed = 0;
        for spec in snapshot.services() {
            let held = old.service(&spec.name);
            if held.is_some_and(|held| Arc::ptr_eq(held, spec)) {
                continue;
            }
            changed += 1;
            if let Some(held) = held {
                router.remove(held);
            }
            router.insert(spec);
            self.take_service(spec);
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
            self.shared.common.limit(&routing.limits);
        }
        self.shared.snapshot.store(snapshot);
        self.shared.router.store(Arc::new(router));
        log::info!(changed; "config: configuration is in force");
    }

    fn take_service(&self, spec: &Arc<monsooncart_config::service::Service>) {
        let known = self.shared.service(&spec.name);
        if let Some(service) = known {
            service.configure(spec);
            return;
        }
        let shard = self.shared.shard(&spec.name);
        let common = self.shared.common.clone();
        let service = service::Service::new(common, spec, shard.activated.clone());
        lock(&shard.services).insert(spec.name.clone(), Arc::new(service));
    }

    /// The configuration in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<snapshot::Snapshot> {
        self.shared.snapshot.load_full()
    }

    /// Tells the policy of a service what happened elsewhere in the daemon.
    pub fn handle_event(&self, service: &id::Service, event: event::Event) {
        if let Some(service) = self.shared.service(service) {
            service.handle(event);
        }
    }

    /// Something became of an ejection.
    pub fn record_ejection(
        &self,
        service: &id::Service,
        server: &id::Server,
        ejection: event::Ejection,
    ) {
        let Some(known) = self.shared.service(service) else {
            return;
        };
        let Some(handle) = known.server(server) else {
            return;
        };
        let kind = match ejection {
            event::Ejection::Granted => decision::Kind::Granted,
            event::Ejection::Denied => decision::Kind::Denied,
            event::Ejection::Restored => decision::Kind::Restored,
        };
        log::info!(service:%, server:%, ejection:%; "health: ejection decided");
        let decisions = &self.shared.common.decisions;
        decisions.push(kind, service, Some(server.clone()), None, String::new());
        known.handle(event::Event::Ejection {
            server: handle,
            ejection,
        });
    }

    /// Another daemon or the inventory says that a server is leaving.
    pub fn record_leaving(&self, service: &id::Service, server: &id::Server) {
        let known = self.shared.service(service);
        let handle = known.as_ref().and_then(|known| known.server(server));
        if let Some((known, handle)) = known.zip(handle) {
            known.handle(event::Event::Leaving(handle));
        }
    }

    /// Another daemon's evidence about the servers of a service.
    pub fn merge_evidence(
        &self,
        service: &id::Service,
        from: instance::Instance,
        digests: Vec<(id::Server, event::Digest)>,
    ) {
        let Some(known) = self.shared.service(service) else {
            return;
        };
        // Evidence about a service without traffic here decides nothing.
        if !known.is_active() {
            return;
        }
        let numbered = |(name, digest)| Some((known.server(&name)?, digest));
        let digests = digests.into_iter().filter_map(numbered).collect();
        known.handle(event::Event::Evidence { from, digests });
    }

    /// A request broke a server at another daemon.
    pub fn record_crash(
        &self,
        service: &id::Service,
        fingerprint: handle::Fingerprint,
        server: &id::Server,
    ) {
        let known = self.shared.service(service);
        let handle = known.as_ref().and_then(|known| known.server(server));
        if let Some((known, server)) = known.zip(handle) {
            known.handle(event::Event::CrashReport {
                fingerprint,
                server,
            });
        }
    }

    /// A request is refused across the fleet for a time from now.
    pub fn quarantine(
        &self,
        service: &id::Service,
        fingerprint: handle::Fingerprint,
        span: Duration,
    ) {
        let until = self.shared.common.clock.now() + span;
        self.handle_event(
            service,
            event::Event::Quarantine {
                fingerprint,
                expires_at: until,
            },
        );
    }

    /// This daemon's evidence about the servers of a service.
    #[must_use]
    pub fn digests(&self, service: &id::Service) -> Vec<(id::Server, event::Digest)> {
        let service = self.shared.service(service);
        service.map(|service| service.digests()).unwrap_or_default()
    }

    /// What the policy of a service holds of its servers.
    #[must_use]
    pub fn view(&self, service: &id::Service) -> Vec<(id::Server, View)> {
        let service = self.shared.service(service);
        service.map(|service| service.view()).unwrap_or_default()
    }

    /// Services that had traffic or news since the start.
    #[must_use]
    pub fn active_services(&self) -> Vec<id::Service> {
        let services = (0..SHARDS).flat_map(|shard| self.shared.services(shard));
        let active = services.filter(|service| service.is_active());
        active.map(|service| service.name.clone()).collect()
    }

    /// Recent decisions, oldest first.
    #[must_use]
    pub fn decisions(&self) -> Vec<decision::Decision> {
        self.shared.common.decisions.all()
    }

    /// What became of a recent request; `None` where it is not kept or did not end.
    #[must_use]
    pub fn trace(&self, request: handle::Request) -> Option<trace::Trace> {
        self.shared.common.traces.get(request)
    }

    /// Sends inventories again where the number of daemons that share a service changed.
    pub fn refresh_daemon_counts(&self) {
        for shard in 0..SHARDS {
            for service in self.shared.services(shard) {
                service.sharers_changed();
            }
        }
    }

    /// Begins a planned stop: answers close their connections, quiet connections are closed, and
    /// what is in flight goes on to its end. New connections are taken until `stop` of
    /// [`Engine::serve`].
    pub fn drain(&self) {
        self.shared.common.drain();
    }

    /// Requests that did not end yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let count = self.shared.common.metrics.in_flight.get();
        usize::try_from(count).unwrap_or_default()
    }

    /// Serves callers until `stop`, and then what is in flight to its end, without a time limit.
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

/// Ticks the services of one shard whose policies wait for time to pass, until the engine is gone.
async fn tick_shard(
    shared: Weak<Shared>,
    mut activation: mpsc::UnboundedReceiver<Arc<service::Service>>,
    tick: Duration,
) {
    let mut active: Vec<Arc<service::Service>> = Vec::new();
    let mut ticks = interval(tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count: u64 = 0;
    loop {
        if active.is_empty() {
            // Nothing wakes a daemon without requests.
            let Some(service) = activation.recv().await else {
                return;
            };
            active.push(service);
        }
        ticks.tick().await;
        count += 1;
        if shared.strong_count() == 0 {
            return;
        }
        while let Ok(service) = activation.try_recv() {
            active.push(service);
        }
        active.retain(|service| service.tick(count.is_multiple_of(REAP_TICKS)));
    }
}
