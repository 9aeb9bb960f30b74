//! Invariants that hold for any sequence of events.

use std::time::Duration;

use monsooncart_policy::{action, event, handle, outcome};
use monsooncart_types::{instance, map};

use crate::fixture;

/// Expected state of a request.
#[derive(Default)]
struct Request {
    repeatable: bool,
    /// Servers that an attempt may have reached.
    servers: Vec<handle::Server>,
    /// Servers to which no connection could be opened.
    unreachable: Vec<handle::Server>,
    relays: Vec<instance::Instance>,
    /// Number of servers that relays may have sent it to.
    relayed_attempts: usize,
    may_have_run: bool,
    /// Whether another daemon relays it.
    relayed: bool,
    results: u32,
}

/// Expected state of an attempt in flight.
struct InFlight {
    request: handle::Request,
    target: Target,
    cancelled: bool,
}

/// Where an attempt was sent.
#[derive(Clone, Copy, PartialEq)]
enum Target {
    Server(handle::Server),
    /// A relay that may send it to this many servers.
    Relay(usize),
}

/// Number of servers that a request may be sent to.
const MAX_ATTEMPTS: usize = 2;

/// Number of servers at which opening a connection is tried for one request.
const MAX_UNREACHABLE: usize = 4;

#[derive(Default)]
struct Model {
    requests: map::Map<handle::Request, Request>,
    attempts: map::Map<handle::Attempt, InFlight>,
    /// Servers reported as removed since the last inventory.
    removed: map::Set<handle::Server>,
}

impl Request {
    fn assert_within_limits(&self) {
        assert!(
            self.servers.len() + self.relayed_attempts <= MAX_ATTEMPTS,
            "sent to more servers than allowed"
        );
        assert!(
            self.unreachable.len() <= MAX_UNREACHABLE,
            "connections opened to too many servers"
        );
    }
}

impl Model {
    fn apply(&mut self, actions: &[action::Action]) {
        for action in actions {
            match action {
                action::Action::Send {
                    request,
                    attempt,
                    server,
                    ..
                } => {
                    let known = self.requests.get_mut(request).expect("request is known");
                    assert_eq!(known.results, 0, "sent after its result");
                    assert!(
                        known.repeatable || !known.may_have_run,
                        "may be executed twice"
                    );
                    let in_flight = self.attempts.values().any(|f| f.request == *request);
                    assert!(
                        known.repeatable || !in_flight,
                        "two concurrent attempts of an unrepeatable request"
                    );
                    assert!(
                        !known.servers.contains(server) && !known.unreachable.contains(server),
                        "sent to the same server twice"
                    );
                    assert!(!self.removed.contains(server), "sent to a removed server");
                    known.servers.push(*server);
                    known.assert_within_limits();
                    let in_flight = InFlight {
                        request: *request,
                        target: Target::Server(*server),
                        cancelled: false,
                    };
                    self.attempts.insert(*attempt, in_flight);
                }
                action::Action::Relay {
                    request,
                    attempt,
                    peer,
                    max_attempts,
                } => {
                    let known = self.requests.get_mut(request).expect("request is known");
                    assert_eq!(known.results, 0, "relayed after its result");
                    assert!(
                        known.repeatable || !known.may_have_run,
                        "may be executed twice"
                    );
                    let in_flight = self.attempts.values().any(|f| f.request == *request);
                    assert!(
                        known.repeatable || !in_flight,
                        "two concurrent attempts of an unrepeatable request"
                    );
                    assert!(!known.relays.contains(peer), "relayed twice by one daemon");
                    assert!(!known.relayed, "relayed by two daemons in a row");
                    assert!(*max_attempts > 0, "relayed without an attempt left");
                    known.relays.push(*peer);
                    known.relayed_attempts += *max_attempts as usize;
                    known.assert_within_limits();
                    let in_flight = InFlight {
                        request: *request,
                        target: Target::Relay(*max_attempts as usize),
                        cancelled: false,
                    };
                    self.attempts.insert(*attempt, in_flight);
                }
                action::Action::Refuse { request, refusal } => {
                    let known = self.requests.get_mut(request).expect("request is known");
                    known.results += 1;
                    assert_eq!(known.results, 1, "more than one result");
                    if refusal.execution == outcome::Execution::NotRun {
                        assert!(
                            !known.may_have_run,
                            "reported as not run although it may have run"
                        );
                        let in_flight = self.attempts.values();
                        let in_flight = in_flight.filter(|f| f.request == *request && !f.cancelled);
                        assert_eq!(
                            in_flight.count(),
                            0,
                            "reported as not run while an attempt is in flight"
                        );
                    }
                }
                action::Action::Cancel(attempt) => {
                    if let Some(in_flight) = self.attempts.get_mut(attempt) {
                        in_flight.cancelled = true;
                    }
                }
                _ => {}
            }
        }
    }
}

