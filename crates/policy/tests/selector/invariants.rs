//! Invariants that hold for any sequence of events.

use std::time::Duration;

use monsooncart_policy::{action, event, handle, outcome};
use monsooncart_types::map;

use crate::fixture;

/// Expected state of a request.
#[derive(Default)]
struct Request {
    repeatable: bool,
    servers: Vec<handle::Server>,
    may_have_run: bool,
    results: u32,
}

/// Expected state of an attempt in flight.
struct InFlight {
    request: handle::Request,
    server: handle::Server,
    cancelled: bool,
}

#[derive(Default)]
struct Model {
    requests: map::Map<handle::Request, Request>,
    attempts: map::Map<handle::Attempt, InFlight>,
    /// Servers reported as removed since the last inventory.
    removed: map::Set<handle::Server>,
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
                        !known.servers.contains(server),
                        "sent to the same server twice"
                    );
                    assert!(!self.removed.contains(server), "sent to a removed server");
                    known.servers.push(*server);
                    assert!(
                        known.servers.len() <= 2,
                        "sent to more servers than allowed"
                    );
                    let in_flight = InFlight {
                        request: *request,
                        server: *server,
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
            let actions = match u.int_in_range(0..=5)? {
                0 | 1 => {
                    let arrival = harness.arrival(u.arbitrary()?);
                    let request = Request {
                        repeatable: arrival.repeatable,
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
                    harness.handle(fixture::inventory(servers))
                }
                _ if in_flight.is_empty() => Vec::new(),
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
                    if outcome == outcome::Outcome::Removed {
                        // The proxy sent nothing; the server is not chosen again before an
                        // inventory has it.
                        known.servers.retain(|s| *s != finished.server);
                        model.removed.insert(finished.server);
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
