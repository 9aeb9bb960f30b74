//! A running daemon.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use monsooncart_policy::stop;
use monsooncart_store::store;
use monsooncart_task as task;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::{
    admin, change, components, config, core, error, evidence, gateway, handover, secret, status,
    updates,
};

/// Time for a planned stop to propagate to the entry responses of every daemon.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// The same with host routing, where news of members is spread faster.
const GATEWAY_LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Timeout for writing the ejection ledgers back during a planned stop.
const LEDGER_STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Handle to a running daemon; clones refer to the same daemon.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

/// State shared by the clones of an [`Engine`].
pub(crate) struct Shared {
    pub(crate) components: components::Components,
    draining: AtomicBool,
    /// Notified when an operator requests a planned stop.
    pub(crate) drain_request: Notify,
    caller_address: net::SocketAddr,
    admin_address: net::SocketAddr,
    /// Cancelled to stop accepting connections from callers.
    stop_accepting: CancellationToken,
    /// Tracks the task that serves callers, which ends with the last request in flight.
    caller_tasks: TaskTracker,
    /// Cancelled to stop all other tasks.
    shutdown: CancellationToken,
    background_tasks: TaskTracker,
}

async fn bind(
    listener: &'static str,
    address: net::SocketAddr,
) -> Result<(TcpListener, net::SocketAddr), error::Error> {
    let bind_error = |source| error::Error::Bind {
        listener,
        address,
        source,
    };
    let bound = TcpListener::bind(address).await.map_err(bind_error)?;
    let address = bound.local_addr().map_err(bind_error)?;
    Ok((bound, address))
}

impl Engine {
    pub(crate) async fn start(config: config::Config) -> Result<Self, error::Error> {
        let settings = config.settings;
        let protocols = config.protocols.filter(|_| settings.gateway.is_some());
        let platform = match (config.platform, &protocols) {
            (Some((store, vms)), _) => components::Platform { store, vms },
            (None, Some(protocols)) => gateway::open_store(&settings, protocols)?,
            (None, None) => components::Platform::open(&settings.platform).await?,
        };
        let secret = settings.secret.as_deref().map(secret::read).transpose()?;
        if settings.keys.is_some() && secret.is_none() {
            log::warn!("daemon: datagrams are not signed: keys are set but no secret");
        }
        let (caller_listener, caller_address) = bind("caller", settings.callers).await?;
        let (admin_listener, admin_address) = bind("admin", settings.admin).await?;
        let metrics_listener = match settings.gateway.as_ref().and_then(|g| g.metrics) {
            Some(address) => Some(bind("metrics", address).await?.0),
            None => None,
        };
        let gateway_listeners = match &settings.gateway {
            Some(gateway) => Some((
                bind("directory", gateway.directory).await?.0,
                bind("readiness", gateway.readiness).await?.0,
            )),
            None => None,
        };
        let components = components::Components::new(settings, &platform)?;
        let protocols = protocols.as_ref();
        let proxy = components.build_proxy(config.policies, config.strategy, protocols)?;
        let store = platform.store.clone();
        components
            .join_fleet(
                platform,
                config.timings,
                secret,
                caller_address,
                admin_address,
                protocols,
            )
            .await?;
        let engine = Self::new(components, caller_address, admin_address);
        engine.spawn_background_tasks(store);
        let stop_accepting = engine.shared.stop_accepting.clone();
        let serve = proxy.serve(caller_listener, stop_accepting.cancelled_owned());
        engine.shared.caller_tasks.spawn(serve);
        engine.spawn(admin::serve(admin_listener, engine.clone()));
        if let Some(listener) = metrics_listener {
            engine.spawn(admin::serve_metrics(listener, engine.clone()));
        }
        if let Some(((directory, readiness), protocols)) = gateway_listeners.zip(protocols) {
            let codec = protocols.discovery.clone();
            let endpoints = Arc::new(gateway::endpoints::Endpoints::new(engine.clone(), codec));
            engine.spawn(gateway::endpoints::serve(directory, endpoints.clone()));
            engine.spawn(gateway::endpoints::serve(readiness, endpoints));
        }
        let core = engine.core();
        log::info!(vm:% = core.settings.name, instance:% = core.instance; "daemon: started");
        Ok(engine)
    }

