//! The invariants under random events: one end for each request, nothing after it, unrepeatable
//! work with at most one attempt of unknown end, and slots never passed.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use monsooncart_policy::balancer::Config;
use monsooncart_policy::slots::Strategy;
use monsooncart_policy::{action, event, handle, outcome};
use monsooncart_types::{map, time};

use crate::fixture::{self, Bench};

const SERVERS: u32 = 4;
const SLOTS: u32 = 2;
const STEPS: u32 = 300;
/// Runs of each property.
const RUNS: u64 = 400;
/// Bytes of input of a run.
const INPUT: u64 = 4096;

struct Request {
    arrival: event::Arrival,
    open: bool,
    unknown: u32,
}

#[derive(Clone, Copy)]
struct Flight {
    request: handle::Request,
    server: handle::Server,
    cancelled: bool,
}

/// What an outside observer knows.
struct Model {
    bench: Bench,
    requests: BTreeMap<handle::Request, Request>,
    flights: BTreeMap<handle::Attempt, Flight>,
    left: map::Set<handle::Server>,
}

impl Model {
    fn new(seed: u64, strategy: Strategy) -> Self {
        let mut inventory = fixture::inventory(SERVERS, SLOTS);
        inventory.daemons = 2;
        Self {
            bench: fixture::bench_with(Config::new(seed).strategy(strategy), inventory),
            requests: BTreeMap::new(),
            flights: BTreeMap::new(),
            left: map::Set::default(),
        }
    }

    fn tell(&mut self, event: event::Event) {
        for action in self.bench.handle(event) {
            self.check(&action);
        }
    }

