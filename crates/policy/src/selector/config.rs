//! Configuration of a selector.

use std::time::Duration;

use monsooncart_types::{instance, map, time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::selector::{Selector, budget, rate_limit, relay, remote_window};
use crate::{path, poison, waiting};

/// Builds a [`Selector`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub(super) instance: instance::Instance,
    retries: budget::Limits,
    pub(super) covers_servers: bool,
    waits: bool,
    seed: u64,
}

impl Config {
    /// Creates the default configuration; `seed` seeds all random choices.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            instance: instance::Instance(seed),
            retries: budget::Limits::default(),
            covers_servers: false,
            waits: false,
            seed,
        }
    }

    /// Sets the instance under which this daemon reports evidence to its peers.
    #[must_use]
    pub fn instance(mut self, instance: instance::Instance) -> Self {
        self.instance = instance;
        self
    }

    /// Sets the bound on the retries and hedges of all daemons together.
    #[must_use]
    pub fn retries(mut self, limits: budget::Limits) -> Self {
        self.retries = limits;
        self
    }

    /// Sets whether each healthy server is kept in use.
    #[must_use]
    pub fn covers_servers(mut self, covers_servers: bool) -> Self {
        self.covers_servers = covers_servers;
        self
    }

    /// Sets whether requests wait for room, and rather than for a server that is in doubt.
    #[must_use]
    pub fn waits(mut self, waits: bool) -> Self {
        self.waits = waits;
        self
    }

    /// Builds a selector without servers.
    #[must_use]
    pub fn build(self) -> Selector {
        Selector {
            config: self,
            rng: SmallRng::seed_from_u64(self.seed),
            servers: Vec::new(),
            indices: map::Map::default(),
            requests: map::Map::default(),
            in_flight: map::Map::default(),
            attempts_sent: 0,
            budget: budget::Budget::new(self.retries),
            waits: self.waits,
            queue: waiting::Queue::default(),
            work_by_route: map::Map::default(),
            poison: poison::Detector::default(),
            crashes: super::crash::Suspicions::default(),
            mean_latency: None,
            mean_service_time: None,
            latency_objective: Duration::from_secs(1),
            path: path::Path::default(),
            relays: relay::Relays::default(),
            remote_window: remote_window::RemoteWindow::default(),
            heard: map::Map::default(),
            last_response_at: time::Time::ZERO,
            removed_servers: map::Map::default(),
            fleet: rate_limit::Fleet {
                own: self.instance,
                daemons: Vec::new(),
                unix_origin: Duration::ZERO,
            },
        }
    }
}
