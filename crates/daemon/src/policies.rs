//! The policy of each service.

use monsooncart_policy::{balancer, naive, selector, service, slots};
use monsooncart_proxy::interface;
use monsooncart_types::{id, instance};

/// Makes the policy that the fleet runs.
#[derive(Clone, Copy, Debug)]
pub struct Balanced {
    /// The run of the daemon.
    pub instance: instance::Instance,
    /// How servers are chosen.
    pub strategy: slots::Strategy,
}

impl interface::Policies for Balanced {
    fn policy(&self, _service: &id::Service) -> Box<dyn service::Policy> {
        let config = balancer::Config::new(rand::random())
            .instance(self.instance)
            .strategy(self.strategy);
        Box::new(config.build())
    }
}

/// Makes the policy for servers that turn gray for seconds at a time.
#[derive(Clone, Copy, Debug)]
pub struct Selecting {
    /// The run of the daemon.
    pub instance: instance::Instance,
    /// What retries may add to the load of a service, over all daemons.
    pub retries: selector::budget::Limits,
}

impl interface::Policies for Selecting {
    fn policy(&self, _service: &id::Service) -> Box<dyn service::Policy> {
        let config = selector::Config::new(rand::random())
            .instance(self.instance)
            .retries(self.retries);
        Box::new(config.build())
    }
}

/// Makes the naive baseline, for experiments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Naive;

impl interface::Policies for Naive {
    fn policy(&self, _service: &id::Service) -> Box<dyn service::Policy> {
        Box::new(naive::Naive::new())
    }
}