    fn check(&mut self, action: &action::Action) {
        match *action {
            action::Action::Send {
                request,
                attempt,
                server,
                fresh_connection: fresh,
                ..
            } => self.check_send(request, attempt, server, fresh),
            action::Action::Refuse { request, refusal } => self.check_refusal(request, refusal),
            action::Action::Cancel(attempt) => {
                if let Some(flight) = self.flights.get_mut(&attempt) {
                    flight.cancelled = true;
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
        fresh: bool,
    ) {
        let asked = &self.requests[&request];
        assert!(asked.open, "attempt after the end of {request}");
        assert!(!self.left.contains(&server), "work for a leaving server");
        let at_server = self.flights.values().filter(|f| f.server == server);
        assert!(at_server.count() < SLOTS as usize, "slots passed");
        if !asked.arrival.repeatable {
            assert!(fresh, "unrepeatable work on an old connection");
            assert_eq!(asked.unknown, 0, "second run of {request}");
            let open = |f: &&Flight| f.request == request;
            assert!(
                !self.flights.values().any(|f| open(&f)),
                "run twice at once"
            );
            self.check_standing(request, server);
        }
        let flight = Flight {
            request,
            server,
            cancelled: false,
        };
        let known = self.flights.insert(attempt, flight);
        assert!(known.is_none(), "attempt {attempt} twice");
    }

    /// Unrepeatable work goes to no suspect or ejected server while another that was not tried
    /// is in service.
    fn check_standing(&self, request: handle::Request, server: handle::Server) {
        let sick = |state: &str| matches!(state, "suspect" | "ejected");
        if !sick(self.bench.view(server).state) {
            return;
        }
        let tried = &self.bench.tried[&request];
        for other in (0..SERVERS).map(handle::Server) {
            let state = self.bench.view(other).state;
            let usable = matches!(state, "active" | "returning") && !tried.contains(&other);
            assert!(!usable, "unrepeatable work for a sick server");
        }
    }

    fn check_refusal(&mut self, request: handle::Request, refusal: outcome::Refusal) {
        let flying = self.flights.values().any(|f| f.request == request);
        let asked = self.requests.get_mut(&request).expect("it came");
        assert!(asked.open, "second end of {request}");
        asked.open = false;
        let unknown = asked.unknown > 0 || flying;
        let claimed = refusal.execution == outcome::Execution::Unknown;
        assert!(claimed || !unknown, "{request} may have run");
    }

    fn arrive(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let mut arrival = self.bench.arrival();
        arrival.organisation = handle::Organisation(u.int_in_range(0..=2)?);
        arrival.weight = u.int_in_range(0..=5)?;
        arrival.repeatable = u.arbitrary()?;
        arrival.deadline = self.bench.now + Duration::from_millis(u.int_in_range(0..=3000)?);
        let fingerprint: Option<u8> = u.arbitrary()?;
        arrival.fingerprint = fingerprint.map(|f| handle::Fingerprint(u64::from(f % 3)));
        let request = Request {
            arrival,
            open: true,
            unknown: 0,
        };
        self.requests.insert(arrival.request, request);
        self.bench.tried.insert(arrival.request, Vec::new());
        self.tell(event::Event::Arrive(arrival));
        Ok(())
    }

    fn some_attempt(&self, u: &mut Unstructured<'_>) -> Result<Option<handle::Attempt>> {
        let attempts: Vec<_> = self.flights.keys().copied().collect();
        if attempts.is_empty() {
            return Ok(None);
        }
        u.choose(&attempts).map(|a| Some(*a))
    }

    fn finish(&mut self, attempt: handle::Attempt, end: outcome::Outcome, replayable: bool) {
        let flight = self.flights.remove(&attempt).expect("in flight");
        self.bench
            .tried
            .entry(flight.request)
            .or_default()
            .push(flight.server);
        let request = self.requests.get_mut(&flight.request).expect("it came");
        request.unknown += u32::from(end.execution() == outcome::Execution::Unknown);
        let ends = matches!(
            end,
            outcome::Outcome::Answered(_) | outcome::Outcome::Cancelled
        );
        if ends && !flight.cancelled {
            assert!(request.open, "second end of {}", flight.request);
            request.open = false;
        }
        let once = !request.arrival.repeatable;
        assert!(!once || request.unknown <= 1, "unrepeatable work ran twice");
        self.tell(event::Event::Finish {
            attempt,
            outcome: end,
            replayable,
            retry_after: None,
        });
    }

    fn some_end(
        &self,
        attempt: handle::Attempt,
        u: &mut Unstructured<'_>,
    ) -> Result<outcome::Outcome> {
        if self.flights[&attempt].cancelled {
            return Ok(outcome::Outcome::Cancelled);
        }
        Ok(*u.choose(&[
            outcome::Outcome::Answered(200),
            outcome::Outcome::Answered(500),
            outcome::Outcome::Shed { leaving: false },
            outcome::Outcome::Unsent,
            outcome::Outcome::Broken,
            outcome::Outcome::Timeout,
            outcome::Outcome::Garbled,
            outcome::Outcome::Cancelled,
        ])?)
    }

    fn withdraw(&mut self) {
        let flying = |r: &handle::Request| self.flights.values().any(|f| f.request == *r);
        let waits = |(r, q): &(&handle::Request, &Request)| q.open && !flying(r);
        let waiting = self.requests.iter().find(waits).map(|(r, _)| *r);
        if let Some(request) = waiting {
            self.requests.get_mut(&request).expect("it came").open = false;
            self.tell(event::Event::CancelRequest(request));
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let server = handle::Server(u.int_in_range(0..=SERVERS - 1)?);
        match u.int_in_range(0..=15u8)? {
            0..=4 => self.arrive(u)?,
            5..=8 => {
                if let Some(attempt) = self.some_attempt(u)? {
                    let end = self.some_end(attempt, u)?;
                    self.finish(attempt, end, u.arbitrary()?);
                }
            }
            9 => {
                if let Some(attempt) = self.some_attempt(u)? {
                    let status = *u.choose(&[200, 500])?;
                    self.tell(event::Event::ResponseHead { attempt, status });
                }
            }
            10 | 11 => {
                let span = Duration::from_millis(u.int_in_range(1..=2000)?);
                self.bench.pass(span);
                self.tell(event::Event::Tick);
            }
            12 => {
                let ejection = *u.choose(&[
                    event::Ejection::Granted,
                    event::Ejection::Denied,
                    event::Ejection::Restored,
                ])?;
                self.tell(event::Event::Ejection { server, ejection });
            }
            13 => self.withdraw(),
            14 => self.hear(server, u)?,
            _ => {
                if u.ratio(1, 20)? {
                    self.left.insert(server);
                    self.tell(event::Event::Leaving(server));
                }
                let inventory = fixture::inventory(SERVERS, SLOTS);
                self.tell(event::Event::Inventory(inventory));
            }
        }
        Ok(())
    }

    fn hear(&mut self, server: handle::Server, u: &mut Unstructured<'_>) -> Result<()> {
        let digest = event::Digest {
            good: u.int_in_range(0..=20)?,
            bad: u.int_in_range(0..=20)?,
            in_flight: u.int_in_range(0..=4)?,
            oldest_millis: 0,
            median_millis: 10,
            suspicion: u.int_in_range(0..=1500)?,
        };
        let peer = u.int_in_range(100..=102)?;
        self.bench.hear(peer, vec![(server, digest)]);
        Ok(())
    }

    /// Lets everything end and demands that every request did.
    fn settle(&mut self) {
        for _ in 0..200 {
            let attempts: Vec<_> = self.flights.keys().copied().collect();
            for attempt in attempts {
                let Some(flight) = self.flights.get(&attempt) else {
                    continue;
                };
                let end = if flight.cancelled {
                    outcome::Outcome::Cancelled
                } else {
                    outcome::Outcome::Answered(200)
                };
                self.finish(attempt, end, true);
            }
            self.bench.pass(Duration::from_millis(100));
            self.tell(event::Event::Tick);
        }
        let open: Vec<_> = self.requests.iter().filter(|(_, r)| r.open).collect();
        let open: Vec<_> = open.into_iter().map(|(r, _)| *r).collect();
        assert!(open.is_empty(), "requests without an end: {open:?}");
        assert_eq!(self.bench.view_in_flight(), 0, "slots that are never freed");
    }
}

fn hold(strategy: Strategy) {
    for number in 0..RUNS {
        // An arbtest seed holds the size of its input in the lower half.
        let seed = (number << 32) | INPUT;
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
    model.settle();
    Ok(())
}

#[test]
fn power_of_two_holds_the_invariants() {
    hold(Strategy::PowerOfTwo);
}

#[test]
fn shared_load_holds_the_invariants() {
    hold(Strategy::SharedLoad);
}

#[test]
fn divided_slots_hold_the_invariants() {
    hold(Strategy::DividedSlots);
}

#[test]
fn events_about_unknown_things_change_nothing() {
    let mut bench = fixture::bench(2, 2);
    let unknown = handle::Server(77);
    let attempt = handle::Attempt(99);

    let mut actions = bench.head(attempt, 200);
    actions.extend(bench.answer(attempt));
    actions.extend(bench.handle(event::Event::Leaving(unknown)));
    actions.extend(bench.handle(event::Event::CancelRequest(handle::Request(99))));
    actions.extend(bench.handle(event::Event::Probe {
        server: unknown,
        healthy: false,
    }));
    bench.now = time::Time::NEVER;
    actions.extend(bench.tick());

    assert!(actions.is_empty(), "{actions:?}");
}
