//! How a selector is built.

use std::time::Duration;

use monsooncart_types::{instance, map};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::poison;
use crate::selector::{Selector, budget};

/// Builds a [`Selector`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub(super) instance: instance::Instance,
    retries: budget::Limits,
    seed: u64,
}

impl Config {
    /// The defaults, with the seed of every random choice.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            instance: instance::Instance(seed),
            retries: budget::Limits::default(),
            seed,
        }
    }

    /// Sets the run of the daemon, by which its peers know it.
    #[must_use]
    pub fn instance(mut self, instance: instance::Instance) -> Self {
        self.instance = instance;
        self
    }

    /// Sets what retries may add to the load of the service.
    #[must_use]
    pub fn retries(mut self, limits: budget::Limits) -> Self {
        self.retries = limits;
        self
    }

    /// A selector without servers.
    #[must_use]
    pub fn build(self) -> Selector {
        Selector {
            config: self,
            rng: SmallRng::seed_from_u64(self.seed),
            servers: Vec::new(),
            places: map::Map::default(),
            requests: map::Map::default(),
            flights: map::Map::default(),
            attempts: 0,
            budget: budget::Budget::new(self.retries),
            poison: poison::Detector::default(),
            usual: None,
            promise: Duration::from_secs(1),
            daemons: 1,
        }
    }
}
