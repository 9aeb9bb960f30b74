//! The invariants under random events: each request has exactly one result and gets no attempt
//! after it, an unrepeatable request has at most one attempt that may have been executed, and no
//! server gets more attempts than it has slots.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use monsooncart_policy::balancer::Config;
use monsooncart_policy::slots::Strategy;
use monsooncart_policy::{action, event, handle, outcome};
use monsooncart_types::{instance, map, time};

use crate::fixture::{self, Harness};

const SERVERS: u32 = 4;
const SLOTS: u32 = 2;
const STEPS: u32 = 300;
/// Number of runs of each property.
const RUNS: u64 = 400;
/// Size of the random input of a run, in bytes.
const INPUT_BYTES: u64 = 4096;

struct Request {
    arrival: event::Arrival,
    /// Whether the request has no result yet.
    open: bool,
    /// Number of finished attempts that may have been executed.
    possible_executions: u32,
}

#[derive(Clone, Copy)]
struct InFlight {
    request: handle::Request,
    server: handle::Server,
    cancelled: bool,
}

/// The state expected by an outside observer.
struct Model {
    harness: Harness,
    requests: BTreeMap<handle::Request, Request>,
    in_flight: BTreeMap<handle::Attempt, InFlight>,
    leaving: map::Set<handle::Server>,
}

impl Model {
    fn new(seed: u64, strategy: Strategy) -> Self {
        let mut inventory = fixture::inventory(SERVERS, SLOTS);
        inventory.daemons = [1, 2].map(instance::Instance).to_vec();
        Self {
            harness: fixture::harness_with(Config::new(seed).strategy(strategy), inventory),
            requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            leaving: map::Set::default(),
        }
    }

    fn deliver(&mut self, event: event::Event) {
        for action in self.harness.handle(event) {
            self.check_action(&action);
        }
    }

    fn check_action(&mut self, action: &action::Action) {
        match *action {
            action::Action::Send {
                request,
                attempt,
                server,
                fresh_connection,
                ..
            } => self.check_send(request, attempt, server, fresh_connection),
            action::Action::Refuse { request, refusal } => self.check_refusal(request, refusal),
            action::Action::Cancel(attempt) => {
                if let Some(in_flight) = self.in_flight.get_mut(&attempt) {
                    in_flight.cancelled = true;
                }
            }
            _ => {}
        }
    }

    fn check_send(
        &mut self,
        request: handle::Request,
        attempt: handle::Attempt,
        server: handle::Server,
        fresh_connection: bool,
    ) {
        let state = &self.requests[&request];
        assert!(state.open, "attempt after the result of request {request}");
        assert!(
            !self.leaving.contains(&server),
            "attempt at a leaving server"
        );
        let at_server = self.in_flight.values().filter(|f| f.server == server);
        assert!(
            at_server.count() < SLOTS as usize,
            "more attempts than slots"
        );
        if !state.arrival.repeatable {
            assert!(
                fresh_connection,
                "unrepeatable request on a reused connection"
            );
            assert_eq!(
                state.possible_executions, 0,
                "unrepeatable request {request} sent again"
            );
            let open = |f: &&InFlight| f.request == request;
            assert!(
                !self.in_flight.values().any(|f| open(&f)),
                "unrepeatable request with two attempts in flight"
            );
            self.check_server_health(request, server);
        }
        let in_flight = InFlight {
            request,
            server,
            cancelled: false,
        };
        let known = self.in_flight.insert(attempt, in_flight);
        assert!(known.is_none(), "attempt {attempt} sent twice");
    }

    /// Asserts that an unrepeatable request goes to no suspect or ejected server while an untried
    /// server is in service.
    fn check_server_health(&self, request: handle::Request, server: handle::Server) {
        let unhealthy = |state: &str| matches!(state, "suspect" | "ejected");
        if !unhealthy(self.harness.view(server).state) {
            return;
        }
        let tried = &self.harness.tried[&request];
        for other in (0..SERVERS).map(handle::Server) {
            let state = self.harness.view(other).state;
            let usable = matches!(state, "active" | "returning") && !tried.contains(&other);
            assert!(!usable, "unrepeatable request at an unhealthy server");
        }
    }

