//! The baseline of the differential tests and experiments: round robin, ejection after a number of
//! failures in a row, retry whatever fails.

use monsooncart_types::{map, time};

use crate::{action, event, handle, inventory, outcome, service};

/// Failures in a row that eject a server.
const FAILURES: u32 = 5;

/// Attempts of one request at most.
const ATTEMPTS: u32 = 3;

struct Server {
    spec: inventory::Server,
    failures: u32,
    in_flight: u32,
    ejected: bool,
    asked: bool,
}

struct Flight {
    request: handle::Request,
    server: handle::Server,
    tries: u32,
}

/// The naive policy.
#[derive(Default)]
pub struct Naive {
    servers: Vec<Server>,
    flights: map::Map<handle::Attempt, Flight>,
    next: usize,
    attempts: u64,
}

impl Naive {
    /// A policy without servers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn send(&mut self, request: handle::Request, tries: u32, actions: &mut Vec<action::Action>) {
        let count = self.servers.len();
        let turn = (0..count).map(|i| (self.next + i) % count);
        let chosen = turn
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
        self.next = chosen + 1;
        self.attempts += 1;
        let attempt = handle::Attempt(self.attempts);
        let server = &mut self.servers[chosen];
        server.in_flight += 1;
        let flight = Flight {
            request,
            server: server.spec.handle,
            tries,
        };
        self.flights.insert(attempt, flight);
        actions.push(action::Action::Send {
            request,
            attempt,
            server: server.spec.handle,
            fresh_connection: false,
            grounds: action::Grounds::default(),
        });
    }

    fn server(&mut self, handle: handle::Server) -> Option<&mut Server> {
        self.servers.iter_mut().find(|s| s.spec.handle == handle)
    }

    fn inventory(&mut self, inventory: inventory::Inventory) {
        let mut old = std::mem::take(&mut self.servers);
        for spec in inventory.servers {
            let known = old.iter().position(|s| s.spec.handle == spec.handle);
            let mut server = known.map_or_else(
                || Server {
                    spec: spec.clone(),
                    failures: 0,
                    in_flight: 0,
                    ejected: false,
                    asked: false,
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
        end: outcome::Outcome,
        replayable: bool,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(flight) = self.flights.remove(&attempt) else {
            return;
        };
        let failed = !matches!(end, outcome::Outcome::Answered(status) if status < 500);
        if let Some(server) = self.server(flight.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.failures = if failed { server.failures + 1 } else { 0 };
            if server.failures >= FAILURES && !server.ejected && !server.asked {
                server.asked = true;
                actions.push(action::Action::Eject {
                    server: flight.server,
                    evidence: format!("{FAILURES} failures in a row"),
                });
            }
        }
        let answered = matches!(
            end,
            outcome::Outcome::Answered(_) | outcome::Outcome::Cancelled
        );
        if answered {
            return;
        }
        if replayable && flight.tries < ATTEMPTS {
            self.send(flight.request, flight.tries + 1, actions);
            return;
        }
        let refusal = outcome::Refusal {
            reason: outcome::Reason::Exhausted,
            execution: end.execution(),
            retry_after: Some(std::time::Duration::from_secs(1)),
        };
        actions.push(action::Action::Refuse {
            request: flight.request,
            refusal,
        });
    }
}

impl service::Policy for Naive {
    fn handle(&mut self, _now: time::Time, event: event::Event, actions: &mut Vec<action::Action>) {
        match event {
            event::Event::Inventory(inventory) => self.inventory(inventory),
            event::Event::Arrive(arrival) => self.send(arrival.request, 1, actions),
            event::Event::Finish {
                attempt,
                outcome: end,
                replayable,
                ..
            } => self.finish(attempt, end, replayable, actions),
            event::Event::Ejection { server, ejection } => {
                if let Some(server) = self.server(server) {
                    server.asked = false;
                    server.ejected = ejection == event::Ejection::Granted;
                    server.failures = 0;
                }
            }
            event::Event::Leaving(server) => {
                if let Some(server) = self.server(server) {
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
            suspicion: s.failures * 1000 / FAILURES,
            median_millis: 0,
            evidence: format!("{} failures in a row", s.failures),
        };
        self.servers.iter().map(view).collect()
    }
}
