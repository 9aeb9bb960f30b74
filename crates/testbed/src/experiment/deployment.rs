//! Scaled-down deployments of the two organisations.

use std::time::Duration;

use monsooncart_config::rules;

use crate::caller::options;
use crate::local::{self, plan};

/// Number of daemons of a scaled-down deployment; each organisation runs 32 to 36.
pub const DAEMONS: usize = 4;

/// Maximum number of requests in flight of one service's callers.
const MAX_IN_FLIGHT: usize = 256;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);

/// A deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// Aigaion Newswire Group.
    Aigaion,
    /// Thistlegate Payments, School Meals Division.
    Thistlegate,
}

impl Deployment {
    /// Detection setting of its services.
    pub fn detection(self) -> rules::Detection {
        match self {
            Self::Aigaion => rules::Detection::Fast,
            Self::Thistlegate => rules::Detection::Careful,
        }
    }

    /// Its services, with the number of servers and slots that the organisation runs.
    pub fn services(self, seed: u64) -> Vec<plan::Service> {
        let service = |name, servers, slots, service_millis| plan::Service {
            detection: self.detection(),
            seed,
            ..plan::Service::new(name, servers, slots, Duration::from_millis(service_millis))
        };
        match self {
            Self::Aigaion => vec![
                service("wiredesk", 22, 2, 40),
                service("mediavault", 6, 2, 100),
            ],
            Self::Thistlegate => vec![
                service("purse-api", 25, 6, 40),
                service("statement-export", 6, 6, 100),
            ],
        }
    }

    /// Plan of a fleet that runs its services.
    pub fn plan(self, seed: u64, policy: plan::Policy) -> plan::Plan {
        let services = self.services(seed);
        plan::Plan {
            services: services.clone(),
            policy,
            ..plan::Plan::new(DAEMONS, services[0].clone())
        }
    }
}

/// Name of a policy in a report.
pub fn policy_name(policy: plan::Policy) -> String {
    match policy {
        plan::Policy::Naive => "naive".to_owned(),
        plan::Policy::Balanced(strategy) => strategy.to_string(),
    }
}

/// Options of callers that send repeatable requests to one service at `rate` per second.
pub fn caller_options(
    fleet: &local::Fleet,
    service: &str,
    rate: f64,
    duration: Duration,
    seed: u64,
) -> options::Options {
    options::Options {
        daemons: fleet.caller_addresses(),
        service: service.to_owned(),
        key: local::KEY.to_owned(),
        get: format!("/{service}/items/"),
        workers: MAX_IN_FLIGHT,
        rate: Some(rate),
        duration,
        retries: 2,
        timeout: REQUEST_TIMEOUT,
        seed: seed.wrapping_mul(1_000_003),
        ..options::Options::default()
    }
}
