//! One daemon's policy before fake servers, driven by a heap of future events.
//!
//! The fake also checks the invariants of every run: one end for each request, no attempt after
//! it, unrepeatable work with at most one attempt of unknown end, and, for policies that promise
//! it, never more attempts at a server than it has slots.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use monsooncart_policy::service::Policy;
use monsooncart_policy::{action, event, handle, health, inventory, outcome};
use monsooncart_types::time;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixture;

const TICK: Duration = Duration::from_millis(50);
const LEDGER: Duration = Duration::from_millis(10);
const BODY: Duration = Duration::from_millis(1);
const PATIENCE: Duration = Duration::from_secs(5);
/// Time after which a caller counts an answer as late: harmed.
const LATE: Duration = Duration::from_millis(1000);

/// Seeds of every scenario; `POLICY_SEEDS` names another number of them.
pub fn seeds() -> std::ops::Range<u64> {
    let asked = std::env::var("POLICY_SEEDS").ok();
    0..asked.and_then(|n| n.parse().ok()).unwrap_or(10)
}

/// How a fake server behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Well,
    /// No head ever comes.
    Stall,
    /// Answers take this many times as long.
    Slow(f64),
    /// This share of the answers is an error.
    Error(f64),
    /// Stalls and does well in turns of this length.
    Flap(Duration),
    /// Attempts on connections opened before the fault are silent.
    Silent,
    /// Starts at this factor and warms up over ten seconds.
    Cold(f64),
}

/// What is run.
#[derive(Clone)]
pub struct Plan {
    pub seed: u64,
    pub servers: u32,
    pub slots: u32,
    /// Requests a second, as a function of the seconds since the start.
    pub rate: fn(f64) -> f64,
    /// Median and spread of the time to a head.
    pub median: Duration,
    pub sigma: f64,
    pub sensitivity: health::Sensitivity,
    /// Share of unrepeatable requests.
    pub once: f64,
    /// Share of errors that well servers give.
    pub noise: f64,
    /// Servers that the ledger lets be ejected at once.
    pub room: usize,
    pub length: Duration,
    /// Changes of servers' modes.
    pub faults: Vec<(Duration, Vec<u32>, Mode)>,
    /// Servers that join later.
    pub joins: Vec<(Duration, u32)>,
    pub strict: bool,
}

pub fn plan(seed: u64) -> Plan {
    Plan {
        seed,
        servers: 6,
        slots: 2,
        rate: |_| 20.0,
        median: Duration::from_millis(20),
        sigma: 0.5,
        sensitivity: health::Sensitivity::Fast,
        once: 0.2,
        noise: 0.0,
        room: 2,
        length: Duration::from_secs(60),
        faults: Vec::new(),
        joins: Vec::new(),
        strict: true,
    }
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    /// Requests that were refused, answered by an error or late.
    pub harmed: u32,
    pub refused: u32,
    pub answered: u32,
    /// Ejections that were granted, with their times.
    pub ejections: Vec<(time::Time, handle::Server)>,
    pub restorations: Vec<(time::Time, handle::Server)>,
    /// Attempts by server and second.
    pub sends: BTreeMap<(u32, u64), u32>,
    pub condemned: u32,
    pub attempts: u32,
    pub shed: u32,
}

