//! How a balancer is built.

use monsooncart_types::{instance, map, time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::{balancer, health, poison, queue, retry, slots};

/// Share of a retry that a request of live traffic earns.
const RETRY_SHARE: f64 = 0.1;

/// Builds a [`balancer::Balancer`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub(super) strategy: slots::Strategy,
    pub(super) instance: instance::Instance,
    pub(super) retry_share: f64,
    seed: u64,
}

impl Config {
    /// The defaults, with the seed of every random choice.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            strategy: slots::Strategy::default(),
            instance: instance::Instance(seed),
            retry_share: RETRY_SHARE,
            seed,
        }
    }

    /// Sets how the slots are shared between daemons.
    #[must_use]
    pub fn strategy(mut self, strategy: slots::Strategy) -> Self {
        self.strategy = strategy;
        self
    }

    /// Sets the run of the daemon, by which its peers know it.
    #[must_use]
    pub fn instance(mut self, instance: instance::Instance) -> Self {
        self.instance = instance;
        self
    }

    /// Sets the retries and hedges for each request of live traffic.
    #[must_use]
    pub fn retry_share(mut self, share: f64) -> Self {
        self.retry_share = share;
        self
    }

    /// A balancer without servers.
    #[must_use]
    pub fn build(self) -> balancer::Balancer {
        balancer::Balancer {
            config: self,
            rng: SmallRng::seed_from_u64(self.seed),
            backends: Vec::new(),
            places: map::Map::default(),
            requests: map::Map::default(),
            flights: map::Map::default(),
            attempts: 0,
            queue: queue::Queue::default(),
            budget: retry::Budget::new(self.retry_share),
            poison: poison::Detector::default(),
            peers: health::peers::Peers::default(),
            baseline: health::baseline::Baseline::default(),
            tally: health::tally::Tally::default(),
            limits: health::Sensitivity::default().into(),
            promise: std::time::Duration::from_secs(1),
            daemons: 1,
            moved: time::Time::ZERO,
            hold: None,
            head: None,
            uneasy: false,
            recent_share: 0.0,
            compared: time::Time::ZERO,
            rotated: time::Time::ZERO,
            decayed: time::Time::ZERO,
            configured: false,
        }
    }
}