    fn check_refusal(&mut self, request: handle::Request, refusal: outcome::Refusal) {
        let has_attempt = self.in_flight.values().any(|f| f.request == request);
        let state = self
            .requests
            .get_mut(&request)
            .expect("a request that arrived");
        assert!(state.open, "second result of request {request}");
        state.open = false;
        let may_have_run = state.possible_executions > 0 || has_attempt;
        let reported_unknown = refusal.execution == outcome::Execution::Unknown;
        assert!(
            reported_unknown || !may_have_run,
            "request {request} may have run"
        );
    }

    fn arrive(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut arrival = self.harness.arrival();
        arrival.organisation = handle::Organisation(u.int_in_range(0..=2)?);
        arrival.weight = u.int_in_range(0..=5)?;
        arrival.repeatable = u.arbitrary()?;
        arrival.deadline = self.harness.now + Duration::from_millis(u.int_in_range(0..=3000)?);
        let fingerprint: Option<u8> = u.arbitrary()?;
        arrival.fingerprint = fingerprint.map(|f| handle::Fingerprint(u64::from(f % 3)));
        let request = Request {
            arrival,
            open: true,
            possible_executions: 0,
        };
        self.requests.insert(arrival.request, request);
        self.harness.tried.insert(arrival.request, Vec::new());
        self.deliver(event::Event::Arrive(arrival));
        Ok(())
    }

    fn choose_attempt(&self, u: &mut Unstructured<'_>) -> Result<Option<handle::Attempt>> {
        let attempts: Vec<_> = self.in_flight.keys().copied().collect();
        if attempts.is_empty() {
            return Ok(None);
        }
        u.choose(&attempts).map(|a| Some(*a))
    }

    fn finish(&mut self, attempt: handle::Attempt, outcome: outcome::Outcome, replayable: bool) {
        let in_flight = self.in_flight.remove(&attempt).expect("in flight");
        self.harness
            .tried
            .entry(in_flight.request)
            .or_default()
            .push(in_flight.server);
        let request = self
            .requests
            .get_mut(&in_flight.request)
            .expect("a request that arrived");
        request.possible_executions +=
            u32::from(outcome.execution() == outcome::Execution::Unknown);
        let completes_request = matches!(
            outcome,
            outcome::Outcome::Answered(_) | outcome::Outcome::Cancelled
        );
        if completes_request && !in_flight.cancelled {
            assert!(
                request.open,
                "second result of request {}",
                in_flight.request
            );
            request.open = false;
        }
        let unrepeatable = !request.arrival.repeatable;
        assert!(
            !unrepeatable || request.possible_executions <= 1,
            "unrepeatable request may have run twice"
        );
        self.deliver(event::Event::Finish {
            attempt,
            outcome,
            replayable,
            retry_after: None,
        });
    }

    fn choose_outcome(
        &self,
        attempt: handle::Attempt,
        u: &mut Unstructured<'_>,
    ) -> Result<outcome::Outcome> {
        if self.in_flight[&attempt].cancelled {
            return Ok(outcome::Outcome::Cancelled);
        }
        Ok(*u.choose(&[
            outcome::Outcome::Answered(200),
            outcome::Outcome::Answered(500),
            outcome::Outcome::Shed { leaving: false },
            outcome::Outcome::Unsent,
            outcome::Outcome::Removed,
            outcome::Outcome::Broken,
            outcome::Outcome::Timeout,
            outcome::Outcome::Garbled,
            outcome::Outcome::Cancelled,
        ])?)
    }

