//! What a daemon needs to start.

use std::sync::Arc;

use monsooncart_cluster::config as cluster;
use monsooncart_config::settings;
use monsooncart_policy::slots;
use monsooncart_proxy::interface;
use monsooncart_store::{store, vms};

use crate::{engine, error, gateway};

/// Makes a daemon.
pub struct Config {
    pub(crate) settings: settings::Settings,
    pub(crate) policies: Option<Arc<dyn interface::Policies>>,
    pub(crate) strategy: slots::Strategy,
    pub(crate) platform: Option<(Arc<dyn store::Store>, Arc<dyn vms::List>)>,
    pub(crate) timings: cluster::Timings,
    pub(crate) interface: Option<gateway::Interface>,
}

impl Config {
    /// A daemon with these settings.
    #[must_use]
    pub fn new(settings: settings::Settings) -> Self {
        Self {
            settings,
            policies: None,
            strategy: slots::Strategy::default(),
            platform: None,
            timings: cluster::Timings::default(),
            interface: None,
        }
    }

    /// Other policies than the fleet's.
    #[must_use]
    pub fn policies(mut self, policies: Arc<dyn interface::Policies>) -> Self {
        self.policies = Some(policies);
        self
    }

    /// How the fleet's own policies choose servers.
    #[must_use]
    pub fn strategy(mut self, strategy: slots::Strategy) -> Self {
        self.strategy = strategy;
        self
    }

    /// A platform in place of the one that the settings name.
    #[must_use]
    pub fn platform(mut self, store: Arc<dyn store::Store>, vms: Arc<dyn vms::List>) -> Self {
        self.platform = Some((store, vms));
        self
    }

    /// Timings of the part between daemons.
    #[must_use]
    pub fn timings(mut self, timings: cluster::Timings) -> Self {
        self.timings = timings;
        self
    }

    /// How callers, servers and the store of a deployment are spoken to whose servers register
    /// themselves; taken where the settings have a gateway.
    #[must_use]
    pub fn interface(mut self, interface: gateway::Interface) -> Self {
        self.interface = Some(interface);
        self
    }

    /// Binds the listeners and starts the daemon.
    ///
    /// # Errors
    ///
    /// Where a listener is not bound, or keys or an embedded fleet are not good.
    pub async fn start(self) -> Result<engine::Engine, error::Error> {
        engine::Engine::start(self).await
    }
}