    fn new(
        components: components::Components,
        caller_address: net::SocketAddr,
        admin_address: net::SocketAddr,
    ) -> Self {
        Self {
            shared: Arc::new(Shared {
                components,
                draining: AtomicBool::new(false),
                drain_request: Notify::new(),
                caller_address,
                admin_address,
                stop_accepting: CancellationToken::new(),
                caller_tasks: TaskTracker::new(),
                shutdown: CancellationToken::new(),
                background_tasks: TaskTracker::new(),
            }),
        }
    }

    fn spawn_background_tasks(&self, store: Arc<dyn store::Store>) {
        let components = &self.shared.components;
        let core = &components.core;
        let (state, floors) = (core.clone(), components.floors.clone());
        let apply = move || updates::run(state.clone(), floors.clone());
        self.spawn_restarting("updates", apply);
        let state = core.clone();
        if core.gateway_entries.is_some() {
            let send = move || gateway::evidence::send(state.clone());
            self.spawn_restarting("evidence sender", send);
            let state = core.clone();
            let report = move || gateway::paths::report(state.clone());
            self.spawn_restarting("path reports", report);
            let state = core.clone();
            let exchange = move || gateway::allowances::exchange(state.clone());
            self.spawn_restarting("allowances", exchange);
            return;
        }
        self.spawn_restarting("evidence publisher", move || {
            evidence::publish(state.clone())
        });
        let claims = components.claims.clone();
        self.spawn_restarting("claim expiry", move || claims.clone().expire());
        let state = core.clone();
        self.spawn_restarting("change completion", move || {
            change::complete_pending(state.clone(), store.clone())
        });
        if let Some(accounts) = components.accounts.clone() {
            self.spawn_restarting("usage accounts", move || accounts.clone().run());
        }
    }

    /// Runs a long-lived task until the daemon stops, and again if it panics.
    fn spawn_restarting<F>(&self, name: &'static str, start: impl FnMut() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.spawn(task::run_restarting(name, start));
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let shutdown = self.shared.shutdown.clone();
        self.shared.background_tasks.spawn(async move {
            let _stopped = shutdown.run_until_cancelled_owned(task).await;
        });
    }

    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// State shared by the daemon's components.
    #[must_use]
    pub fn core(&self) -> &Arc<core::Core> {
        &self.shared.components.core
    }

    /// Bound address of the listener for callers.
    #[must_use]
    pub fn caller_address(&self) -> net::SocketAddr {
        self.shared.caller_address
    }

    /// Bound address of the admin listener.
    #[must_use]
    pub fn admin_address(&self) -> net::SocketAddr {
        self.shared.admin_address
    }

    /// Bound address of the listener for other daemons.
    #[must_use]
    pub fn peer_address(&self) -> net::SocketAddr {
        let cluster = self.shared.components.core.cluster();
        cluster.map_or(self.shared.components.core.settings.peers, |c| {
            c.bound_address()
        })
    }

    /// Address at which other daemons reach this one.
    #[must_use]
    pub fn advertised_peer_address(&self) -> net::SocketAddr {
        let cluster = self.shared.components.core.cluster();
        cluster.map_or(self.shared.components.core.settings.peers, |c| {
            c.local().peers
        })
    }

    /// Current lifecycle phase.
    #[must_use]
    pub fn phase(&self) -> status::Phase {
        if self.shared.draining.load(Ordering::Relaxed) {
            return status::Phase::Draining;
        }
        let cluster = self.shared.components.core.cluster();
        let snapshot = cluster.map(|c| c.replica().snapshot());
        let is_configured =
            snapshot.is_some_and(|s| s.services().next().is_some() || s.routing().is_some());
        match is_configured {
            true => status::Phase::Serving,
            false => status::Phase::Starting,
        }
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let proxy = self.shared.components.core.proxy();
        proxy.map_or(0, monsooncart_proxy::engine::Engine::in_flight)
    }

    /// Waits until an operator requests a planned stop; the caller then runs [`Engine::stop`].
    pub async fn drain_requested(&self) {
        self.shared.drain_request.notified().await;
    }

