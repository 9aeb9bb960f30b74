//! What the parts of one daemon share.
//!
//! The request path and the part between daemons each need the other at work, so both are set once
//! at start; before that, what would need them does nothing.

use std::sync::OnceLock;

use monsooncart_cluster::engine as cluster;
use monsooncart_config::settings;
use monsooncart_proxy::engine as proxy;
use monsooncart_types::{instance, time};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::{entries, gateway};

/// The shared state.
pub struct Core {
    /// This run.
    pub instance: instance::Instance,
    /// The settings.
    pub settings: settings::Settings,
    /// The entry sets of all services.
    pub entries: entries::Directory,
    /// The entry sets of all data centres, in place of those of services, behind a gateway.
    pub gateway: Option<gateway::entries::Entries>,
    /// Told when there is evidence that other daemons have not heard.
    pub stirred: Notify,
    origin: Instant,
    cluster: OnceLock<cluster::Engine>,
    proxy: OnceLock<proxy::Engine>,
}

impl Core {
    /// A core whose parts are not set yet.
    #[must_use]
    pub fn new(settings: settings::Settings) -> Self {
        Self {
            instance: instance::Instance(rand::random()),
            entries: entries::Directory::new(settings.entry_count as usize),
            gateway: settings
                .gateway
                .is_some()
                .then(|| gateway::entries::Entries::new(settings.entry_count as usize)),
            stirred: Notify::new(),
            settings,
            origin: Instant::now(),
            cluster: OnceLock::new(),
            proxy: OnceLock::new(),
        }
    }

    /// The present, since the start of this run.
    #[must_use]
    pub fn now(&self) -> time::Time {
        time::Time::ZERO + self.origin.elapsed()
    }

    /// Sets the part between daemons, once.
    pub fn set_cluster(&self, cluster: cluster::Engine) {
        let _again = self.cluster.set(cluster);
    }

    /// Sets the request path, once.
    pub fn set_proxy(&self, proxy: proxy::Engine) {
        let _again = self.proxy.set(proxy);
    }

    /// The part between daemons, once set.
    #[must_use]
    pub fn cluster(&self) -> Option<&cluster::Engine> {
        self.cluster.get()
    }

    /// The request path, once set.
    #[must_use]
    pub fn proxy(&self) -> Option<&proxy::Engine> {
        self.proxy.get()
    }
}
