//! Puts an engine together.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_config::settings;
use monsooncart_types::id;

use crate::{common, engine, host_routing, interface, metrics, pool};

/// Time between ticks of the policies.
const TICK: Duration = Duration::from_millis(50);

/// An engine that cannot be put together.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// A part was not given.
    #[display("proxy: part {part} is not given")]
    Missing {
        /// Its name.
        #[error(not(source))]
        part: &'static str,
    },
    /// Counters of the same names are registered already.
    #[display("proxy: counters are not registered: {source}")]
    Metrics {
        /// Why.
        source: prometheus::Error,
    },
}

/// What an engine is made of.
#[derive(Clone)]
pub struct Config {
    name: id::Vm,
    data_centre: id::DataCentre,
    limits: settings::Limits,
    pool: pool::Limits,
    tick: Duration,
    fleet: Option<Arc<dyn interface::Fleet>>,
    claims: Option<Arc<dyn interface::Claims>>,
    meter: Option<Arc<dyn interface::Meter>>,
    policies: Option<Arc<dyn interface::Policies>>,
    registry: Option<prometheus::Registry>,
    hosts: Option<host_routing::HeaderNames>,
}

impl Config {
    /// The parts of a daemon's engine, with default limits.
    #[must_use]
    pub fn new(name: id::Vm, data_centre: id::DataCentre) -> Self {
        Self {
            name,
            data_centre,
            limits: settings::Limits::default(),
            pool: pool::Limits::default(),
            tick: TICK,
            fleet: None,
            claims: None,
            meter: None,
            policies: None,
            registry: None,
            hosts: None,
        }
    }

    /// Sets the limits of the caller listener.
    #[must_use]
    pub fn limits(mut self, limits: settings::Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the limits of the connections to servers.
    #[must_use]
    pub fn pool(mut self, pool: pool::Limits) -> Self {
        self.pool = pool;
        self
    }

    /// Sets the time between ticks of the policies.
    #[must_use]
    pub fn tick(mut self, tick: Duration) -> Self {
        self.tick = tick;
        self
    }

    /// Sets the rest of the fleet.
    #[must_use]
    pub fn fleet(mut self, fleet: Arc<dyn interface::Fleet>) -> Self {
        self.fleet = Some(fleet);
        self
    }

    /// Sets who decides claims on tickets.
    #[must_use]
    pub fn claims(mut self, claims: Arc<dyn interface::Claims>) -> Self {
        self.claims = Some(claims);
        self
    }

    /// Sets who accounts for requests.
    #[must_use]
    pub fn meter(mut self, meter: Arc<dyn interface::Meter>) -> Self {
        self.meter = Some(meter);
        self
    }

    /// Sets who makes policies.
    #[must_use]
    pub fn policies(mut self, policies: Arc<dyn interface::Policies>) -> Self {
        self.policies = Some(policies);
        self
    }

    /// Has hosts and paths name the contracts of requests, in place of keys.
    #[must_use]
    pub fn host_routing(mut self, names: Option<host_routing::HeaderNames>) -> Self {
        self.hosts = names;
        self
    }

    /// Sets where counters are registered.
    #[must_use]
    pub fn registry(mut self, registry: &prometheus::Registry) -> Self {
        self.registry = Some(registry.clone());
        self
    }

    /// Puts the engine together and starts its ticks.
    ///
    /// # Errors
    ///
    /// Where a part is missing or counters of the same names are registered already.
    ///
    /// # Panics
    ///
    /// Outside a tokio runtime.
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
            hosts: self.hosts,
            metrics,
        });
        Ok(engine::Engine::new(common, self.tick))
    }
}
