//! What a fleet inside one process is to be.

use std::time::Duration;

use monsooncart_cluster::config;
use monsooncart_config::{objective, route, rules, server as inventory, service};
use monsooncart_policy::slots;
use monsooncart_types::{id, span};

use super::DATA_CENTRES;
use crate::backend::{options, server};

/// Time between readings of the VM list, so that a fleet is together soon.
const VMS: Duration = Duration::from_millis(500);

/// Longest time from a request's arrival to the head of its answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Whose decisions the daemons run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The naive baseline.
    Naive,
    /// The fleet's own.
    Balanced(slots::Strategy),
}

/// A service and its backend servers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// Its backend servers.
    pub servers: usize,
    /// Slots of each.
    pub slots: u32,
    /// Requests that wait for a slot at a server; more are shed.
    pub queue: usize,
    /// Share of the slots that ejections leave in service.
    pub floor: &'static str,
    /// Its detection rule.
    pub detection: rules::Detection,
    /// Time that one request takes.
    pub service_time: Duration,
    /// Largest deviation from it, as a share.
    pub noise: f64,
    /// Time after the start during which work takes longer.
    pub cold_start: Duration,
    /// Seed of the noise.
    pub seed: u64,
}

impl Service {
    /// A service whose requests take `service_time` on servers with `slots`.
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
            cold: span::Span::default(),
            started_millis: 0,
        })
    }

    pub(super) fn specification(&self) -> Result<service::Service, id::Error> {
        let name: id::Service = self.name.parse()?;
        let share = |text: &str| text.parse().unwrap_or_default();
        let route = |method: &str, path: String, repeatable, ticket| route::Route {
            methods: vec![method.to_owned()],
            path: path.into(),
            repeatable,
            ticket,
            timeout: span::Span(TIMEOUT),
            body_limit: None,
        };
        let any = format!("/{name}/**");
        Ok(service::Service {
            floor: share(self.floor),
            detection: self.detection,
            objective: objective::Objective {
                availability: share("99.9%"),
                fast: share("95%"),
                latency: span::Span(self.service_time * 4),
            },
            health_path: Some(server::HEALTH.to_owned()),
            routes: vec![
                route("GET", any.clone(), true, route::Ticket::None),
                route("POST", any, false, route::Ticket::Required),
            ],
            servers: Vec::new(),
            name,
        })
    }
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Daemons.
    pub daemons: usize,
    /// Daemons named in an entry answer.
    pub entry_count: u32,
    /// Services.
    pub services: Vec<Service>,
    /// Whose decisions the daemons run.
    pub policy: Policy,
    /// Timings of the part between daemons.
    pub timings: config::Timings,
}

impl Plan {
    /// Daemons with the fleet's own decisions before one service.
    #[must_use]
    pub fn new(daemons: usize, service: Service) -> Self {
        Self {
            daemons,
            entry_count: 3,
            services: vec![service],
            policy: Policy::Balanced(slots::Strategy::default()),
            timings: config::Timings {
                vms: VMS,
                ..config::Timings::default()
            },
        }
    }
}
