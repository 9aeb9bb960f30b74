//! Servers without requests while others fail: a fleet at low demand, whose daemons restart, stand
//! still, or hear nothing of each other.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use monsooncart_policy::selector::{Config, Selector};
use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{event, handle, outcome, rank};
use monsooncart_types::{instance, time};

use crate::fixture::{self, MS};

const SERVERS: u32 = 11;
const DAEMONS: usize = 4;

/// Time between two requests of the whole fleet.
const REQUEST_INTERVAL: Duration = Duration::from_millis(17);

const WORK: Duration = Duration::from_millis(180);

/// Time until the daemons of a data centre hear of each other's attempts.
const REPORT_DELAY: Duration = Duration::from_millis(25);

/// Of a thousand attempts, this many fail at servers that are healthy otherwise.
const FAILED_PER_THOUSAND: u64 = 15;

/// Length of a window in which a share of the healthy servers must get requests.
const WINDOW: Duration = Duration::from_secs(2);

/// Share of the healthy servers that must get requests in a window.
const FLOOR_SHARE: f64 = 0.7;

/// Time for which a server that failed by itself does not count as healthy.
const FAILURE_TIME: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    /// Neither handles anything nor gets requests; those that it has are answered later.
    Frozen,
    /// Neither hears of other daemons nor is heard.
    CutOff,
}

struct Daemon {
    policy: Selector,
    state: State,
    requests: u64,
}

/// An attempt at a server.
struct Job {
    daemon: usize,
    attempt: handle::Attempt,
    server: u32,
    ends_at: time::Time,
}

/// A report of one daemon on its way to the others.
struct Report {
    from: usize,
    digests: Vec<(handle::Server, event::Digest)>,
    arrives_at: time::Time,
}

/// Daemons of one data centre before the servers of one service.
struct Fleet {
    now: time::Time,
    daemons: Vec<Daemon>,
    starts: u64,
    sent: u64,
    /// Of a hundred requests, this many are rejected by an allowance and never reach a policy.
    rejected_percent: u64,
    jobs: VecDeque<Job>,
    reports: VecDeque<Report>,
    /// Attempts with their times and servers.
    attempts: Vec<(time::Time, u32)>,
    /// Failures with their times and servers.
    failures: Vec<(time::Time, u32)>,
}

fn start(number: usize, seed: u64) -> Daemon {
    let config = Config::new(seed).instance(instance::Instance(number as u64 + 1));
    Daemon {
        policy: config.covers_servers(true).waits(true).build(),
        state: State::Running,
        requests: 0,
    }
}

fn inventory() -> event::Event {
    let servers = (0..SERVERS).map(fixture::server).collect();
    let event::Event::Inventory(mut inventory) = fixture::inventory(servers) else {
        unreachable!("the fixture returns an inventory");
    };
    inventory.daemons = (1..=DAEMONS as u64).map(instance::Instance).collect();
    event::Event::Inventory(inventory)
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Self {
            now: time::Time::from_millis(60_000),
            daemons: Vec::new(),
            starts: seed * 1000,
            sent: 0,
            rejected_percent: 0,
            jobs: VecDeque::new(),
            reports: VecDeque::new(),
            attempts: Vec::new(),
            failures: Vec::new(),
        };
        for number in 0..DAEMONS {
            let daemon = start(number, fleet.starts + number as u64);
            fleet.daemons.push(daemon);
            fleet.handle(number, inventory());
        }
        fleet
    }

    /// Lets a daemon handle an event, and starts the attempts that it sends.
    fn handle(&mut self, daemon: usize, event: event::Event) {
        let mut actions = Vec::new();
        let policy = &mut self.daemons[daemon].policy;
        policy.handle(self.now, event, &mut actions);
        for sent in fixture::sent_attempts(&actions) {
            self.attempts.push((self.now, sent.server.0));
            self.jobs.push_back(Job {
                daemon,
                attempt: sent.attempt,
                server: sent.server.0,
                ends_at: self.now + WORK,
            });
        }
    }

    fn restart(&mut self, daemon: usize) {
        self.starts += 1;
        self.daemons[daemon] = start(daemon, self.starts);
        self.handle(daemon, inventory());
        self.jobs.retain(|job| job.daemon != daemon);
    }

    fn set_states(&mut self, daemons: &[usize], state: State) {
        for daemon in daemons {
            self.daemons[*daemon].state = state;
        }
    }

    /// Whether the result of an attempt at a healthy server is a failure.
    fn fails(&self) -> bool {
        rank::hash(&(self.starts << 32 | self.sent).to_be_bytes()) % 1000 < FAILED_PER_THOUSAND
    }

    fn send(&mut self) {
        self.sent += 1;
        if rank::hash(&self.sent.to_le_bytes()) % 100 < self.rejected_percent {
            return;
        }
        let running = |daemon: &usize| self.daemons[*daemon].state != State::Frozen;
        let running: Vec<_> = (0..DAEMONS).filter(running).collect();
        let pick = rank::hash(&self.sent.to_be_bytes()) as usize % running.len();
        let daemon = running[pick];
        self.daemons[daemon].requests += 1;
        let mut harness = fixture::harness(Vec::new());
        harness.requests = self.daemons[daemon].requests;
        harness.now = self.now;
        let arrival = harness.arrival(false);
        self.handle(daemon, event::Event::Arrive(arrival));
    }

    fn finish_jobs(&mut self) {
        while self.jobs.front().is_some_and(|j| j.ends_at <= self.now) {
            let Some(job) = self.jobs.pop_front() else {
                return;
            };
            if self.daemons[job.daemon].state == State::Frozen {
                let ends_at = self.now + WORK;
                self.jobs.push_back(Job { ends_at, ..job });
                continue;
            }
            self.sent += 1;
            let status = match self.fails() {
                true => {
                    self.failures.push((self.now, job.server));
                    500
                }
                false => 200,
            };
            let finish = event::Event::Finish {
                attempt: job.attempt,
                outcome: outcome::Outcome::Answered(status),
                replayable: true,
                retry_after: None,
            };
            self.handle(job.daemon, finish);
        }
    }

    fn exchange_reports(&mut self) {
        for from in 0..DAEMONS {
            if self.daemons[from].state == State::Running {
                let digests = self.daemons[from].policy.digest(self.now);
                self.reports.push_back(Report {
                    from,
                    digests,
                    arrives_at: self.now + REPORT_DELAY,
                });
            }
        }
        let is_due = |report: &Report| report.arrives_at <= self.now;
        let due = self.reports.iter().take_while(|r| is_due(r)).count();
        let due: Vec<_> = self.reports.drain(..due).collect();
        for report in due {
            for to in (0..DAEMONS).filter(|to| *to != report.from) {
                if self.daemons[to].state == State::Running {
                    let evidence = event::Event::Evidence {
                        from: instance::Instance(report.from as u64 + 1),
                        digests: report.digests.clone(),
                    };
                    self.handle(to, evidence);
                }
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + REQUEST_INTERVAL;
            self.finish_jobs();
            self.exchange_reports();
            self.send();
        }
    }

    /// Least share of the healthy servers that got a request in any window that begins at `from` or later.
    fn least_share(&self, from: time::Time) -> f64 {
        let mut least = 1.0_f64;
        let mut begin = from;
        while begin + WINDOW <= self.now {
            let end = begin + WINDOW;
            let used = |&&(at, _): &&(time::Time, u32)| begin <= at && at < end;
            let used: BTreeSet<_> = self.attempts.iter().filter(used).map(|a| a.1).collect();
            let failed = |&&(at, _): &&(time::Time, u32)| begin < at + FAILURE_TIME && at < end;
            let failed: BTreeSet<_> = self.failures.iter().filter(failed).map(|f| f.1).collect();
            let healthy = (0..SERVERS).filter(|server| !failed.contains(server));
            let (used, healthy) = healthy.fold((0, 0), |(in_use, all), server| {
                (in_use + u32::from(used.contains(&server)), all + 1)
            });
            least = least.min(f64::from(used) / f64::from(healthy.max(1)));
            begin = begin + 100 * MS;
        }
        least
    }
}

