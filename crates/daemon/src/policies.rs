//! Factories for the policy of each service.

use monsooncart_policy::{balancer, naive, selector, service, slots};
use monsooncart_proxy::interface;
use monsooncart_types::{id, instance};

/// Creates the default policy.
#[derive(Clone, Copy, Debug)]
pub struct Balancer {
    /// Instance id of the daemon.
    pub instance: instance::Instance,
    /// Strategy for choosing servers.
    pub strategy: slots::Strategy,
}

impl interface::Policies for Balancer {
    fn create_policy(&self, _service: &id::Service) -> Box<dyn service::Policy> {
        let config = balancer::Config::new(rand::random())
            .instance(self.instance)
            .strategy(self.strategy);
        Box::new(config.build())
    }
}

/// Creates the policy of gateway deployments, in which many servers at once have gray failures of a
/// few seconds and none is ejected.
#[derive(Clone, Copy, Debug)]
pub struct Selector {
    /// Instance id of the daemon.
    pub instance: instance::Instance,
    /// Retry budget of a service across all daemons.
    pub retries: selector::budget::Limits,
    /// Whether healthy servers are kept in use while many requests fail.
    pub covers_servers: bool,
    /// Whether requests wait for room.
    pub waits: bool,
}

impl interface::Policies for Selector {
    fn create_policy(&self, _service: &id::Service) -> Box<dyn service::Policy> {
        let config = selector::Config::new(rand::random())
            .instance(self.instance)
            .retries(self.retries)
            .covers_servers(self.covers_servers)
            .waits(self.waits);
        Box::new(config.build())
    }
}

/// Creates the naive baseline policy used in experiments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Naive;

impl interface::Policies for Naive {
    fn create_policy(&self, _service: &id::Service) -> Box<dyn service::Policy> {
        Box::new(naive::Naive::new())
    }
}