#[test]
fn any_sequence_of_events_keeps_the_invariants() {
    arbtest::arbtest(|u| {
        let mut harness =
            fixture::harness_with_seed((0..5).map(fixture::server).collect(), u.arbitrary()?);
        let mut model = Model::default();
        for _ in 0..u.int_in_range(0..=120)? {
            harness.advance(Duration::from_millis(u.int_in_range(0..=300)?));
            let in_flight: Vec<handle::Attempt> = {
                let mut in_flight: Vec<_> = model.attempts.keys().copied().collect();
                in_flight.sort_unstable_by_key(|a| a.0);
                in_flight
            };
            let actions = match u.int_in_range(0..=7)? {
                0 | 1 => {
                    let mut arrival = harness.arrival(u.arbitrary()?);
                    arrival.relayed = u.ratio(1, 4)?;
                    let request = Request {
                        repeatable: arrival.repeatable,
                        relayed: arrival.relayed,
                        ..Request::default()
                    };
                    model.requests.insert(arrival.request, request);
                    harness.handle(event::Event::Arrive(arrival))
                }
                2 => harness.handle(event::Event::Tick),
                3 => {
                    let mut servers: Vec<_> = (0..5).map(fixture::server).collect();
                    servers.retain(|_| u.ratio(3, 4).unwrap_or(true));
                    model.removed.clear();
                    harness.handle(fixture::inventory_with_relays(servers))
                }
                4 => harness.handle(event::Event::PathProbe {
                    server: handle::Server(u.int_in_range(0..=4)?),
                    sent_at: harness.now,
                    responded: u.arbitrary()?,
                }),
                _ if in_flight.is_empty() => Vec::new(),
                5 => {
                    let attempt = *u.choose(&in_flight)?;
                    let connected_at = harness.now;
                    harness.handle(event::Event::Responded {
                        attempt,
                        connected_at,
                    })
                }
                _ => {
                    let attempt = *u.choose(&in_flight)?;
                    let outcome = *u.choose(&[
                        outcome::Outcome::Answered(200),
                        outcome::Outcome::Failed(500),
                        outcome::Outcome::Broken,
                        outcome::Outcome::Unsent,
                        outcome::Outcome::Removed,
                        outcome::Outcome::Misdirected,
                        outcome::Outcome::Shed { leaving: false },
                        outcome::Outcome::Timeout,
                    ])?;
                    let finished = model
                        .attempts
                        .remove(&attempt)
                        .expect("attempt is in flight");
                    let known = model
                        .requests
                        .get_mut(&finished.request)
                        .expect("request is known");
                    match (finished.target, outcome) {
                        // The proxy sent nothing; the server is not chosen again before an
                        // inventory has it.
                        (Target::Server(server), outcome::Outcome::Removed) => {
                            known.servers.retain(|s| *s != server);
                            model.removed.insert(server);
                        }
                        (Target::Server(server), outcome::Outcome::Unsent) => {
                            known.servers.retain(|s| *s != server);
                            known.unreachable.push(server);
                        }
                        (Target::Relay(count), outcome)
                            if outcome.execution() == outcome::Execution::NotRun =>
                        {
                            known.relayed_attempts -= count;
                        }
                        _ => {}
                    }
                    known.may_have_run |= outcome.execution() == outcome::Execution::Unknown;
                    if matches!(outcome, outcome::Outcome::Answered(_)) && !finished.cancelled {
                        known.results += 1;
                    }
                    harness.finish(attempt, outcome)
                }
            };
            model.apply(&actions);
        }
        // Finish the attempts that are still in flight: every request must then have one result.
        let mut in_flight: Vec<_> = model.attempts.keys().copied().collect();
        in_flight.sort_unstable_by_key(|a| a.0);
        for attempt in in_flight {
            let finished = model
                .attempts
                .remove(&attempt)
                .expect("attempt is in flight");
            let known = model
                .requests
                .get_mut(&finished.request)
                .expect("request is known");
            if !finished.cancelled && known.results == 0 {
                known.results += 1;
            }
            let actions = harness.finish(attempt, outcome::Outcome::Answered(200));
            model.apply(&actions);
        }
        assert!(model.requests.values().all(|known| known.results == 1));
        Ok(())
    });
}