impl Outcome {
    /// The time from the fault to the ejection of a server.
    pub fn detection(&self, server: u32, fault: Duration) -> Option<Duration> {
        let fault = time::Time::ZERO + fault;
        let found = |(at, s): &&(time::Time, handle::Server)| *at >= fault && s.0 == server;
        self.ejections
            .iter()
            .find(found)
            .map(|(at, _)| at.since(fault))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick,
    Arrival,
    Fault(usize),
    Join(usize),
    Head(u64, u16),
    End(u64, Finish),
    Ledger(u32, Verdict),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Finish {
    Answered(u16),
    Timeout,
    Cancelled,
    Shed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Verdict {
    Granted,
    Denied,
    Restored,
}

struct Server {
    mode: Mode,
    since: time::Time,
    reconnected: time::Time,
    ejected: bool,
    busy: Vec<time::Time>,
    in_flight: u32,
}

struct Request {
    came: time::Time,
    deadline: time::Time,
    repeatable: bool,
    unknown: u32,
    ended: bool,
    late: bool,
}

struct Attempt {
    request: u64,
    server: u32,
    head: bool,
    /// Its slot of the server, and from when to when it holds it.
    slot: Option<(usize, time::Time, time::Time)>,
}

pub struct World {
    plan: Plan,
    policy: Box<dyn Policy>,
    rng: SmallRng,
    now: time::Time,
    heap: BinaryHeap<Reverse<(time::Time, u64, Due)>>,
    order: u64,
    servers: Vec<Server>,
    requests: BTreeMap<u64, Request>,
    attempts: BTreeMap<u64, Attempt>,
    outcome: Outcome,
}

/// Runs a plan and prints its seed.
pub fn run(plan: &Plan, policy: Box<dyn Policy>) -> Outcome {
    println!("seed {}", plan.seed);
    let mut world = World::new(plan.clone(), policy);
    world.run();
    world.outcome
}

impl World {
    fn new(plan: Plan, policy: Box<dyn Policy>) -> Self {
        let total = plan.servers as usize + plan.joins.len();
        let server = |_| Server {
            mode: Mode::Well,
            since: time::Time::ZERO,
            reconnected: time::Time::ZERO,
            ejected: false,
            busy: vec![time::Time::ZERO; plan.slots as usize],
            in_flight: 0,
        };
        Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            policy,
            now: time::Time::ZERO,
            heap: BinaryHeap::new(),
            order: 0,
            servers: (0..total).map(server).collect(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            outcome: Outcome::default(),
            plan,
        }
    }

    fn run(&mut self) {
        let servers = self.plan.servers;
        self.configure(servers);
        self.schedule(TICK, Due::Tick);
        self.schedule(Duration::from_millis(1), Due::Arrival);
        for at in 0..self.plan.faults.len() {
            self.schedule(self.plan.faults[at].0, Due::Fault(at));
        }
        for at in 0..self.plan.joins.len() {
            self.schedule(self.plan.joins[at].0, Due::Join(at));
        }
        let end = time::Time::ZERO + self.plan.length;
        while let Some(Reverse((at, _, due))) = self.heap.pop() {
            if at > end + PATIENCE * 2 {
                break;
            }
            self.now = at;
            self.fire(due, at < end);
        }
        let open = self.requests.values().filter(|r| !r.ended).count();
        assert_eq!(open, 0, "requests without an end, seed {}", self.plan.seed);
    }

    fn configure(&mut self, servers: u32) {
        let inventory = inventory::Inventory {
            servers: (0..servers)
                .map(|s| fixture::server(s, self.plan.slots))
                .collect(),
            floor_slots: 0,
            sensitivity: self.plan.sensitivity,
            daemons: 1,
            latency_objective: Duration::from_millis(200),
        };
        self.tell(event::Event::Inventory(inventory));
    }

    fn schedule(&mut self, after: Duration, due: Due) {
        self.order += 1;
        self.heap.push(Reverse((self.now + after, self.order, due)));
    }

    fn fire(&mut self, due: Due, open: bool) {
        match due {
            Due::Tick => {
                self.tell(event::Event::Tick);
                self.schedule(TICK, Due::Tick);
            }
            Due::Arrival if open => self.arrival(),
            Due::Arrival => {}
            Due::Fault(at) => self.fault(at),
            Due::Join(at) => {
                let (_, server) = self.plan.joins[at];
                self.servers[server as usize].since = self.now;
                self.configure(server + 1);
            }
            Due::Head(attempt, status) => self.head(attempt, status),
            Due::End(attempt, finish) => self.end(attempt, finish),
            Due::Ledger(server, verdict) => self.ledger(server, verdict),
        }
    }

    fn fault(&mut self, at: usize) {
        let (_, servers, mode) = self.plan.faults[at].clone();
        for server in servers {
            let stalled = self.servers[server as usize].mode == Mode::Stall;
            self.servers[server as usize].mode = mode;
            self.servers[server as usize].since = self.now;
            if stalled && mode == Mode::Well {
                self.resume(server);
            }
        }
    }

    /// Lets a server go on with the work that it held while it stalled.
    fn resume(&mut self, server: u32) {
        let held = self.attempts.iter();
        let held = held.filter(|(_, a)| a.server == server && !a.head);
        let held: Vec<_> = held.map(|(number, _)| *number).collect();
        for attempt in held {
            self.answer(attempt, server, true);
        }
    }

    fn arrival(&mut self) {
        let number = self.requests.len() as u64 + 1;
        let repeatable = !self.rng.random_bool(self.plan.once);
        let request = Request {
            came: self.now,
            deadline: self.now + PATIENCE,
            repeatable,
            unknown: 0,
            ended: false,
            late: false,
        };
        let arrival = event::Arrival {
            request: handle::Request(number),
            organisation: handle::Organisation(1),
            weight: 1,
            repeatable,
            attempts: 4,
            priority: 0,
            objective: None,
            expected_response_bytes: 0,
            deadline: request.deadline,
            fingerprint: None,
        };
        self.requests.insert(number, request);
        self.outcome.requests += 1;
        self.tell(event::Event::Arrive(arrival));
        let rate = (self.plan.rate)(Duration::from_nanos(self.now.0).as_secs_f64());
        let draw: f64 = self.rng.random_range(1e-9..1.0);
        let gap = Duration::from_secs_f64(-draw.ln() / rate);
        self.schedule(gap, Due::Arrival);
    }

    fn tell(&mut self, event: event::Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in &actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: &action::Action) {
        match *action {
            action::Action::Send {
                request,
                attempt,
                server,
                fresh_connection: fresh,
                ..
            } => self.send(request.0, attempt.0, server.0, fresh),
            action::Action::Refuse { request, refusal } => self.refuse(request.0, refusal),
            action::Action::Cancel(attempt) => {
                self.schedule(Duration::ZERO, Due::End(attempt.0, Finish::Cancelled));
            }
            action::Action::Eject { server, .. } => {
                let ejected = self.servers.iter().filter(|s| s.ejected).count();
                let verdict = if ejected < self.plan.room {
                    Verdict::Granted
                } else {
                    Verdict::Denied
                };
                self.schedule(LEDGER, Due::Ledger(server.0, verdict));
            }
            action::Action::Restore(server) => {
                self.schedule(LEDGER, Due::Ledger(server.0, Verdict::Restored));
            }
            action::Action::CloseConnections { server, .. } => {
                self.outcome.condemned += 1;
                self.servers[server.0 as usize].reconnected = self.now;
            }
            action::Action::Probe(server) => {
                // Probes mislead: they always answer well.
                let event = event::Event::Probe {
                    server,
                    healthy: true,
                };
                self.tell(event);
            }
            action::Action::ReportCrash { .. }
            | action::Action::Quarantine { .. }
            | action::Action::ReportState { .. } => {}
        }
    }

    fn ledger(&mut self, server: u32, verdict: Verdict) {
        let handle = handle::Server(server);
        let ejection = match verdict {
            Verdict::Granted => {
                self.servers[server as usize].ejected = true;
                self.outcome.ejections.push((self.now, handle));
                event::Ejection::Granted
            }
            Verdict::Denied => event::Ejection::Denied,
            Verdict::Restored => {
                self.servers[server as usize].ejected = false;
                self.outcome.restorations.push((self.now, handle));
                event::Ejection::Restored
            }
        };
        self.tell(event::Event::Ejection {
            server: handle,
            ejection,
        });
    }

    fn send(&mut self, request: u64, attempt: u64, server: u32, fresh: bool) {
        let seed = self.plan.seed;
        let second = self.now.0 / 1_000_000_000;
        *self.outcome.sends.entry((server, second)).or_default() += 1;
        self.outcome.attempts += 1;
        let asked = &self.requests[&request];
        assert!(!asked.ended, "attempt after the end, seed {seed}");
        if self.plan.strict {
            let once = !asked.repeatable;
            assert!(
                !once || fresh,
                "unrepeatable on an old connection, seed {seed}"
            );
            assert!(!once || asked.unknown == 0, "second run, seed {seed}");
            let in_flight = self.servers[server as usize].in_flight;
            assert!(in_flight < self.plan.slots, "slots passed, seed {seed}");
        }
        let deadline = asked.deadline;
        self.servers[server as usize].in_flight += 1;
        let flight = Attempt {
            request,
            server,
            head: false,
            slot: None,
        };
        self.attempts.insert(attempt, flight);
        self.answer(attempt, server, fresh);
        let patience = deadline.since(self.now);
        self.schedule(patience, Due::End(attempt, Finish::Timeout));
    }

    /// Schedules what the server makes of an attempt.
    fn answer(&mut self, attempt: u64, server: u32, fresh: bool) {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let mut work = self.plan.median.mul_f64((normal * self.plan.sigma).exp());
        let noise = self.rng.random_bool(self.plan.noise);
        let draw: f64 = self.rng.random();
        let server = &mut self.servers[server as usize];
        let age = self.now.since(server.since);
        let mut status = if noise { 500 } else { 200 };
        match server.mode {
            Mode::Well => {}
            Mode::Stall => return,
            Mode::Silent if !fresh && server.reconnected < server.since => return,
            Mode::Silent => {}
            Mode::Slow(factor) => work = work.mul_f64(factor),
            Mode::Error(share) if draw < share => status = 500,
            Mode::Error(_) => {}
            Mode::Flap(turn) => {
                let turns = age.as_nanos() / turn.as_nanos();
                if turns.is_multiple_of(2) {
                    return;
                }
            }
            Mode::Cold(factor) => {
                let left = (1.0 - age.as_secs_f64() / 10.0).max(0.0);
                work = work.mul_f64(1.0 + (factor - 1.0) * left);
            }
        }
        if status == 500 {
            work = Duration::from_millis(2);
        }
        let slots = server.busy.iter_mut().enumerate();
        let (place, slot) = slots.min_by_key(|(_, s)| **s).expect("a slot");
        if slot.since(self.now) > PATIENCE {
            self.outcome.shed += 1;
            self.schedule(BODY, Due::End(attempt, Finish::Shed));
            return;
        }
        let begin = (*slot).max(self.now);
        *slot = begin + work;
        let flight = self.attempts.get_mut(&attempt).expect("just sent");
        flight.slot = Some((place, begin, *slot));
        let head = slot.since(self.now);
        self.schedule(head, Due::Head(attempt, status));
        self.schedule(head + BODY, Due::End(attempt, Finish::Answered(status)));
    }

    fn head(&mut self, attempt: u64, status: u16) {
        let Some(flight) = self.attempts.get_mut(&attempt) else {
            return;
        };
        flight.head = true;
        let request = self.requests.get_mut(&flight.request).expect("its request");
        request.late |= self.now.since(request.came) > LATE;
        self.tell(event::Event::ResponseHead {
            attempt: handle::Attempt(attempt),
            status,
        });
    }

    fn end(&mut self, number: u64, finish: Finish) {
        let Some(attempt) = self.attempts.get(&number) else {
            return;
        };
        if finish == Finish::Timeout && attempt.head {
            return;
        }
        let attempt = self.attempts.remove(&number).expect("just found");
        let server = &mut self.servers[attempt.server as usize];
        server.in_flight -= 1;
        if let Some((place, begin, until)) = attempt.slot {
            // Cancellation and deadlines are accepted: work that is not done yet is dropped.
            let dropped = until.since(begin.max(self.now));
            let nanoseconds = u64::try_from(dropped.as_nanos()).expect("a short time");
            let busy = &mut server.busy[place];
            *busy = time::Time(busy.0 - nanoseconds);
        }
        let request = self
            .requests
            .get_mut(&attempt.request)
            .expect("its request");
        let end = match finish {
            Finish::Answered(status) => {
                assert!(!request.ended, "second end, seed {}", self.plan.seed);
                request.ended = true;
                self.outcome.answered += 1;
                self.outcome.harmed += u32::from(status >= 500 || request.late);
                outcome::Outcome::Answered(status)
            }
            Finish::Timeout => outcome::Outcome::Timeout,
            Finish::Cancelled => outcome::Outcome::Cancelled,
            Finish::Shed => outcome::Outcome::Shed { leaving: false },
        };
        if end.execution() == outcome::Execution::Unknown {
            request.unknown += 1;
        }
        let replayable = !attempt.head;
        self.tell(event::Event::Finish {
            attempt: handle::Attempt(number),
            outcome: end,
            replayable,
            retry_after: None,
        });
    }

    fn refuse(&mut self, number: u64, refusal: outcome::Refusal) {
        let request = self.requests.get_mut(&number).expect("its request");
        assert!(!request.ended, "second end, seed {}", self.plan.seed);
        if self.plan.strict {
            let unknown = request.unknown > 0;
            assert!(
                !unknown || refusal.execution == outcome::Execution::Unknown,
                "false not-run, seed {}",
                self.plan.seed
            );
        }
        request.ended = true;
        self.outcome.refused += 1;
        self.outcome.harmed += 1;
    }
}