/// Runs a fleet with trouble at its daemons for each of some seeds; returns the least share of the
/// healthy servers in use.
fn least_share(trouble: impl Fn(&mut Fleet)) -> f64 {
    let shares = (1..=5).map(|seed| {
        let mut fleet = Fleet::new(seed);
        fleet.run(Duration::from_secs(4));
        let from = fleet.now;
        trouble(&mut fleet);
        fleet.least_share(from)
    });
    shares.fold(1.0, f64::min)
}

/// Guards against healthy servers without requests although no daemon has seen many failures (FLOOR).
#[test]
fn healthy_servers_get_requests_while_few_failures_are_seen() {
    let share = least_share(|fleet| fleet.run(Duration::from_secs(20)));

    assert!(share >= FLOOR_SHARE, "{share:.2} of the servers");
}

/// Guards against healthy servers without requests while an allowance rejects a part of the requests,
/// which no policy sees (FLOOR).
#[test]
fn healthy_servers_get_requests_while_an_allowance_rejects_many() {
    let share = least_share(|fleet| {
        fleet.rejected_percent = 45;
        fleet.run(Duration::from_secs(20));
    });

    assert!(share >= FLOOR_SHARE, "{share:.2} of the servers");
}

/// Guards against servers whose requests were the task of daemons that are lost, all but one (FLOOR).
#[test]
fn healthy_servers_get_requests_while_one_daemon_is_left() {
    let share = least_share(|fleet| {
        fleet.set_states(&[0, 1, 2], State::Frozen);
        fleet.run(Duration::from_secs(12));
    });

    assert!(share >= FLOOR_SHARE, "{share:.2} of the servers");
}

/// Guards against servers whose requests were one daemon's task, and that is gone (FLOOR).
#[test]
fn healthy_servers_get_requests_while_daemons_restart() {
    let share = least_share(|fleet| {
        for round in 0..8 {
            fleet.restart(round % DAEMONS);
            fleet.run(Duration::from_millis(1500));
        }
    });

    assert!(share >= FLOOR_SHARE, "{share:.2} of the servers");
}

/// Guards against servers whose requests were one daemon's task, and that stands still (FLOOR).
#[test]
fn healthy_servers_get_requests_while_daemons_stand_still() {
    let share = least_share(|fleet| {
        for round in 0..4 {
            let frozen = [round % DAEMONS, (round + 1) % DAEMONS];
            fleet.set_states(&frozen, State::Frozen);
            fleet.run(Duration::from_secs(3));
            fleet.set_states(&frozen, State::Running);
            fleet.run(Duration::from_secs(1));
        }
    });

    assert!(share >= FLOOR_SHARE, "{share:.2} of the servers");
}

/// Guards against servers that a daemon which is cut off was to use (FLOOR).
#[test]
fn healthy_servers_get_requests_while_daemons_hear_nothing_of_each_other() {
    let share = least_share(|fleet| {
        for daemon in 0..3 {
            fleet.daemons[daemon].state = State::CutOff;
            fleet.run(Duration::from_secs(4));
        }
    });

    assert!(share >= FLOOR_SHARE, "{share:.2} of the servers");
}