    /// Drains the daemon and stops it.
    ///
    /// The daemon removes itself from the entry responses and keeps serving until those that name
    /// it have expired. Then it asks callers to close their connections, accepts no new ones, waits
    /// for requests in flight, hands over its claims and stops. In gateway deployments, whose
    /// platform kills it at the end of its grace period, it answers the requests that are left
    /// shortly before; in others it waits without a limit. Dropping the future leaves the daemon
    /// draining.
    pub async fn stop(&self) {
        let core = &self.shared.components.core;
        if self.shared.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!(vm:% = core.settings.name; "daemon: draining");
        if let Some(cluster) = core.cluster() {
            cluster.drain();
        }
        match &core.settings.gateway {
            Some(gateway) => {
                let entry_lifetime = core.settings.entry_lifetime.0;
                let entry_expiry = GATEWAY_LEAVE_PROPAGATION_TIME + entry_lifetime;
                let schedule = stop::Schedule::new(gateway.grace.0, entry_expiry);
                self.stop_within(schedule).await;
            }
            None => {
                let accept_duration = LEAVE_PROPAGATION_TIME + core.settings.entry_lifetime.0;
                tokio::time::sleep(accept_duration).await;
                self.close_callers().await;
                self.shut_down().await;
            }
        }
    }

    /// Stops accepting connections and waits until those of the callers are closed.
    async fn close_callers(&self) {
        self.shared.stop_accepting.cancel();
        self.shared.caller_tasks.close();
        self.shared.caller_tasks.wait().await;
    }

    /// Serves and stops in the phases of a grace period.
    async fn stop_within(&self, phases: stop::Schedule) {
        let start = Instant::now();
        if let Some(proxy) = self.shared.components.core.proxy() {
            proxy.set_stop(start, phases);
        }
        tokio::time::sleep_until(start + phases.send_any).await;
        if let Some(proxy) = self.shared.components.core.proxy() {
            proxy.refuse_uncovered_requests();
        }
        tokio::time::sleep_until(start + phases.accept).await;
        let closed = tokio::time::timeout_at(start + phases.abandon, self.close_callers()).await;
        if closed.is_err() {
            log::warn!(in_flight = self.in_flight(); "daemon: grace time is ending; responding to the requests in flight");
            if let Some(proxy) = self.shared.components.core.proxy() {
                proxy.abandon_requests();
            }
            let closing = self.shared.caller_tasks.wait();
            let closed = tokio::time::timeout_at(start + phases.exit, closing).await;
            if closed.is_err() {
                log::warn!(cut = self.in_flight(); "daemon: grace time has ended; closing the connections that are left");
            }
        }
        if tokio::time::timeout_at(start + phases.exit, self.shut_down())
            .await
            .is_err()
        {
            log::warn!("daemon: grace time has ended during the shutdown");
        }
    }

    async fn shut_down(&self) {
        let core = &self.shared.components.core;
        self.shared.components.claims.with_table(|t| t.stop());
        // Gateway deployments have no tickets to hand over.
        let claims_handed_over = core.gateway_entries.is_some()
            || handover::hand_over(core, &self.shared.components.claims).await;
        if let Some(accounts) = &self.shared.components.accounts {
            accounts.finish().await;
        }
        let tokens_returned = match &self.shared.components.floors {
            Some(floors) => tokio::time::timeout(LEDGER_STOP_TIMEOUT, floors.stop())
                .await
                .is_ok(),
            None => true,
        };
        log::info!(
            claims_handed_over,
            tokens_returned;
            "daemon: stopped"
        );
        self.shared.shutdown.cancel();
        self.shared.background_tasks.close();
        gateway::allowances::leave(core);
        if let Some(cluster) = core.cluster() {
            cluster.clone().leave().await;
        }
    }

    /// Stops the background tasks immediately; returns the number of requests in flight, which are
    /// aborted when the process exits.
    pub fn abort(&self) -> usize {
        let aborted = self.in_flight();
        self.shared.shutdown.cancel();
        log::warn!(cut = aborted; "daemon: aborted");
        aborted
    }
}
