//! A balancer with helpers that build and deliver events.

use std::time::Duration;

use monsooncart_policy::balancer::{Balancer, Config};
use monsooncart_policy::service::{Policy, View};
use monsooncart_policy::{action, event, handle, health, inventory, outcome};
use monsooncart_types::{instance, map, time};

pub const MS: Duration = Duration::from_millis(1);

/// A balancer with a clock that the test advances.
pub struct Harness {
    pub policy: Balancer,
    pub now: time::Time,
    /// Servers that each request was sent to; maintained by tests that need it.
    pub tried: map::Map<handle::Request, Vec<handle::Server>>,
    requests: u64,
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub request: handle::Request,
    pub attempt: handle::Attempt,
    pub server: handle::Server,
    pub fresh_connection: bool,
}

pub fn server(handle: u32, slots: u32) -> inventory::Server {
    inventory::Server {
        handle: handle::Server(handle),
        name: format!("server-{handle}").parse().expect("a name"),
        slots,
        local: true,
        leaving: false,
        remaining_warm_up: Duration::ZERO,
        started_millis: 0,
    }
}

pub fn inventory(servers: u32, slots: u32) -> inventory::Inventory {
    inventory::Inventory {
        servers: (0..servers).map(|s| server(s, slots)).collect(),
        floor_slots: 0,
        sensitivity: health::Sensitivity::Balanced,
        daemons: vec![instance::Instance(1)],
        relays: Vec::new(),
        unix_origin: Duration::ZERO,
        latency_objective: Duration::from_millis(200),
    }
}

pub fn harness(servers: u32, slots: u32) -> Harness {
    harness_with(Config::new(7), inventory(servers, slots))
}

pub fn harness_with(config: Config, inventory: inventory::Inventory) -> Harness {
    let mut harness = Harness {
        policy: config.build(),
        now: time::Time::from_millis(1_000),
        tried: map::Map::default(),
        requests: 0,
    };
    harness.handle(event::Event::Inventory(inventory));
    harness
}

pub fn sends(actions: &[action::Action]) -> Vec<Sent> {
    let sent = |a: &action::Action| match *a {
        action::Action::Send {
            request,
            attempt,
            server,
            fresh_connection,
            ..
        } => Some(Sent {
            request,
            attempt,
            server,
            fresh_connection,
        }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

pub fn refusals(actions: &[action::Action]) -> Vec<(handle::Request, outcome::Refusal)> {
    let refused = |a: &action::Action| match *a {
        action::Action::Refuse { request, refusal } => Some((request, refusal)),
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

pub fn ejections(actions: &[action::Action]) -> Vec<handle::Server> {
    let ejected = |a: &action::Action| match a {
        action::Action::Eject { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(ejected).collect()
}

impl Harness {
    pub fn handle(&mut self, event: event::Event) -> Vec<action::Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        actions
    }

    pub fn advance(&mut self, duration: Duration) {
        self.now = self.now + duration;
    }

    pub fn tick(&mut self) -> Vec<action::Action> {
        self.handle(event::Event::Tick)
    }

    pub fn arrival(&mut self) -> event::Arrival {
        self.requests += 1;
        event::Arrival {
            request: handle::Request(self.requests),
            organisation: handle::Organisation(1),
            weight: 1,
            repeatable: true,
            max_attempts: 4,
            route: handle::Route::default(),
            priority: 0,
            objective: None,
            expected_response_bytes: 0,
            deadline: self.now + Duration::from_secs(10),
            fingerprint: None,
            relayed: false,
        }
    }

    pub fn arrive(&mut self) -> Vec<action::Action> {
        let arrival = self.arrival();
        self.handle(event::Event::Arrive(arrival))
    }

    /// Delivers the arrival of an unrepeatable request.
    pub fn arrive_unrepeatable(&mut self) -> Vec<action::Action> {
        let mut arrival = self.arrival();
        arrival.repeatable = false;
        self.handle(event::Event::Arrive(arrival))
    }

    pub fn deliver_head(&mut self, attempt: handle::Attempt, status: u16) -> Vec<action::Action> {
        self.handle(event::Event::ResponseHead { attempt, status })
    }

    pub fn finish(
        &mut self,
        attempt: handle::Attempt,
        outcome: outcome::Outcome,
    ) -> Vec<action::Action> {
        self.handle(event::Event::Finish {
            attempt,
            outcome,
            replayable: true,
            retry_after: None,
        })
    }

    pub fn answer(&mut self, attempt: handle::Attempt) -> Vec<action::Action> {
        self.finish(attempt, outcome::Outcome::Answered(200))
    }

    /// Answers `count` requests, each after `head_time`, to establish the baseline of the service.
    pub fn establish_baseline(&mut self, count: u32, head_time: Duration) {
        for _ in 0..count {
            let sent = sends(&self.arrive())[0];
            self.advance(head_time);
            self.answer(sent.attempt);
        }
    }

    pub fn deliver_ejection(&mut self, server: handle::Server, ejection: event::Ejection) {
        self.handle(event::Event::Ejection { server, ejection });
    }

    pub fn deliver_evidence(&mut self, peer: u64, digests: Vec<(handle::Server, event::Digest)>) {
        self.handle(event::Event::Evidence {
            from: instance::Instance(peer),
            digests,
        });
    }

    /// Number of attempts in flight at all servers.
    pub fn total_in_flight(&self) -> u32 {
        let views = self.policy.view(self.now);
        views.iter().map(|v| v.in_flight).sum()
    }

    pub fn view(&self, server: handle::Server) -> View {
        let views = self.policy.view(self.now);
        let found = views.into_iter().find(|v| v.server == server);
        found.expect("a server of the inventory")
    }
}
