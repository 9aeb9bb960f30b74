//! The components of one daemon, created in dependency order.

use std::net;
use std::sync::Arc;

use monsooncart_cluster::{config as cluster, engine as cluster_engine};
use monsooncart_config::settings;
use monsooncart_policy::membership::member;
use monsooncart_policy::slots;
use monsooncart_proxy::{config as proxy, engine as proxy_engine, interface};
use monsooncart_store::{client, memory, store, vms};
use monsooncart_wire::datagram;

use crate::{
    accounts, claims, core, embedded, error, fleet, floors, gateway, handover, meter, metrics,
    policies, rpc,
};

/// The platform's two interfaces.
#[derive(Clone)]
pub struct Platform {
    /// Object store.
    pub store: Arc<dyn store::Store>,
    /// List of VMs.
    pub vms: Arc<dyn vms::List>,
}

impl Platform {
    /// Opens the platform named in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet file of an embedded platform cannot be read or is invalid.
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

/// The components of one daemon.
pub struct Components {
    /// State shared by the components.
    pub core: Arc<core::Core>,
    /// Claim table.
    pub claims: Arc<claims::Claims>,
    /// Ejection ledgers; `None` in gateway deployments, which eject no servers.
    pub floors: Option<floors::Handle>,
    /// Usage accounts; `None` in gateway deployments, which do not distinguish organisations.
    pub accounts: Option<Arc<accounts::Accounts>>,
    /// Registry of all metrics.
    pub registry: prometheus::Registry,
}

impl Components {
    /// Creates the components that depend on neither the proxy nor other daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be registered.
    pub fn new(settings: settings::Settings, platform: &Platform) -> Result<Self, error::Error> {
        let registry = prometheus::Registry::new();
        let core = Arc::new(core::Core::new(settings));
        let claims = Arc::new(claims::Claims::new(core.clone()));
        let counters = metrics::CounterCollector::new(&core).map_err(error::Error::Metrics)?;
        let registered = registry.register(Box::new(counters));
        registered.map_err(error::Error::Metrics)?;
        let mut components = Self {
            core,
            claims,
            floors: None,
            accounts: None,
            registry,
        };
        if components.core.settings.gateway.is_none() {
            let (core, store) = (&components.core, &platform.store);
            components.floors = Some(floors::Handle::start(core.clone(), store.clone()));
            let accounts =
                accounts::Accounts::new(core.clone(), store.clone(), &components.registry);
            components.accounts = Some(Arc::new(accounts.map_err(error::Error::Metrics)?));
        }
        Ok(components)
    }

    /// Builds the proxy and sets it in the shared state.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be registered.
    pub fn build_proxy(
        &self,
        policies: Option<Arc<dyn interface::Policies>>,
        strategy: slots::Strategy,
        protocols: Option<&gateway::Protocols>,
    ) -> Result<proxy_engine::Engine, error::Error> {
        let default_policies: Arc<dyn interface::Policies> = match &self.core.settings.gateway {
            Some(gateway) => Arc::new(policies::Selector {
                instance: self.core.instance,
                retries: gateway::retry_limits(&self.core.settings, gateway),
                covers_servers: gateway.cover_servers,
                waits: gateway.wait_for_room,
            }),
            None => Arc::new(policies::Balancer {
                instance: self.core.instance,
                strategy,
            }),
        };
        let fleet = fleet::Fleet {
            core: self.core.clone(),
            floors: self.floors.clone(),
        };
        let meter = meter::Meter {
            accounts: self.accounts.clone(),
        };
        let settings = &self.core.settings;
        let proxy = proxy::Config::new(settings.name.clone(), settings.data_centre.clone())
            .limits(settings.limits.clone())
            .fleet(Arc::new(fleet))
            .claims(Arc::new(claims::ProxyClaims(self.claims.clone())))
            .meter(Arc::new(meter))
            .policies(policies.unwrap_or(default_policies))
            .pool(protocols.map_or_else(Default::default, |_| gateway::pool_limits(settings)))
            .host_routing(protocols.map(|protocols| protocols.headers.clone()))
            .max_body_bytes(gateway::max_body_bytes(settings))
            .link_rate(gateway::link_rate(settings))
            .registry(&self.registry)
            .build()
            .map_err(error::Error::Proxy)?;
        self.core.set_proxy(proxy.clone());
        Ok(proxy)
    }

    /// Starts the cluster engine, which joins the fleet, and sets it in the shared state.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be bound or the keys are unusable.
    pub async fn join_fleet(
        &self,
        platform: Platform,
        timings: cluster::Timings,
        secret: Option<datagram::Secret>,
        caller_address: net::SocketAddr,
        admin_address: net::SocketAddr,
        protocols: Option<&gateway::Protocols>,
    ) -> Result<(), error::Error> {
        let settings = &self.core.settings;
        let handler = rpc::Handler {
            core: self.core.clone(),
            claims: self.claims.clone(),
            floors: self.floors.clone(),
            accounts: self.accounts.clone(),
            handover_parts: handover::Reassembly::default(),
        };
        let member = self.local_member(caller_address, admin_address);
        let mut config = cluster::Config::new(member, settings.peers, Arc::new(handler))
            .seeds(gateway::seed_addresses(settings))
            .advertise(settings.advertise_peers)
            .keys(settings.keys.clone())
            .secret(secret)
            .store(platform.store)
            .timings(timings);
        if let Some(gateway) = &settings.gateway {
            config = config.upload_bytes_per_second(gateway::upload_bytes_per_second(gateway));
        }
        config = match protocols {
            // Without a VM list, members find each other by seeds and gossip alone.
            Some(protocols) => config
                .admit_any()
                .source(protocols.source.clone())
                .timings(gateway::cluster_timings()),
            None => config.vms(platform.vms),
        };
        let cluster: cluster_engine::Engine =
            config.start().await.map_err(error::Error::Cluster)?;
        self.core.set_cluster(cluster);
        Ok(())
    }

    fn local_member(
        &self,
        caller_address: net::SocketAddr,
        admin_address: net::SocketAddr,
    ) -> member::Member {
        let settings = &self.core.settings;
        member::Member {
            vm: settings.name.clone(),
            instance: self.core.instance,
            peers: settings.peers,
            callers: caller_address,
            admin: admin_address,
            data_centre: settings.data_centre.clone(),
            region: gateway::membership_region(settings),
            state: member::State::Alive,
            leaving: false,
            capacity: gateway::capacity_millicores(settings),
        }
    }
}
