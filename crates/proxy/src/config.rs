//! Builder for [`engine::Engine`].

use std::sync::Arc;
use std::time::Duration;

use monsooncart_config::settings;
use monsooncart_types::{id, rate};

use crate::{common, engine, host_routing, interface, metrics, pace, pool};

/// Default interval between policy ticks.
const DEFAULT_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Error in building an engine.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A required component was not set.
    #[display("proxy: component {part} is not set")]
    Missing {
        /// Name of the component.
        #[error(not(source))]
        part: &'static str,
    },
    /// The metrics could not be registered.
    #[display("proxy: metrics could not be registered: {source}")]
    Metrics {
        /// Error of the registry.
        source: prometheus::Error,
    },
}

/// Configuration and components of an engine.
#[derive(Clone)]
pub struct Config {
    name: id::Vm,
    data_centre: id::DataCentre,
    limits: settings::Limits,
    pool: pool::Limits,
    tick_interval: Duration,
    fleet: Option<Arc<dyn interface::Fleet>>,
    claims: Option<Arc<dyn interface::Claims>>,
    meter: Option<Arc<dyn interface::Meter>>,
    policies: Option<Arc<dyn interface::Policies>>,
    registry: Option<prometheus::Registry>,
    host_headers: Option<host_routing::HeaderNames>,
    max_body_bytes: u64,
    link_rate: Option<rate::Rate>,
}

impl Config {
    /// Creates a configuration with default limits for the daemon `name`.
    #[must_use]
    pub fn new(name: id::Vm, data_centre: id::DataCentre) -> Self {
        Self {
            name,
            data_centre,
            limits: settings::Limits::default(),
            pool: pool::Limits::default(),
            tick_interval: DEFAULT_TICK_INTERVAL,
            fleet: None,
            claims: None,
            meter: None,
            policies: None,
            registry: None,
            host_headers: None,
            max_body_bytes: u64::MAX,
            link_rate: None,
        }
    }

    /// Sets the limits of the caller listener.
    #[must_use]
    pub fn limits(mut self, limits: settings::Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the limits of connections to servers.
    #[must_use]
    pub fn pool(mut self, pool: pool::Limits) -> Self {
        self.pool = pool;
        self
    }

    /// Sets the interval between policy ticks.
    #[must_use]
    pub fn tick_interval(mut self, interval: Duration) -> Self {
        self.tick_interval = interval;
        self
    }

    /// Sets the connection to the rest of the fleet.
    #[must_use]
    pub fn fleet(mut self, fleet: Arc<dyn interface::Fleet>) -> Self {
        self.fleet = Some(fleet);
        self
    }

    /// Sets the authority for claims on tickets.
    #[must_use]
    pub fn claims(mut self, claims: Arc<dyn interface::Claims>) -> Self {
        self.claims = Some(claims);
        self
    }

    /// Sets the recorder of finished requests.
    #[must_use]
    pub fn meter(mut self, meter: Arc<dyn interface::Meter>) -> Self {
        self.meter = Some(meter);
        self
    }

    /// Sets the factory of policies.
    #[must_use]
    pub fn policies(mut self, policies: Arc<dyn interface::Policies>) -> Self {
        self.policies = Some(policies);
        self
    }

    /// Routes requests by host and path instead of by the caller's key.
    #[must_use]
    pub fn host_routing(mut self, names: Option<host_routing::HeaderNames>) -> Self {
        self.host_headers = names;
        self
    }

    /// Sets the maximum number of bytes of bodies that the daemon holds.
    #[must_use]
    pub fn max_body_bytes(mut self, bytes: Option<u64>) -> Self {
        self.max_body_bytes = bytes.unwrap_or(u64::MAX);
        self
    }

    /// Sets the bytes per second of the VM's link, if they are known.
    #[must_use]
    pub fn link_rate(mut self, rate: Option<rate::Rate>) -> Self {
        self.link_rate = rate;
        self
    }

    /// Sets the registry for metrics.
    #[must_use]
    pub fn registry(mut self, registry: &prometheus::Registry) -> Self {
        self.registry = Some(registry.clone());
        self
    }

    /// Builds the engine and starts its policy ticks.
    ///
    /// # Errors
    ///
    /// If a component is missing or metrics of the same names are already registered.
    ///
    /// # Panics
    ///
    /// If called outside a tokio runtime.
    pub fn build(self) -> Result<engine::Engine, Error> {
        let registry = self.registry.unwrap_or_default();
        let metrics =
            metrics::Metrics::new(&registry).map_err(|source| Error::Metrics { source })?;
        let missing = |part| Error::Missing { part };
        let common = common::Common::new(common::Parts {
            name: self.name,
            data_centre: self.data_centre,
            limits: self.limits,
            pool: self.pool,
            fleet: self.fleet.ok_or_else(|| missing("fleet"))?,
            claims: self.claims.ok_or_else(|| missing("claims"))?,
            meter: self.meter.ok_or_else(|| missing("meter"))?,
            policies: self.policies.ok_or_else(|| missing("policies"))?,
            host_headers: self.host_headers,
            max_body_bytes: self.max_body_bytes,
            link_pace: self.link_rate.map(pace::Pace),
            metrics,
        });
        Ok(engine::Engine::new(common, self.tick_interval))
    }
}
