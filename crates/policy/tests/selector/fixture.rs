//! A selector with helpers that create events.

use std::time::Duration;

use monsooncart_policy::selector::{Config, Selector, budget};
use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{action, event, handle, health, inventory, outcome};
use monsooncart_types::{instance, time};

/// The only daemon.
const INSTANCE: instance::Instance = instance::Instance(1);

/// Daemons that can relay requests.
pub const RELAYS: [instance::Instance; 2] = [instance::Instance(2), instance::Instance(3)];

pub const MS: Duration = Duration::from_millis(1);

/// Retry budget.
const LIMITS: budget::Limits = budget::Limits {
    share: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
    min_daemons: 1,
};

/// A selector with a clock that the test advances.
pub struct Harness {
    pub policy: Selector,
    pub now: time::Time,
    pub requests: u64,
}

/// Fields of a `Send` action.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub attempt: handle::Attempt,
    pub server: handle::Server,
    pub fresh_connection: bool,
    pub grounds: action::Grounds,
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

fn relay(peer: instance::Instance) -> inventory::Relay {
    inventory::Relay {
        peer,
        local: true,
        capacity: 200,
    }
}

pub fn inventory(servers: Vec<inventory::Server>) -> event::Event {
    event::Event::Inventory(inventory::Inventory {
        servers,
        floor_slots: 0,
        sensitivity: health::Sensitivity::Fast,
        daemons: vec![INSTANCE],
        relays: Vec::new(),
        unix_origin: Duration::ZERO,
        latency_objective: 1000 * MS,
    })
}

/// An inventory with [`RELAYS`].
pub fn inventory_with_relays(servers: Vec<inventory::Server>) -> event::Event {
    let mut event = inventory(servers);
    if let event::Event::Inventory(inventory) = &mut event {
        inventory.relays = RELAYS.map(relay).to_vec();
    }
    event
}

pub fn harness(servers: Vec<inventory::Server>) -> Harness {
    harness_with_seed(servers, 7)
}

/// A harness whose requests wait for room.
pub fn waiting_harness(servers: Vec<inventory::Server>) -> Harness {
    let mut harness = harness(Vec::new());
    harness.policy = Config::new(7)
        .instance(INSTANCE)
        .retries(LIMITS)
        .waits(true)
        .build();
    harness.handle(inventory(servers));
    harness
}

pub fn harness_with_seed(servers: Vec<inventory::Server>, seed: u64) -> Harness {
    let mut harness = Harness {
        policy: Config::new(seed)
            .instance(INSTANCE)
            .retries(LIMITS)
            .covers_servers(true)
            .build(),
        now: time::Time::from_millis(60_000),
        requests: 0,
    };
    harness.handle(inventory(servers));
    harness
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

    pub fn arrival(&mut self, repeatable: bool) -> event::Arrival {
        self.requests += 1;
        event::Arrival {
            request: handle::Request(self.requests),
            organisation: handle::Organisation(0),
            weight: 1,
            repeatable,
            max_attempts: 2,
            route: handle::Route::default(),
            priority: 1,
            objective: Some(800 * MS),
            expected_response_bytes: 1000,
            deadline: self.now + 4000 * MS,
            fingerprint: None,
            relayed: false,
        }
    }

    pub fn arrive(&mut self, repeatable: bool) -> Vec<action::Action> {
        let arrival = self.arrival(repeatable);
        self.handle(event::Event::Arrive(arrival))
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

    /// Runs one request whose attempt finishes with `outcome` after `duration`, and returns its
    /// server.
    pub fn complete_request(
        &mut self,
        repeatable: bool,
        duration: Duration,
        outcome: outcome::Outcome,
    ) -> handle::Server {
        let sent = sent_attempts(&self.arrive(repeatable))[0];
        self.advance(duration);
        self.finish(sent.attempt, outcome);
        sent.server
    }

    /// Reports results at one server, as evidence of a peer.
    pub fn report_evidence(&mut self, server: u32, good: u32, bad: u32) {
        self.report_evidence_of(instance::Instance(99), server, good, bad);
    }

    /// Reports results at one server, as evidence of this peer.
    pub fn report_evidence_of(
        &mut self,
        from: instance::Instance,
        server: u32,
        good: u32,
        bad: u32,
    ) {
        let digest = event::Digest {
            good,
            bad,
            in_flight: 0,
            oldest_millis: 0,
            median_millis: 0,
            suspicion: 0,
        };
        self.handle(event::Event::Evidence {
            from,
            digests: vec![(handle::Server(server), digest)],
        });
    }
}

pub fn sent_attempts(actions: &[action::Action]) -> Vec<Sent> {
    let sent = |action: &action::Action| match action {
        action::Action::Send {
            attempt,
            server,
            fresh_connection,
            grounds,
            ..
        } => Some(Sent {
            grounds: *grounds,
            attempt: *attempt,
            server: *server,
            fresh_connection: *fresh_connection,
        }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// Attempts that relays are asked for, with the relay and the number of servers allowed to it.
pub fn relayed_attempts(
    actions: &[action::Action],
) -> Vec<(handle::Attempt, instance::Instance, u32)> {
    let relayed = |action: &action::Action| match action {
        action::Action::Relay {
            attempt,
            peer,
            max_attempts,
            ..
        } => Some((*attempt, *peer, *max_attempts)),
        _ => None,
    };
    actions.iter().filter_map(relayed).collect()
}

pub fn refusals(actions: &[action::Action]) -> Vec<outcome::Refusal> {
    let refusal = |action: &action::Action| match action {
        action::Action::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}
