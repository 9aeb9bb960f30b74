//! A running daemon.

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use monsooncart_store::store;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::{
    admin, change, config, core, error, evidence, follow, gateway, handover, parts, secret, status,
};

/// Time for the news of a planned stop to reach the entry answers of every daemon.
const SPREAD: Duration = Duration::from_secs(2);

/// Longest wait for the ledgers to be written back during a planned stop.
const FLOORS_TIMEOUT: Duration = Duration::from_secs(5);

/// A running daemon; a clone stands for the same one.
#[derive(Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

pub(crate) struct Shared {
    pub(crate) parts: parts::Parts,
    draining: AtomicBool,
    /// Told when an operator asks for a planned stop.
    pub(crate) drain: Notify,
    callers: net::SocketAddr,
    admin: net::SocketAddr,
    /// Ends the taking of connections from callers.
    quiet: CancellationToken,
    /// The serving of callers, which ends with the last request in flight.
    serving: TaskTracker,
    /// Ends all other tasks.
    stop: CancellationToken,
    tasks: TaskTracker,
}

async fn bind(
    listener: &'static str,
    address: net::SocketAddr,
) -> Result<(TcpListener, net::SocketAddr), error::Error> {
    let error = |source| error::Error::Bind {
        listener,
        address,
        source,
    };
    let bound = TcpListener::bind(address).await.map_err(error)?;
    let address = bound.local_addr().map_err(error)?;
    Ok((bound, address))
}

impl Engine {
    pub(crate) async fn start(config: config::Config) -> Result<Self, error::Error> {
        let settings = config.settings;
        let interface = config.interface.filter(|_| settings.gateway.is_some());
        let platform = match (config.platform, &interface) {
            (Some((store, vms)), _) => parts::Platform { store, vms },
            (None, Some(interface)) => gateway::open(&settings, interface)?,
            (None, None) => parts::Platform::open(&settings.platform).await?,
        };
        let secret = settings.secret.as_deref().map(secret::read).transpose()?;
        if settings.keys.is_some() && secret.is_none() {
            log::warn!("daemon: keys without a secret leave datagrams unsigned");
        }
        let (caller_listener, callers) = bind("caller", settings.callers).await?;
        let (admin_listener, admin) = bind("admin", settings.admin).await?;
        let metrics = match settings.gateway.as_ref().and_then(|g| g.metrics) {
            Some(address) => Some(bind("metrics", address).await?.0),
            None => None,
        };
        let gateway = match &settings.gateway {
            Some(gateway) => Some((
                bind("directory", gateway.directory).await?.0,
                bind("readiness", gateway.readiness).await?.0,
            )),
            None => None,
        };
        let parts = parts::Parts::new(settings, &platform)?;
        let interface = interface.as_ref();
        let proxy = parts.start_path(config.policies, config.strategy, interface)?;
        let store = platform.store.clone();
        parts
            .join(platform, config.timings, secret, callers, admin, interface)
            .await?;
        let engine = Self::new(parts, callers, admin);
        engine.spawn_parts(store);
        let quiet = engine.shared.quiet.clone();
        let serve = proxy.serve(caller_listener, quiet.cancelled_owned());
        engine.shared.serving.spawn(serve);
        engine.spawn(admin::serve(admin_listener, engine.clone()));
        if let Some(listener) = metrics {
            engine.spawn(admin::serve_metrics(listener, engine.clone()));
        }
        if let Some(((directory, readiness), interface)) = gateway.zip(interface) {
            let questions = interface.questions.clone();
            let pages = Arc::new(gateway::pages::Pages::new(engine.clone(), questions));
            engine.spawn(gateway::pages::serve(directory, pages.clone()));
            engine.spawn(gateway::pages::serve(readiness, pages));
        }
        let core = engine.core();
        log::info!(vm:% = core.settings.name, instance:% = core.instance; "daemon: started");
        Ok(engine)
    }

    fn new(parts: parts::Parts, callers: net::SocketAddr, admin: net::SocketAddr) -> Self {
        Self {
            shared: Arc::new(Shared {
                parts,
                draining: AtomicBool::new(false),
                drain: Notify::new(),
                callers,
                admin,
                quiet: CancellationToken::new(),
                serving: TaskTracker::new(),
                stop: CancellationToken::new(),
                tasks: TaskTracker::new(),
            }),
        }
    }

