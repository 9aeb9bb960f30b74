//! Configuration of a balancer.

use monsooncart_types::{instance, map, time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::{balancer, health, poison, queue, retry, slots};

/// Default maximum ratio of retries and hedges to requests.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// Builds a [`balancer::Balancer`].
#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub(super) strategy: slots::Strategy,
    pub(super) instance: instance::Instance,
    pub(super) retry_ratio: f64,
    seed: u64,
}

impl Config {
    /// The default configuration; `seed` determines every random choice.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            strategy: slots::Strategy::default(),
            instance: instance::Instance(seed),
            retry_ratio: DEFAULT_RETRY_RATIO,
            seed,
        }
    }

    /// Sets how daemons share the slots of servers.
    #[must_use]
    pub fn strategy(mut self, strategy: slots::Strategy) -> Self {
        self.strategy = strategy;
        self
    }

    /// Sets the instance that identifies this daemon to its peers.
    #[must_use]
    pub fn instance(mut self, instance: instance::Instance) -> Self {
        self.instance = instance;
        self
    }

    /// Sets the maximum ratio of retries and hedges to requests.
    #[must_use]
    pub fn retry_ratio(mut self, ratio: f64) -> Self {
        self.retry_ratio = ratio;
        self
    }

    /// Builds a balancer that has no servers yet.
    #[must_use]
    pub fn build(self) -> balancer::Balancer {
        balancer::Balancer {
            config: self,
            rng: SmallRng::seed_from_u64(self.seed),
            backends: Vec::new(),
            indices: map::Map::default(),
            requests: map::Map::default(),
            in_flight: map::Map::default(),
            attempts_sent: 0,
            queue: queue::Queue::default(),
            budget: retry::Budget::new(self.retry_ratio),
            poison: poison::Detector::default(),
            peers: health::peers::Peers::default(),
            baseline: health::baseline::Baseline::default(),
            tally: health::tally::Tally::default(),
            limits: health::Sensitivity::default().into(),
            latency_objective: std::time::Duration::from_secs(1),
            daemons: 1,
            last_dequeue_at: time::Time::ZERO,
            mean_slot_time: None,
            mean_head_time: None,
            needs_maintenance: false,
            median_bad_ratio: 0.0,
            last_comparison_at: time::Time::ZERO,
            last_rotation_at: time::Time::ZERO,
            last_decay_at: time::Time::ZERO,
            configured: false,
        }
    }
}