    fn cancel_queued(&mut self) {
        let has_attempt = |r: &handle::Request| self.in_flight.values().any(|f| f.request == *r);
        let is_queued = |(r, q): &(&handle::Request, &Request)| q.open && !has_attempt(r);
        let queued = self.requests.iter().find(is_queued).map(|(r, _)| *r);
        if let Some(request) = queued {
            self.requests
                .get_mut(&request)
                .expect("a request that arrived")
                .open = false;
            self.deliver(event::Event::CancelRequest(request));
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let server = handle::Server(u.int_in_range(0..=SERVERS - 1)?);
        match u.int_in_range(0..=15u8)? {
            0..=4 => self.arrive(u)?,
            5..=8 => {
                if let Some(attempt) = self.choose_attempt(u)? {
                    let outcome = self.choose_outcome(attempt, u)?;
                    self.finish(attempt, outcome, u.arbitrary()?);
                }
            }
            9 => {
                if let Some(attempt) = self.choose_attempt(u)? {
                    let status = *u.choose(&[200, 500])?;
                    self.deliver(event::Event::ResponseHead { attempt, status });
                }
            }
            10 | 11 => {
                let duration = Duration::from_millis(u.int_in_range(1..=2000)?);
                self.harness.advance(duration);
                self.deliver(event::Event::Tick);
            }
            12 => {
                let ejection = *u.choose(&[
                    event::Ejection::Granted,
                    event::Ejection::Denied,
                    event::Ejection::Restored,
                ])?;
                self.deliver(event::Event::Ejection { server, ejection });
            }
            13 => self.cancel_queued(),
            14 => self.deliver_evidence(server, u)?,
            _ => {
                if u.ratio(1, 20)? {
                    self.leaving.insert(server);
                    self.deliver(event::Event::Leaving(server));
                }
                let inventory = fixture::inventory(SERVERS, SLOTS);
                self.deliver(event::Event::Inventory(inventory));
            }
        }
        Ok(())
    }

    fn deliver_evidence(&mut self, server: handle::Server, u: &mut Unstructured<'_>) -> Result<()> {
        let digest = event::Digest {
            good: u.int_in_range(0..=20)?,
            bad: u.int_in_range(0..=20)?,
            in_flight: u.int_in_range(0..=4)?,
            oldest_millis: 0,
            median_millis: 10,
            suspicion: u.int_in_range(0..=1500)?,
        };
        let peer = u.int_in_range(100..=102)?;
        self.harness.deliver_evidence(peer, vec![(server, digest)]);
        Ok(())
    }

    /// Finishes all attempts and asserts that every request has a result.
    fn finish_all(&mut self) {
        for _ in 0..200 {
            let attempts: Vec<_> = self.in_flight.keys().copied().collect();
            for attempt in attempts {
                let Some(in_flight) = self.in_flight.get(&attempt) else {
                    continue;
                };
                let outcome = if in_flight.cancelled {
                    outcome::Outcome::Cancelled
                } else {
                    outcome::Outcome::Answered(200)
                };
                self.finish(attempt, outcome, true);
            }
            self.harness.advance(Duration::from_millis(100));
            self.deliver(event::Event::Tick);
        }
        let open: Vec<_> = self.requests.iter().filter(|(_, r)| r.open).collect();
        let open: Vec<_> = open.into_iter().map(|(r, _)| *r).collect();
        assert!(open.is_empty(), "requests without a result: {open:?}");
        assert_eq!(
            self.harness.total_in_flight(),
            0,
            "slots that were never released"
        );
    }
}

fn check_invariants(strategy: Strategy) {
    for number in 0..RUNS {
        // The lower half of an arbtest seed is the size of the input.
        let seed = (number << 32) | INPUT_BYTES;
        let property = |u: &mut Unstructured<'_>| run(strategy, u);
        arbtest(property).seed(seed).run();
    }
}

fn run(strategy: Strategy, u: &mut Unstructured<'_>) -> Result<()> {
    let mut model = Model::new(u.arbitrary()?, strategy);
    for _ in 0..STEPS {
        if u.is_empty() {
            break;
        }
        model.step(u)?;
    }
    model.finish_all();
    Ok(())
}

#[test]
fn power_of_two_holds_the_invariants() {
    check_invariants(Strategy::PowerOfTwo);
}

#[test]
fn shared_load_holds_the_invariants() {
    check_invariants(Strategy::SharedLoad);
}

#[test]
fn divided_slots_hold_the_invariants() {
    check_invariants(Strategy::DividedSlots);
}

#[test]
fn events_about_unknown_handles_have_no_effect() {
    let mut harness = fixture::harness(2, 2);
    let unknown = handle::Server(77);
    let attempt = handle::Attempt(99);

    let mut actions = harness.deliver_head(attempt, 200);
    actions.extend(harness.answer(attempt));
    actions.extend(harness.handle(event::Event::Leaving(unknown)));
    actions.extend(harness.handle(event::Event::CancelRequest(handle::Request(99))));
    actions.extend(harness.handle(event::Event::Probe {
        server: unknown,
        healthy: false,
    }));
    harness.now = time::Time::NEVER;
    actions.extend(harness.tick());

    assert!(actions.is_empty(), "{actions:?}");
}