    fn spawn_parts(&self, store: Arc<dyn store::Store>) {
        let parts = &self.shared.parts;
        let core = &parts.core;
        self.spawn(follow::run(core.clone(), parts.floors.clone()));
        if core.gateway.is_some() {
            self.spawn(gateway::evidence::tell(core.clone()));
            return;
        }
        self.spawn(parts.claims.clone().expire());
        self.spawn(change::complete(core.clone(), store));
        self.spawn(evidence::tell(core.clone()));
        if let Some(accounts) = parts.accounts.clone() {
            self.spawn(accounts.run());
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.shared.stop.clone();
        self.shared.tasks.spawn(async move {
            let _stopped = stop.run_until_cancelled_owned(task).await;
        });
    }

    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// What the parts share.
    #[must_use]
    pub fn core(&self) -> &Arc<core::Core> {
        &self.shared.parts.core
    }

    /// Where callers are served.
    #[must_use]
    pub fn caller_address(&self) -> net::SocketAddr {
        self.shared.callers
    }

    /// Where operators are served.
    #[must_use]
    pub fn admin_address(&self) -> net::SocketAddr {
        self.shared.admin
    }

    /// Where other daemons are served.
    #[must_use]
    pub fn peer_address(&self) -> net::SocketAddr {
        let cluster = self.shared.parts.core.cluster();
        cluster.map_or(self.shared.parts.core.settings.peers, |c| c.bound())
    }

    /// Where other daemons are told that they reach this one.
    #[must_use]
    pub fn advertised_peer_address(&self) -> net::SocketAddr {
        let cluster = self.shared.parts.core.cluster();
        cluster.map_or(self.shared.parts.core.settings.peers, |c| c.local().peers)
    }

    /// Where the daemon is in its life.
    #[must_use]
    pub fn phase(&self) -> status::Phase {
        if self.shared.draining.load(Ordering::Relaxed) {
            return status::Phase::Draining;
        }
        let cluster = self.shared.parts.core.cluster();
        let held = cluster.map(|c| c.held().snapshot());
        let configured =
            held.is_some_and(|s| s.services().next().is_some() || s.routing().is_some());
        match configured {
            true => status::Phase::Serving,
            false => status::Phase::Starting,
        }
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let proxy = self.shared.parts.core.proxy();
        proxy.map_or(0, monsooncart_proxy::engine::Engine::in_flight)
    }

    /// Waits until an operator asks for a planned stop, which [`Engine::stop`] then makes.
    pub async fn drain_requested(&self) {
        self.shared.drain.notified().await;
    }

    /// Stops as planned.
    ///
    /// The daemon leaves the entry answers and keeps serving until they are no longer used. Then
    /// it asks callers to close their connections, takes no more, waits without a limit for what
    /// is in flight, hands over its claims and ends. Dropping the future leaves it draining.
    pub async fn stop(&self) {
        let core = &self.shared.parts.core;
        if self.shared.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!(vm:% = core.settings.name; "daemon: draining");
        if let Some(cluster) = core.cluster() {
            cluster.drain();
        }
        let leave = match &core.settings.gateway {
            Some(gateway) => gateway::leave_time(gateway),
            None => SPREAD + core.settings.entry_lifetime.0,
        };
        tokio::time::sleep(leave).await;
        self.shared.quiet.cancel();
        self.shared.serving.close();
        self.shared.serving.wait().await;
        self.finish().await;
    }

    async fn finish(&self) {
        let core = &self.shared.parts.core;
        self.shared.parts.claims.table(|t| t.stop());
        // Without tickets there is nothing to hand over.
        let handed =
            core.gateway.is_some() || handover::offer(core, &self.shared.parts.claims).await;
        if let Some(accounts) = &self.shared.parts.accounts {
            accounts.finish().await;
        }
        let written = match &self.shared.parts.floors {
            Some(floors) => tokio::time::timeout(FLOORS_TIMEOUT, floors.stop())
                .await
                .is_ok(),
            None => true,
        };
        log::info!(
            claims_handed_over = handed,
            tokens_returned = written;
            "daemon: stopped"
        );
        self.shared.stop.cancel();
        self.shared.tasks.close();
        if let Some(cluster) = core.cluster() {
            cluster.clone().leave().await;
        }
    }

    /// Ends at once; gives the number of requests that were cut.
    pub fn abort(&self) -> usize {
        let cut = self.in_flight();
        self.shared.stop.cancel();
        log::warn!(cut; "daemon: ended at once");
        cut
    }
}
