//! Daemons, each with a selector, in front of servers that some requests crash.

mod servers;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use monsooncart_policy::selector::{Config, Selector, budget};
use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{action, event, handle, health, inventory, outcome};
use monsooncart_types::{instance, map, time};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::plan::Plan;

const MS: Duration = Duration::from_millis(1);

/// Time after a crash at which the store removes the entry of the server.
const EXPIRY_TIME: Duration = Duration::from_millis(4500);

/// Maximum time until a report of one daemon reaches another one.
const MAX_REPORT_MILLIS: u64 = 50;

/// Requests beyond the slots that wait at a server.
const SERVER_QUEUE: usize = 24;

/// Time from which requests that crash servers come.
const SETTLING: Duration = Duration::from_secs(5);

const TICK: Duration = Duration::from_millis(100);

/// Fingerprints of requests that crash servers, of those like others, and of the rest.
const POISON: u64 = 1 << 40;
const ALIKE: u64 = 1 << 41;
const UNIQUE: u64 = 1 << 42;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Id {
    daemon: usize,
    attempt: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Arrival,
    Poison(u64),
    Tick(usize),
    Reach(Id),
    Done(Id),
    Broken(Id),
    Refused(Id),
    Probe {
        daemon: usize,
        server: u32,
        is_path: bool,
    },
    Report {
        daemon: usize,
        report: Report,
    },
    Restart(u32),
    Notice,
    Expire(u32),
    /// A server crashes for a reason of its own.
    Stray,
    /// A request that crashes servers has waited for as long as its caller does.
    Deadline {
        daemon: usize,
        request: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Report {
    Crash {
        fingerprint: u64,
        server: u32,
        run: u64,
    },
    Acquittal {
        fingerprint: u64,
    },
    Quarantine {
        fingerprint: u64,
        millis: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    fingerprint: u64,
    server: u32,
    sent_at: time::Time,
}

#[derive(Clone, Debug, Default)]
struct Server {
    is_down: bool,
    /// Number of its lifetimes before this one.
    run: u64,
    running: Vec<Id>,
    waiting: VecDeque<Id>,
}

/// What became of the requests of one kind that crashes servers.
#[derive(Clone, Debug, Default)]
pub struct Poison {
    pub crashes: Vec<time::Time>,
    /// When the attempts that reached servers were sent.
    pub sent: Vec<time::Time>,
}

/// What was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Result {
    pub poisons: map::Map<u64, Poison>,
    /// Requests that crash nothing and were refused for crashes.
    pub innocent_refused: u64,
    pub answered: u64,
    pub crash_probes: u64,
    pub path_probes: u64,
    pub reports: u64,
}

pub struct Fleet {
    plan: Plan,
    rng: SmallRng,
    now: time::Time,
    heap: BinaryHeap<Reverse<(time::Time, u64, Scheduled)>>,
    count: u64,
    policies: Vec<Selector>,
    /// Servers of which the daemons know, with the lifetimes that they know.
    listed: Vec<(u32, u64)>,
    servers: map::Map<u32, Server>,
    attempts: map::Map<Id, Attempt>,
    requests: map::Map<(usize, u64), u64>,
    /// Requests that crash servers and were not responded to yet.
    open_poisons: std::collections::BTreeSet<(usize, u64)>,
    request_count: u64,
    pub result: Result,
}

impl Fleet {
    pub fn new(plan: Plan) -> Self {
        let policy = |daemon: usize| {
            Config::new(plan.seed * 100 + daemon as u64)
                .instance(instance::Instance(daemon as u64 + 1))
                .retries(budget::Limits {
                    share: 0.2,
                    slack: 50.0,
                    window: Duration::from_secs(10),
                    min_daemons: 1,
                })
                .covers_servers(true)
                .waits(true)
                .build()
        };
        let servers = 0..plan.servers as u32;
        let listed: Vec<_> = servers.map(|server| (server, 0)).collect();
        Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            now: time::Time::from_millis(60_000),
            heap: BinaryHeap::new(),
            count: 0,
            policies: (0..plan.daemons).map(policy).collect(),
            servers: listed
                .iter()
                .map(|(s, _)| (*s, Server::default()))
                .collect(),
            listed,
            attempts: map::Map::default(),
            requests: map::Map::default(),
            open_poisons: std::collections::BTreeSet::new(),
            request_count: 0,
            result: Result::default(),
            plan,
        }
    }

    pub fn run(mut self) -> Result {
        let end = self.now + SETTLING + self.plan.length;
        self.list();
        self.schedule(MS, Scheduled::Arrival);
        for poison in 0..self.plan.poisons {
            self.schedule(
                SETTLING + poison as u32 * 37 * MS,
                Scheduled::Poison(poison),
            );
        }
        for daemon in 0..self.plan.daemons {
            self.schedule(TICK, Scheduled::Tick(daemon));
        }
        if self.plan.stray_crashes.is_some() {
            self.schedule(SETTLING, Scheduled::Stray);
        }
        while let Some(Reverse((at, _, scheduled))) = self.heap.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            self.step(&scheduled);
        }
        self.result
    }

    fn schedule(&mut self, after: Duration, scheduled: Scheduled) {
        self.count += 1;
        self.heap
            .push(Reverse((self.now + after, self.count, scheduled)));
    }

    fn step(&mut self, scheduled: &Scheduled) {
        match *scheduled {
            Scheduled::Arrival => {
                let gap = -self.rng.random_range(0.0_f64..1.0).max(1e-9).ln() / self.plan.rate;
                self.schedule(Duration::from_secs_f64(gap), Scheduled::Arrival);
                let fingerprint = match self.rng.random_bool(self.plan.alike_share) {
                    true => ALIKE + self.rng.random_range(0..self.plan.alike_kinds),
                    false => UNIQUE + self.request_count,
                };
                let is_repeatable = self.rng.random_bool(self.plan.repeatable_share);
                self.arrive(fingerprint, is_repeatable);
            }
            Scheduled::Poison(poison) => {
                if !self.plan.poison_waits {
                    self.schedule(self.plan.poison_interval, Scheduled::Poison(poison));
                }
                self.arrive(POISON + poison, self.plan.poison_repeatable);
            }
            Scheduled::Deadline { daemon, request } => {
                let request = handle::Request(request);
                if self.open_poisons.contains(&(daemon, request.0)) {
                    self.handle(daemon, event::Event::CancelRequest(request));
                    self.respond_to_poison(daemon, request.0);
                }
            }
            Scheduled::Stray => {
                let mean = self.plan.stray_crashes.expect("is planned");
                let gap = mean.mul_f64(self.rng.random_range(0.3..1.7));
                self.schedule(gap, Scheduled::Stray);
                let mut up: Vec<_> = self.servers.iter().filter(|(_, s)| !s.is_down).collect();
                up.sort_by_key(|(server, _)| **server);
                if !up.is_empty() {
                    let server = *up[self.rng.random_range(0..up.len())].0;
                    self.crash(server, None);
                }
            }
            Scheduled::Tick(daemon) => {
                self.schedule(TICK, Scheduled::Tick(daemon));
                self.handle(daemon, event::Event::Tick);
            }
            Scheduled::Reach(id) => self.reach(id),
            Scheduled::Done(id) => self.finish(id),
            Scheduled::Broken(id) => self.end(id, outcome::Outcome::Broken),
            Scheduled::Refused(id) => self.end(id, outcome::Outcome::Unsent),
            Scheduled::Probe {
                daemon,
                server,
                is_path,
            } => {
                let is_up = self.servers.get(&server).is_some_and(|s| !s.is_down);
                let (server, sent_at) = (handle::Server(server), self.now);
                let event = match is_path {
                    true => event::Event::PathProbe {
                        server,
                        sent_at,
                        responded: is_up,
                    },
                    false => event::Event::CrashProbe {
                        server,
                        sent_at,
                        responded: is_up,
                    },
                };
                self.handle(daemon, event);
            }
            Scheduled::Report { daemon, report } => self.deliver(daemon, report),
            Scheduled::Restart(server) => {
                let run = self.servers[&server].run + 1;
                let new = match self.plan.keeps_id {
                    true => server,
                    false => server + 1000,
                };
                let restarted = Server {
                    run,
                    ..Server::default()
                };
                self.servers.insert(new, restarted);
                self.schedule(self.plan.notice_time, Scheduled::Notice);
            }
            Scheduled::Notice => {
                let up = self.servers.iter().filter(|(_, s)| !s.is_down);
                for (server, state) in up {
                    match self.listed.iter_mut().find(|(s, _)| s == server) {
                        Some((_, run)) => *run = state.run,
                        None => self.listed.push((*server, state.run)),
                    }
                }
                self.listed.sort_unstable();
                self.list();
            }
            Scheduled::Expire(server) => {
                if self.servers[&server].is_down {
                    self.listed.retain(|(s, _)| *s != server);
                    self.list();
                }
            }
        }
    }

    /// Tells the daemons of the servers.
    fn list(&mut self) {
        let server = |(handle, run): &(u32, u64)| inventory::Server {
            handle: handle::Server(*handle),
            name: format!("server-{handle}").parse().expect("a name"),
            slots: self.plan.slots,
            local: true,
            leaving: false,
            remaining_warm_up: Duration::ZERO,
            started_millis: 1 + run,
        };
        let servers: Vec<_> = self.listed.iter().map(server).collect();
        let daemons = 1..=self.plan.daemons as u64;
        let inventory = inventory::Inventory {
            servers,
            floor_slots: 0,
            sensitivity: health::Sensitivity::Fast,
            daemons: daemons.map(instance::Instance).collect(),
            relays: Vec::new(),
            unix_origin: Duration::ZERO,
            latency_objective: Duration::from_millis(1500),
        };
        for daemon in 0..self.plan.daemons {
            self.handle(daemon, event::Event::Inventory(inventory.clone()));
        }
    }

    fn arrive(&mut self, fingerprint: u64, repeatable: bool) {
        self.request_count += 1;
        let daemon = self.rng.random_range(0..self.plan.daemons);
        let request = self.request_count;
        self.requests.insert((daemon, request), fingerprint);
        let time = Duration::from_secs(3);
        if fingerprint & POISON != 0 && self.plan.poison_waits {
            self.open_poisons.insert((daemon, request));
            self.schedule(time, Scheduled::Deadline { daemon, request });
        }
        let arrival = event::Arrival {
            request: handle::Request(request),
            organisation: handle::Organisation(0),
            weight: 1,
            repeatable,
            max_attempts: 2,
            route: handle::Route::default(),
            priority: 1,
            objective: Some(Duration::from_millis(1500)),
            expected_response_bytes: 100,
            deadline: self.now + time,
            fingerprint: Some(handle::Fingerprint::of_request(fingerprint)),
            relayed: false,
        };
        self.handle(daemon, event::Event::Arrive(arrival));
    }

    /// A request that crashes servers is responded to, and comes again after a pause.
    fn respond_to_poison(&mut self, daemon: usize, request: u64) {
        if self.open_poisons.remove(&(daemon, request)) {
            let poison = self.requests[&(daemon, request)] - POISON;
            self.schedule(self.plan.poison_interval, Scheduled::Poison(poison));
        }
    }

    fn handle(&mut self, daemon: usize, event: event::Event) {
        let mut actions = Vec::new();
        self.policies[daemon].handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(daemon, &action);
        }
    }

    fn carry_out(&mut self, daemon: usize, action: &action::Action) {
        match *action {
            action::Action::Send {
                request,
                attempt,
                server,
                ..
            } => {
                let id = Id {
                    daemon,
                    attempt: attempt.0,
                };
                let attempt = Attempt {
                    fingerprint: self.requests[&(daemon, request.0)],
                    server: server.0,
                    sent_at: self.now,
                };
                self.attempts.insert(id, attempt);
                self.schedule(MS, Scheduled::Reach(id));
            }
            action::Action::Cancel(attempt) => {
                let attempt = attempt.0;
                self.cancel(Id { daemon, attempt });
            }
            action::Action::Refuse { request, refusal } => {
                let fingerprint = self.requests[&(daemon, request.0)];
                let is_poison = refusal.reason == outcome::Reason::Poison;
                let is_innocent = fingerprint & POISON == 0;
                self.result.innocent_refused += u64::from(is_poison && is_innocent);
                self.respond_to_poison(daemon, request.0);
            }
            action::Action::ProbeCrash(server) => {
                self.result.crash_probes += 1;
                self.probe(daemon, server, false);
            }
            action::Action::ProbePath(server) => {
                self.result.path_probes += 1;
                self.probe(daemon, server, true);
            }
            action::Action::ReportCrash { fingerprint, run } => self.publish(
                daemon,
                Report::Crash {
                    fingerprint: fingerprint.0,
                    server: run.server.0,
                    run: run.started_millis,
                },
            ),
            action::Action::ReportAcquittal(fingerprint) => self.publish(
                daemon,
                Report::Acquittal {
                    fingerprint: fingerprint.0,
                },
            ),
            action::Action::Quarantine {
                fingerprint,
                duration,
            } => {
                let millis = duration.as_millis() as u64;
                let report = Report::Quarantine {
                    fingerprint: fingerprint.0,
                    millis,
                };
                self.deliver(daemon, report);
                self.publish(daemon, report);
            }
            _ => {}
        }
    }

    fn probe(&mut self, daemon: usize, server: handle::Server, is_path: bool) {
        let probe = Scheduled::Probe {
            daemon,
            server: server.0,
            is_path,
        };
        self.schedule(2 * MS, probe);
    }

    fn publish(&mut self, from: usize, report: Report) {
        for daemon in (0..self.plan.daemons).filter(|daemon| *daemon != from) {
            self.result.reports += 1;
            let delay = self.rng.random_range(1..=MAX_REPORT_MILLIS);
            let delay = Duration::from_millis(delay);
            self.schedule(delay, Scheduled::Report { daemon, report });
        }
    }

    fn deliver(&mut self, daemon: usize, report: Report) {
        let event = match report {
            Report::Crash {
                fingerprint,
                server,
                run,
            } => event::Event::CrashReport {
                fingerprint: handle::Fingerprint(fingerprint),
                run: handle::Run {
                    server: handle::Server(server),
                    started_millis: run,
                },
            },
            Report::Acquittal { fingerprint } => {
                event::Event::Acquittal(handle::Fingerprint(fingerprint))
            }
            Report::Quarantine {
                fingerprint,
                millis,
            } => event::Event::Quarantine {
                fingerprint: handle::Fingerprint(fingerprint),
                expires_at: self.now + Duration::from_millis(millis),
            },
        };
        self.handle(daemon, event);
    }
}
