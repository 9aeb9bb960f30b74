//! A selector with helpers that build events.

use std::time::Duration;

use monsooncart_policy::selector::{Config, Selector, budget};
use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{action, event, handle, health, inventory, outcome};
use monsooncart_types::time;

pub const MS: Duration = Duration::from_millis(1);

/// A daemon's policy with a clock that the test moves.
pub struct Bench {
    pub policy: Selector,
    pub now: time::Time,
    pub requests: u64,
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub attempt: handle::Attempt,
    pub server: handle::Server,
    pub fresh: bool,
}

pub fn server(handle: u32) -> inventory::Server {
    inventory::Server {
        handle: handle::Server(handle),
        name: format!("server-{handle}").parse().expect("a name"),
        slots: 2,
        local: true,
        leaving: false,
        remaining_warm_up: Duration::ZERO,
        started_millis: 1,
    }
}

pub fn inventory(servers: Vec<inventory::Server>) -> event::Event {
    event::Event::Inventory(inventory::Inventory {
        servers,
        floor_slots: 0,
        sensitivity: health::Sensitivity::Fast,
        daemons: 1,
        latency_objective: 1000 * MS,
    })
}

pub fn bench(servers: Vec<inventory::Server>) -> Bench {
    seeded(servers, 7)
}

pub fn seeded(servers: Vec<inventory::Server>, seed: u64) -> Bench {
    let limits = budget::Limits {
        share: 0.2,
        slack: 50.0,
        window: Duration::from_secs(10),
    };
    let mut bench = Bench {
        policy: Config::new(seed).retries(limits).build(),
        now: time::Time::from_millis(60_000),
        requests: 0,
    };
    bench.tell(inventory(servers));
    bench
}

impl Bench {
    pub fn tell(&mut self, event: event::Event) -> Vec<action::Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        actions
    }

    pub fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
    }

    pub fn arrival(&mut self, repeatable: bool) -> event::Arrival {
        self.requests += 1;
        event::Arrival {
            request: handle::Request(self.requests),
            organisation: handle::Organisation(0),
            weight: 1,
            repeatable,
            attempts: 2,
            priority: 1,
            objective: Some(800 * MS),
            expected_response_bytes: 1000,
            deadline: self.now + 4000 * MS,
            fingerprint: None,
        }
    }

    pub fn arrive(&mut self, repeatable: bool) -> Vec<action::Action> {
        let arrival = self.arrival(repeatable);
        self.tell(event::Event::Arrive(arrival))
    }

    pub fn finish(
        &mut self,
        attempt: handle::Attempt,
        end: outcome::Outcome,
    ) -> Vec<action::Action> {
        self.tell(event::Event::Finish {
            attempt,
            outcome: end,
            replayable: true,
            retry_after: None,
        })
    }

    /// One request through to an end after `span`, at whatever server it goes to.
    pub fn work(
        &mut self,
        repeatable: bool,
        span: Duration,
        end: outcome::Outcome,
    ) -> handle::Server {
        let sent = sends(&self.arrive(repeatable))[0];
        self.pass(span);
        self.finish(sent.attempt, end);
        sent.server
    }

    /// A peer's report of ends at one server.
    pub fn hear(&mut self, server: u32, good: u32, bad: u32) {
        let digest = event::Digest {
            good,
            bad,
            in_flight: 0,
            oldest_millis: 0,
            median_millis: 0,
            suspicion: 0,
        };
        self.tell(event::Event::Evidence {
            from: monsooncart_types::instance::Instance(99),
            digests: vec![(handle::Server(server), digest)],
        });
    }
}

pub fn sends(actions: &[action::Action]) -> Vec<Sent> {
    let sent = |action: &action::Action| match action {
        action::Action::Send {
            attempt,
            server,
            fresh_connection: fresh,
            ..
        } => Some(Sent {
            attempt: *attempt,
            server: *server,
            fresh: *fresh,
        }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

pub fn refusals(actions: &[action::Action]) -> Vec<outcome::Refusal> {
    let refusal = |action: &action::Action| match action {
        action::Action::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}
