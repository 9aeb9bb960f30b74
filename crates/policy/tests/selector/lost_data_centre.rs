//! Two data centres, one of which loses its daemons or its connections: its servers are healthy and get
//! requests of the other one's daemons.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use monsooncart_policy::selector::{Config, Selector, report};
use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{event, handle, inventory, outcome, rank};
use monsooncart_types::{id, instance, time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{self, MS};

const SEEDS: std::ops::Range<u64> = 0..40;

/// Servers of a data centre.
const SERVERS: u32 = 40;

/// Daemons of a data centre.
const DAEMONS: usize = 2;

/// Time between two requests of the callers of both data centres.
const REQUEST_INTERVAL: Duration = Duration::from_millis(4);

/// Of a hundred requests, this many can be retried.
const REPEATABLE_PERCENT: u64 = 25;

/// Time until a daemon hears a report.
const REPORT_DELAY: Duration = Duration::from_millis(25);

/// Time after which a connection that cannot be opened is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Length of a window in which a share of the healthy servers must get requests.
const WINDOW: Duration = Duration::from_secs(2);

/// Share of the healthy servers that must get requests in a window.
const FLOOR_SHARE: f64 = 0.7;

struct Daemon {
    policy: Selector,
    reports: report::Reports,
    is_frozen: bool,
    requests: u64,
}

/// An attempt at a server.
struct Job {
    daemon: usize,
    attempt: handle::Attempt,
    outcome: outcome::Outcome,
    ends_at: time::Time,
}

struct Report {
    to: usize,
    from: usize,
    digests: Vec<(handle::Server, event::Digest)>,
    arrives_at: time::Time,
}

/// An attempt as its daemon sent it.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    sent_at: time::Time,
    daemon: usize,
    server: u32,
}

struct Fleet {
    now: time::Time,
    rng: SmallRng,
    daemons: Vec<Daemon>,
    /// Whether the data centres are connected to each other.
    connected: bool,
    /// Whether the daemons report to the other data centre which servers are in use.
    reports_use: bool,
    sent: u64,
    jobs: Vec<Job>,
    reports: VecDeque<Report>,
    attempts: Vec<Attempt>,
}

const fn data_centre_of(daemon: usize) -> usize {
    daemon / DAEMONS
}

const fn is_local(daemon: usize, server: u32) -> bool {
    data_centre_of(daemon) == (server / SERVERS) as usize
}

fn name(server: handle::Server) -> id::Server {
    fixture::server(server.0).name
}

fn number(name: &id::Server) -> handle::Server {
    let number = name.as_str().rsplit('-').next().expect("a number");
    handle::Server(number.parse().expect("a number"))
}

