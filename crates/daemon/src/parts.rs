//! The parts of one daemon, made in the order in which they need each other.

use std::net;
use std::sync::Arc;

use monsooncart_cluster::{config as cluster, engine as between};
use monsooncart_config::settings;
use monsooncart_policy::membership::member;
use monsooncart_policy::slots;
use monsooncart_proxy::{config as proxy, engine as path, interface};
use monsooncart_store::{client, memory, store, vms};
use monsooncart_wire::datagram;

use crate::{
    accounts, calls, claims, core, embedded, error, fleet, floors, gateway, handover, meter,
    metrics, policies,
};

/// The platform, as two borders.
#[derive(Clone)]
pub struct Platform {
    /// Its object API.
    pub store: Arc<dyn store::Store>,
    /// Its VM list.
    pub vms: Arc<dyn vms::List>,
}

impl Platform {
    /// Opens the platform that settings name.
    ///
    /// # Errors
    ///
    /// Where the fleet file of an embedded platform is not good.
    pub async fn open(settings: &settings::Platform) -> Result<Self, error::Error> {
        Ok(match settings {
            settings::Platform::Remote(address) => {
                let client = Arc::new(client::Client::new(*address));
                Self {
                    store: client.clone(),
                    vms: client,
                }
            }
            settings::Platform::Embedded(path) => {
                let memory: Arc<memory::Memory> = embedded::open(path).await?;
                Self {
                    store: memory.clone(),
                    vms: memory,
                }
            }
        })
    }
}

/// The parts.
pub struct Parts {
    /// What they share.
    pub core: Arc<core::Core>,
    /// Claims on tickets.
    pub claims: Arc<claims::Claims>,
    /// The ledgers of ejections; none behind a gateway, where nothing is ejected.
    pub floors: Option<floors::Floors>,
    /// Accounts of traffic; none behind a gateway, where organisations are not told apart.
    pub accounts: Option<Arc<accounts::Accounts>>,
    /// Where metrics are registered.
    pub registry: prometheus::Registry,
}

impl Parts {
    /// The parts that need neither the request path nor other daemons.
    ///
    /// # Errors
    ///
    /// Where metrics are not registered.
    pub fn new(settings: settings::Settings, platform: &Platform) -> Result<Self, error::Error> {
        let registry = prometheus::Registry::new();
        let core = Arc::new(core::Core::new(settings));
        let claims = Arc::new(claims::Claims::new(core.clone()));
        let kept = metrics::Kept::new(&core).map_err(error::Error::Metrics)?;
        let registered = registry.register(Box::new(kept));
        registered.map_err(error::Error::Metrics)?;
        let mut parts = Self {
            core,
            claims,
            floors: None,
            accounts: None,
            registry,
        };
        if parts.core.settings.gateway.is_none() {
            let (core, store) = (&parts.core, &platform.store);
            parts.floors = Some(floors::Floors::start(core.clone(), store.clone()));
            let accounts = accounts::Accounts::new(core.clone(), store.clone(), &parts.registry);
            parts.accounts = Some(Arc::new(accounts.map_err(error::Error::Metrics)?));
        }
        Ok(parts)
    }

    /// Makes the request path and sets it in the core.
    ///
    /// # Errors
    ///
    /// Where metrics are not registered.
    pub fn start_path(
        &self,
        policies: Option<Arc<dyn interface::Policies>>,
        strategy: slots::Strategy,
        interface: Option<&gateway::Interface>,
    ) -> Result<path::Engine, error::Error> {
        let own: Arc<dyn interface::Policies> = match &self.core.settings.gateway {
            Some(gateway) => Arc::new(policies::Selecting {
                instance: self.core.instance,
                retries: gateway::retries(gateway),
            }),
            None => Arc::new(policies::Balanced {
                instance: self.core.instance,
                strategy,
            }),
        };
        let rest = fleet::Fleet {
            core: self.core.clone(),
            floors: self.floors.clone(),
        };
        let meter = meter::Meter {
            accounts: self.accounts.clone(),
        };
        let settings = &self.core.settings;
        let proxy = proxy::Config::new(settings.name.clone(), settings.data_centre.clone())
            .limits(settings.limits.clone())
            .fleet(Arc::new(rest))
            .claims(Arc::new(claims::Border(self.claims.clone())))
            .meter(Arc::new(meter))
            .policies(policies.unwrap_or(own))
            .pool(interface.map_or_else(Default::default, |_| gateway::pool()))
            .host_routing(interface.map(|interface| interface.headers.clone()))
            .registry(&self.registry)
            .build()
            .map_err(error::Error::Proxy)?;
        self.core.set_proxy(proxy.clone());
        Ok(proxy)
    }

    /// Joins the fleet and sets the part between daemons in the core.
    ///
    /// # Errors
    ///
    /// Where the listener is not bound or the keys are of no use.
    pub async fn join(
        &self,
        platform: Platform,
        timings: cluster::Timings,
        secret: Option<datagram::Secret>,
        callers: net::SocketAddr,
        admin: net::SocketAddr,
        interface: Option<&gateway::Interface>,
    ) -> Result<(), error::Error> {
        let settings = &self.core.settings;
        let handler = calls::Calls {
            core: self.core.clone(),
            claims: self.claims.clone(),
            floors: self.floors.clone(),
            accounts: self.accounts.clone(),
            inbox: handover::Inbox::default(),
        };
        let member = self.member(callers, admin);
        let mut config = cluster::Config::new(member, settings.peers, Arc::new(handler))
            .seeds(gateway::seeds(settings))
            .advertise(settings.advertise_peers)
            .keys(settings.keys.clone())
            .secret(secret)
            .store(platform.store)
            .timings(timings);
        config = match interface {
            // Members find each other by seeds and gossip alone.
            Some(interface) => config
                .open()
                .source(interface.source.clone())
                .timings(gateway::timings()),
            None => config.vms(platform.vms),
        };
        let cluster: between::Engine = config.start().await.map_err(error::Error::Cluster)?;
        self.core.set_cluster(cluster);
        Ok(())
    }

    fn member(&self, callers: net::SocketAddr, admin: net::SocketAddr) -> member::Member {
        let settings = &self.core.settings;
        member::Member {
            vm: settings.name.clone(),
            instance: self.core.instance,
            peers: settings.peers,
            callers,
            admin,
            data_centre: settings.data_centre.clone(),
            region: gateway::scope(settings),
            state: member::State::Alive,
            leaving: false,
            capacity: gateway::capacity(settings),
        }
    }
}
