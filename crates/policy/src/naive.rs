//! Baseline policy for the differential tests and experiments: round robin, ejection after a number
//! of consecutive failures, and retries without regard to whether a request is repeatable.

use monsooncart_types::{map, time};

use crate::{action, event, handle, inventory, outcome, service};

/// Consecutive failures after which a server is ejected.
const EJECTION_FAILURES: u32 = 5;

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

struct Server {
    spec: inventory::Server,
    consecutive_failures: u32,
    in_flight: u32,
    ejected: bool,
    ejection_requested: bool,
}

struct InFlight {
    request: handle::Request,
    server: handle::Server,
    /// Number of attempts of the request, including this one.
    attempts: u32,
}

/// Round-robin policy with consecutive-failure ejection.
#[derive(Default)]
pub struct Naive {
    servers: Vec<Server>,
    in_flight: map::Map<handle::Attempt, InFlight>,
    next_index: usize,
    attempts_sent: u64,
}

impl Naive {
    /// Creates a policy without servers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn send(&mut self, request: handle::Request, attempts: u32, actions: &mut Vec<action::Action>) {
        let count = self.servers.len();
        let candidates = (0..count).map(|i| (self.next_index + i) % count);
        let chosen = candidates
            .clone()
            .find(|&i| !self.servers[i].ejected && !self.servers[i].spec.leaving);
        let Some(chosen) = chosen else {
            let refusal = outcome::Refusal {
                reason: outcome::Reason::NoServer,
                execution: outcome::Execution::NotRun,
                retry_after: Some(std::time::Duration::from_secs(1)),
            };
            actions.push(action::Action::Refuse { request, refusal });
            return;
        };
        self.next_index = chosen + 1;
        self.attempts_sent += 1;
        let attempt = handle::Attempt(self.attempts_sent);
        let server = &mut self.servers[chosen];
        server.in_flight += 1;
        let in_flight = InFlight {
            request,
            server: server.spec.handle,
            attempts,
        };
        self.in_flight.insert(attempt, in_flight);
        actions.push(action::Action::Send {
            request,
            attempt,
            server: server.spec.handle,
            fresh_connection: false,
            grounds: action::Grounds::default(),
        });
    }

    fn server_mut(&mut self, handle: handle::Server) -> Option<&mut Server> {
        self.servers.iter_mut().find(|s| s.spec.handle == handle)
    }

    fn apply_inventory(&mut self, inventory: inventory::Inventory) {
        let mut old = std::mem::take(&mut self.servers);
        for spec in inventory.servers {
            let position = old.iter().position(|s| s.spec.handle == spec.handle);
            let mut server = position.map_or_else(
                || Server {
                    spec: spec.clone(),
                    consecutive_failures: 0,
                    in_flight: 0,
                    ejected: false,
                    ejection_requested: false,
                },
                |i| old.swap_remove(i),
            );
            server.spec = spec;
            self.servers.push(server);
        }
    }

    fn finish(
        &mut self,
        attempt: handle::Attempt,
        outcome: outcome::Outcome,
        replayable: bool,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(in_flight) = self.in_flight.remove(&attempt) else {
            return;
        };
        let failed = !matches!(outcome, outcome::Outcome::Answered(status) if status < 500);
        if let Some(server) = self.server_mut(in_flight.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.consecutive_failures = if failed {
                server.consecutive_failures + 1
            } else {
                0
            };
            if server.consecutive_failures >= EJECTION_FAILURES
                && !server.ejected
                && !server.ejection_requested
            {
                server.ejection_requested = true;
                actions.push(action::Action::Eject {
                    server: in_flight.server,
                    evidence: format!("{EJECTION_FAILURES} failures in a row"),
                });
            }
        }
        let is_final = matches!(
            outcome,
            outcome::Outcome::Answered(_) | outcome::Outcome::Cancelled
        );
        if is_final {
            return;
        }
        if replayable && in_flight.attempts < MAX_ATTEMPTS {
            self.send(in_flight.request, in_flight.attempts + 1, actions);
            return;
        }
        let refusal = outcome::Refusal {
            reason: outcome::Reason::Exhausted,
            execution: outcome.execution(),
            retry_after: Some(std::time::Duration::from_secs(1)),
        };
        actions.push(action::Action::Refuse {
            request: in_flight.request,
            refusal,
        });
    }
}

impl service::Policy for Naive {
    fn handle(&mut self, _now: time::Time, event: event::Event, actions: &mut Vec<action::Action>) {
        match event {
            event::Event::Inventory(inventory) => self.apply_inventory(inventory),
            event::Event::Arrive(arrival) => self.send(arrival.request, 1, actions),
            event::Event::Finish {
                attempt,
                outcome,
                replayable,
                ..
            } => self.finish(attempt, outcome, replayable, actions),
            event::Event::Ejection { server, ejection } => {
                if let Some(server) = self.server_mut(server) {
                    server.ejection_requested = false;
                    server.ejected = ejection == event::Ejection::Granted;
                    server.consecutive_failures = 0;
                }
            }
            event::Event::Leaving(server) => {
                if let Some(server) = self.server_mut(server) {
                    server.spec.leaving = true;
                }
            }
            _ => {}
        }
    }

    fn digest(&mut self, _now: time::Time) -> Vec<(handle::Server, event::Digest)> {
        Vec::new()
    }

    fn view(&self, _now: time::Time) -> Vec<service::View> {
        let state = |s: &Server| match (s.spec.leaving, s.ejected) {
            (true, _) => "leaving",
            (_, true) => "ejected",
            _ => "active",
        };
        let view = |s: &Server| service::View {
            server: s.spec.handle,
            state: state(s),
            in_flight: s.in_flight,
            suspicion: s.consecutive_failures * 1000 / EJECTION_FAILURES,
            median_millis: 0,
            evidence: format!("{} failures in a row", s.consecutive_failures),
        };
        self.servers.iter().map(view).collect()
    }
}
