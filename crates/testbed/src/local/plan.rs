//! Composition of a fleet in one process.

use std::time::Duration;

use monsooncart_cluster::config;
use monsooncart_config::{objective, route, rules, server as inventory, service};
use monsooncart_policy::slots;
use monsooncart_types::{id, span};

use super::DATA_CENTRES;
use crate::backend::{options, server};

/// Interval at which daemons poll the VM list; short so that they find each other soon.
const VM_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of the routes, from a request's arrival to the response head.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(10);

/// Policy of the daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The naive baseline.
    Naive,
    /// The fleet's balancer with a strategy for sharing slots.
    Balanced(slots::Strategy),
}

/// A service and its backend servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service; also the prefix of its paths.
    pub name: &'static str,
    /// Number of backend servers.
    pub servers: usize,
    /// Slots of each backend server.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot at a server; more are shed.
    pub queue: usize,
    /// Minimum share of the slots that ejections leave in use, such as `70%`.
    pub floor: &'static str,
    /// Detection setting.
    pub detection: rules::Detection,
    /// Time that a server takes for a request.
    pub service_time: Duration,
    /// Maximum deviation from the service time, as a fraction.
    pub noise: f64,
    /// Time after the start during which requests take ten times as long.
    pub cold_start: Duration,
    /// Seed of the noise.
    pub seed: u64,
}

impl Service {
    /// Creates a service whose requests take `service_time` on servers with `slots`.
    #[must_use]
    pub fn new(name: &'static str, servers: usize, slots: u32, service_time: Duration) -> Self {
        Self {
            name,
            servers,
            slots,
            queue: 4,
            floor: "70%",
            detection: rules::Detection::Fast,
            service_time,
            noise: 0.2,
            cold_start: Duration::ZERO,
            seed: 1,
        }
    }

    pub(super) fn server_name(&self, number: usize) -> String {
        format!("{}-{:02}", self.name, number + 1)
    }

    pub(super) fn options(&self, number: usize) -> options::Options {
        options::Options {
            name: self.server_name(number),
            service: self.name.to_owned(),
            slots: self.slots as usize,
            queue: self.queue,
            service_time: self.service_time,
            noise: self.noise,
            cold_start: self.cold_start,
            seed: self.seed.wrapping_add(number as u64),
            crash_exits: false,
        }
    }

    pub(super) fn server(
        &self,
        number: usize,
        backend: &server::Server,
    ) -> Result<inventory::Server, id::Error> {
        Ok(inventory::Server {
            name: self.server_name(number).parse()?,
            address: backend.address(),
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].parse()?,
            slots: self.slots,
            connections: 330,
            leaving: false,
            remaining_warm_up: span::Span::default(),
            started_millis: 0,
        })
    }

    pub(super) fn specification(&self) -> Result<service::Service, id::Error> {
        let name: id::Service = self.name.parse()?;
        let parse_share = |text: &str| text.parse().unwrap_or_default();
        let route = |method: &str, path: String, repeatable, ticket| route::Route {
            methods: vec![method.to_owned()],
            path: path.into(),
            repeatable,
            ticket,
            timeout: span::Span(ROUTE_TIMEOUT),
            body_limit: None,
        };
        let path_pattern = format!("/{name}/**");
        Ok(service::Service {
            floor: parse_share(self.floor),
            detection: self.detection,
            objective: objective::Objective {
                availability: parse_share("99.9%"),
                fast: parse_share("95%"),
                latency: span::Span(self.service_time * 4),
            },
            health_path: Some(server::HEALTH_PATH.to_owned()),
            routes: vec![
                route("GET", path_pattern.clone(), true, route::Ticket::None),
                route("POST", path_pattern, false, route::Ticket::Required),
            ],
            servers: Vec::new(),
            name,
        })
    }
}

/// Composition of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of entries that daemons return to a caller.
    pub entry_count: u32,
    /// Services and their backend servers.
    pub services: Vec<Service>,
    /// Policy of the daemons.
    pub policy: Policy,
    /// Timings of the cluster protocol.
    pub timings: config::Timings,
}

impl Plan {
    /// Creates a plan of daemons with the balancer that serve one service.
    #[must_use]
    pub fn new(daemons: usize, service: Service) -> Self {
        Self {
            daemons,
            entry_count: 3,
            services: vec![service],
            policy: Policy::Balanced(slots::Strategy::default()),
            timings: config::Timings {
                vm_list_interval: VM_LIST_INTERVAL,
                ..config::Timings::default()
            },
        }
    }
}
