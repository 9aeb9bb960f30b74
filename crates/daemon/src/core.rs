//! State shared by the components of one daemon.
//!
//! The proxy and the cluster engine each need the other at run time, so both are set once during
//! startup; until then, operations that need them do nothing.

use std::sync::OnceLock;

use monsooncart_cluster::engine as cluster;
use monsooncart_config::settings;
use monsooncart_proxy::engine as proxy;
use monsooncart_types::{instance, time};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::{entries, gateway};

/// State shared by the components of one daemon.
pub struct Core {
    /// Instance id of this run of the daemon.
    pub instance: instance::Instance,
    /// Settings the daemon was started with.
    pub settings: settings::Settings,
    /// Entry sets by service.
    pub entries: entries::Directory,
    /// Entry sets by data centre; used instead of those by service in gateway deployments.
    pub gateway_entries: Option<gateway::entries::Entries>,
    /// Lost paths to servers; `None` unless this is a gateway deployment.
    pub gateway_paths: Option<gateway::paths::Paths>,
    /// Parts of the organisations' allowances; `None` unless this is a gateway deployment.
    pub gateway_allowances: Option<gateway::allowances::Allowances>,
    /// Notified when there is evidence that has not been sent to other daemons.
    pub evidence_ready: Notify,
    started_at: Instant,
    cluster: OnceLock<cluster::Engine>,
    proxy: OnceLock<proxy::Engine>,
}

impl Core {
    /// Creates the shared state, without proxy and cluster engine.
    #[must_use]
    pub fn new(settings: settings::Settings) -> Self {
        let instance = instance::Instance(rand::random());
        Self {
            instance,
            entries: entries::Directory::new(settings.entry_count as usize),
            gateway_entries: settings
                .gateway
                .is_some()
                .then(|| gateway::entries::Entries::new(settings.entry_count as usize)),
            gateway_paths: settings
                .gateway
                .is_some()
                .then(|| gateway::paths::Paths::new(instance)),
            gateway_allowances: settings.gateway.is_some().then(|| {
                gateway::allowances::Allowances::new(time::Time::ZERO, instance, &settings)
            }),
            evidence_ready: Notify::new(),
            settings,
            started_at: Instant::now(),
            cluster: OnceLock::new(),
            proxy: OnceLock::new(),
        }
    }

    /// Time elapsed since this run started.
    #[must_use]
    pub fn now(&self) -> time::Time {
        time::Time::ZERO + self.started_at.elapsed()
    }

    /// Sets the cluster engine; later calls have no effect.
    pub fn set_cluster(&self, cluster: cluster::Engine) {
        let _already_set = self.cluster.set(cluster);
    }

    /// Sets the proxy; later calls have no effect.
    pub fn set_proxy(&self, proxy: proxy::Engine) {
        let _already_set = self.proxy.set(proxy);
    }

    /// The cluster engine, once set.
    #[must_use]
    pub fn cluster(&self) -> Option<&cluster::Engine> {
        self.cluster.get()
    }

    /// The proxy, once set.
    #[must_use]
    pub fn proxy(&self) -> Option<&proxy::Engine> {
        self.proxy.get()
    }
}