fn inventory(daemon: usize) -> event::Event {
    let server = |number| inventory::Server {
        local: is_local(daemon, number),
        ..fixture::server(number)
    };
    fixture::inventory((0..2 * SERVERS).map(server).collect())
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Self {
            now: time::Time::from_millis(60_000),
            rng: SmallRng::seed_from_u64(seed),
            daemons: Vec::new(),
            connected: true,
            reports_use: true,
            sent: 0,
            jobs: Vec::new(),
            reports: VecDeque::new(),
            attempts: Vec::new(),
        };
        for number in 0..2 * DAEMONS {
            let config = Config::new(seed * 100 + number as u64);
            let config = config.instance(instance::Instance(number as u64 + 1));
            fleet.daemons.push(Daemon {
                policy: config.covers_servers(true).waits(true).build(),
                reports: report::Reports::default(),
                is_frozen: false,
                requests: 0,
            });
            fleet.handle(number, inventory(number));
        }
        fleet
    }

    fn handle(&mut self, daemon: usize, event: event::Event) {
        let mut actions = Vec::new();
        let policy = &mut self.daemons[daemon].policy;
        policy.handle(self.now, event, &mut actions);
        for sent in fixture::sent_attempts(&actions) {
            let server = sent.server.0;
            let (outcome, time) = match self.connected || is_local(daemon, server) {
                true => (outcome::Outcome::Answered(200), 180 * MS),
                false => (outcome::Outcome::Unsent, CONNECT_TIMEOUT),
            };
            self.attempts.push(Attempt {
                sent_at: self.now,
                daemon,
                server,
            });
            self.jobs.push(Job {
                daemon,
                attempt: sent.attempt,
                outcome,
                ends_at: self.now + time,
            });
        }
    }

    /// Sends a request of a caller to a daemon of its data centre; it is lost if that daemon is frozen.
    fn send(&mut self) {
        self.sent += 1;
        let daemon = self.rng.random_range(0..self.daemons.len());
        if self.daemons[daemon].is_frozen {
            return;
        }
        let is_repeatable = rank::hash(&self.sent.to_le_bytes()) % 100 < REPEATABLE_PERCENT;
        self.daemons[daemon].requests += 1;
        let mut harness = fixture::harness(Vec::new());
        harness.requests = self.daemons[daemon].requests;
        harness.now = self.now;
        let arrival = harness.arrival(is_repeatable);
        self.handle(daemon, event::Event::Arrive(arrival));
    }

    fn finish_jobs(&mut self) {
        let now = self.now;
        let daemons = &self.daemons;
        let is_due = |job: &Job| job.ends_at <= now && !daemons[job.daemon].is_frozen;
        let (due, pending): (Vec<_>, _) =
            std::mem::take(&mut self.jobs).into_iter().partition(is_due);
        self.jobs = pending;
        for job in due {
            let finish = event::Event::Finish {
                attempt: job.attempt,
                outcome: job.outcome,
                replayable: true,
                retry_after: None,
            };
            self.handle(job.daemon, finish);
        }
    }

    fn report(&mut self, from: usize, to: usize, digests: Vec<(handle::Server, event::Digest)>) {
        if self.connected || data_centre_of(from) == data_centre_of(to) {
            self.reports.push_back(Report {
                to,
                from,
                digests,
                arrives_at: self.now + REPORT_DELAY,
            });
        }
    }

    fn exchange_reports(&mut self) {
        for from in 0..self.daemons.len() {
            if self.daemons[from].is_frozen {
                continue;
            }
            let now = self.now;
            let daemon = &mut self.daemons[from];
            let local = daemon.policy.digest(now);
            let named: Vec<_> = local.iter().map(|(s, d)| (name(*s), *d)).collect();
            daemon.reports.add(&named);
            let remote = daemon.reports.take(now, |_| fixture::server(0).slots);
            let used = daemon.reports.take_use(now).filter(|_| self.reports_use);
            let numbered = |digests: Vec<(id::Server, event::Digest)>| -> Vec<_> {
                digests.iter().map(|(s, d)| (number(s), *d)).collect()
            };
            let (remote, used) = (numbered(remote), used.map(numbered));
            for to in (0..self.daemons.len()).filter(|to| *to != from) {
                if data_centre_of(from) == data_centre_of(to) {
                    self.report(from, to, local.clone());
                    continue;
                }
                if !remote.is_empty() {
                    self.report(from, to, remote.clone());
                }
                if let Some(used) = &used {
                    self.report(from, to, used.clone());
                }
            }
        }
        while self
            .reports
            .front()
            .is_some_and(|r| r.arrives_at <= self.now)
        {
            let Some(report) = self.reports.pop_front() else {
                return;
            };
            if !self.daemons[report.to].is_frozen {
                let evidence = event::Event::Evidence {
                    from: instance::Instance(report.from as u64 + 1),
                    digests: report.digests,
                };
                self.handle(report.to, evidence);
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

    /// Least share of the servers that got a request in any window that begins at `from` or later.
    fn least_share(&self, from: time::Time) -> f64 {
        let mut least = 1.0_f64;
        let mut begin = from;
        while begin + WINDOW <= self.now {
            let is_within = |a: &&Attempt| begin <= a.sent_at && a.sent_at < begin + WINDOW;
            let used = self.attempts.iter().filter(is_within).map(|a| a.server);
            let used: BTreeSet<_> = used.collect();
            least = least.min(used.len() as f64 / f64::from(2 * SERVERS));
            begin = begin + 50 * MS;
        }
        least
    }

    /// Attempts since `from` at servers of the other data centre.
    fn remote_attempts(&self, from: time::Time) -> Vec<Attempt> {
        let attempts = self.attempts.iter().filter(|a| a.sent_at >= from);
        let remote = attempts.filter(|a| !is_local(a.daemon, a.server));
        remote.copied().collect()
    }
}

/// Guards against healthy servers without requests because no daemon of their data centre is left,
/// while the other data centre serves its callers (FLOOR).
#[test]
fn servers_whose_daemons_are_lost_get_requests_of_the_other_data_centre() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(Duration::from_secs(5));
        fleet.run(Duration::from_millis(37 * seed));
        let from = fleet.now;
        // The daemons of one data centre, and with odd seeds one of the other.
        let left = 2 - seed as usize % 2;
        for daemon in &mut fleet.daemons[..2 * DAEMONS - left] {
            daemon.is_frozen = true;
        }

        fleet.run(Duration::from_secs(6));

        let share = fleet.least_share(from);
        assert!(
            share >= FLOOR_SHARE,
            "seed {seed}: {share:.2} of the servers"
        );
    }
}

#[test]
fn few_requests_go_to_the_other_data_centre_while_daemons_are_left_in_each() {
    for seed in SEEDS {
        let counts = [false, true].map(|reports_use| {
            let mut fleet = Fleet::new(seed);
            fleet.reports_use = reports_use;
            fleet.run(Duration::from_secs(15));
            fleet.remote_attempts(time::Time::ZERO).len()
        });

        let [without, with] = counts;
        assert!(with <= without, "seed {seed}: {with} after {without}");
    }
}

#[test]
fn data_centres_without_a_connection_delay_few_requests_of_each_other() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(Duration::from_secs(5));
        let from = fleet.now;
        fleet.connected = false;

        fleet.run(Duration::from_secs(10));

        let delayed = fleet.remote_attempts(from);
        let by_daemon = |daemon| delayed.iter().filter(|a| a.daemon == daemon).count();
        let delayed: Vec<_> = (0..fleet.daemons.len()).map(by_daemon).collect();
        let is_few = |count: &usize| *count <= SERVERS as usize;
        assert!(delayed.iter().all(is_few), "seed {seed}: {delayed:?}");
    }
}
