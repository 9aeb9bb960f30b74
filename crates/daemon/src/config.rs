//! Builder for a daemon.

use std::sync::Arc;

use monsooncart_cluster::config as cluster;
use monsooncart_config::settings;
use monsooncart_policy::slots;
use monsooncart_proxy::interface;
use monsooncart_store::{store, vms};

use crate::{engine, error, gateway};

/// Configuration of a daemon; [`Config::start`] starts it.
pub struct Config {
    pub(crate) settings: settings::Settings,
    pub(crate) policies: Option<Arc<dyn interface::Policies>>,
    pub(crate) strategy: slots::Strategy,
    pub(crate) platform: Option<(Arc<dyn store::Store>, Arc<dyn vms::List>)>,
    pub(crate) timings: cluster::Timings,
    pub(crate) protocols: Option<gateway::Protocols>,
}

impl Config {
    /// Creates a configuration with these settings and defaults for everything else.
    #[must_use]
    pub fn new(settings: settings::Settings) -> Self {
        Self {
            settings,
            policies: None,
            strategy: slots::Strategy::default(),
            platform: None,
            timings: cluster::Timings::default(),
            protocols: None,
        }
    }

    /// Replaces the default policies.
    #[must_use]
    pub fn policies(mut self, policies: Arc<dyn interface::Policies>) -> Self {
        self.policies = Some(policies);
        self
    }

    /// Sets how the default policies choose servers.
    #[must_use]
    pub fn strategy(mut self, strategy: slots::Strategy) -> Self {
        self.strategy = strategy;
        self
    }

    /// Replaces the platform named in the settings.
    #[must_use]
    pub fn platform(mut self, store: Arc<dyn store::Store>, vms: Arc<dyn vms::List>) -> Self {
        self.platform = Some((store, vms));
        self
    }

    /// Sets the timings of the cluster engine.
    #[must_use]
    pub fn timings(mut self, timings: cluster::Timings) -> Self {
        self.timings = timings;
        self
    }

    /// Sets the protocols of a deployment whose servers register themselves; used only if the
    /// settings have a gateway section.
    #[must_use]
    pub fn protocols(mut self, protocols: gateway::Protocols) -> Self {
        self.protocols = Some(protocols);
        self
    }

    /// Binds the listeners and starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound, or if the keys, the secret or an embedded
    /// fleet are invalid.
    pub async fn start(self) -> Result<engine::Engine, error::Error> {
        engine::Engine::start(self).await
    }
}
