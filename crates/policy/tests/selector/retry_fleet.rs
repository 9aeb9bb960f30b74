//! The retry budget of a fleet whose daemons know different parts of it, restart, and take turns in
//! the entry sets, while the servers shed what they are sent.

use std::time::Duration;

use monsooncart_policy::selector::{Config, Selector, budget};
use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{action, event, outcome};
use monsooncart_types::{instance, time};

use crate::fixture::{self, MS, relayed_attempts, sent_attempts};

const LIMITS: budget::Limits = budget::Limits {
    share: 0.2,
    slack: 180.0,
    window: Duration::from_secs(10),
    min_daemons: 1,
};

/// Interval between the requests of one daemon.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// A daemon with the time of its start, from which its clock counts.
struct Daemon {
    policy: Selector,
    started_at: time::Time,
    requests: u64,
}

/// Daemons of one service, with the times of all requests and repeated arrivals at servers.
struct Fleet {
    now: time::Time,
    daemons: Vec<Daemon>,
    requests: Vec<time::Time>,
    retries: Vec<time::Time>,
}

fn instance(number: usize) -> instance::Instance {
    instance::Instance(number as u64 + 1)
}

fn start(now: time::Time, number: usize) -> Daemon {
    let config = Config::new(number as u64).instance(instance(number));
    Daemon {
        policy: config.retries(LIMITS).build(),
        started_at: now,
        requests: 0,
    }
}

impl Daemon {
    fn handle(&mut self, now: time::Time, event: event::Event) -> Vec<action::Action> {
        let mut actions = Vec::new();
        let now = time::Time::ZERO + now.since(self.started_at);
        self.policy.handle(now, event, &mut actions);
        actions
    }
}

impl Fleet {
    /// Daemons that have known each other for longer than a minute.
    fn new(count: usize) -> Self {
        let started_at = time::Time::from_millis(1000);
        let mut fleet = Self {
            now: started_at,
            daemons: (0..count).map(|n| start(started_at, n)).collect(),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        fleet.set_entries(&(0..count).collect::<Vec<_>>());
        fleet.now = started_at + Duration::from_secs(90);
        fleet
    }

    /// Lets a daemon know these daemons as those of the entry sets.
    fn set_known(&mut self, daemon: usize, entries: &[usize]) {
        let servers = (0..200).map(fixture::server).collect();
        let event::Event::Inventory(mut inventory) = fixture::inventory(servers) else {
            unreachable!("the fixture returns an inventory");
        };
        inventory.daemons = entries.iter().map(|n| instance(*n)).collect();
        let event = event::Event::Inventory(inventory);
        self.daemons[daemon].handle(self.now, event);
    }

    /// Lets all daemons know these as those of the entry sets.
    fn set_entries(&mut self, entries: &[usize]) {
        for daemon in 0..self.daemons.len() {
            self.set_known(daemon, entries);
        }
    }

    fn restart(&mut self, daemon: usize, entries: &[usize]) {
        self.daemons[daemon] = start(self.now, daemon);
        self.set_known(daemon, entries);
    }

    /// Sends a request to a daemon; each attempt is shed at once.
    fn request(&mut self, daemon: usize) {
        self.requests.push(self.now);
        let daemon = &mut self.daemons[daemon];
        daemon.requests += 1;
        let arrival = event::Arrival {
            max_attempts: 3,
            ..shed_arrival(daemon.requests, daemon.started_at, self.now)
        };
        let mut actions = daemon.handle(self.now, event::Event::Arrive(arrival));
        let mut attempts = 0;
        while let Some(sent) = sent_attempts(&actions).first().copied() {
            attempts += 1;
            actions = daemon.handle(self.now, shed(sent.attempt));
        }
        self.retries.extend((1..attempts).map(|_| self.now));
    }

    /// Sends requests to these daemons for `duration`.
    fn run(&mut self, daemons: &[usize], duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            for daemon in daemons {
                self.request(*daemon);
            }
            self.now = self.now + REQUEST_INTERVAL;
        }
    }

    /// The largest excess of repeated arrivals over the bound in any window that ends at one.
    fn max_excess(&self) -> f64 {
        let count = |events: &[time::Time], end: time::Time| {
            let within = |at: &&time::Time| **at <= end && end.since(**at) < LIMITS.window;
            events.iter().filter(within).count() as f64
        };
        let excess = self.retries.iter().map(|end| {
            let bound = LIMITS.share * count(&self.requests, *end) + LIMITS.slack;
            count(&self.retries, *end) - bound
        });
        excess.fold(f64::MIN, f64::max)
    }
}

fn shed_arrival(number: u64, started_at: time::Time, now: time::Time) -> event::Arrival {
    let mut harness = fixture::harness(Vec::new());
    harness.requests = number - 1;
    harness.now = time::Time::ZERO + now.since(started_at);
    harness.arrival(true)
}

fn shed(attempt: monsooncart_policy::handle::Attempt) -> event::Event {
    event::Event::Finish {
        attempt,
        outcome: outcome::Outcome::Shed { leaving: false },
        replayable: true,
        retry_after: None,
    }
}

/// Guards against daemons that, cut off from each other, each use the whole slack (BUDGET).
#[test]
fn daemons_that_are_cut_off_from_each_other_stay_within_the_retry_budget_together() {
    let mut fleet = Fleet::new(12);

    for daemon in 0..12 {
        fleet.set_known(daemon, &[daemon]);
    }
    fleet.run(
        &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11],
        Duration::from_secs(12),
    );

    assert!(fleet.max_excess() <= 0.0, "{}", fleet.max_excess());
}

/// Guards against a slack that daemons get again with each restart (BUDGET).
#[test]
fn daemons_that_restart_again_and_again_stay_within_the_retry_budget() {
    let all: Vec<usize> = (0..6).collect();
    let mut fleet = Fleet::new(6);

    for _ in 0..6 {
        fleet.run(&all, Duration::from_secs(2));
        for daemon in 0..6 {
            fleet.restart(daemon, &all);
        }
    }

    assert!(fleet.max_excess() <= 0.0, "{}", fleet.max_excess());
}

/// Guards against a slack that each daemon uses as it enters the entry sets, although those that it
/// follows have used theirs (BUDGET).
#[test]
fn daemons_that_take_turns_in_the_entry_sets_stay_within_the_retry_budget() {
    let mut fleet = Fleet::new(36);

    for turn in 0..12 {
        let entries: Vec<usize> = (turn * 3..turn * 3 + 3).collect();
        fleet.set_entries(&entries);
        fleet.run(&entries, Duration::from_secs(1));
    }

    assert!(fleet.max_excess() <= 0.0, "{}", fleet.max_excess());
}

/// Guards against daemons outside the entry sets, whose callers kept an old answer, that use a part of
/// the slack as well (BUDGET).
#[test]
fn daemons_outside_the_entry_sets_stay_within_the_retry_budget() {
    let mut fleet = Fleet::new(36);
    fleet.set_entries(&[0, 1, 2]);

    fleet.run(&(0..36).collect::<Vec<_>>(), Duration::from_secs(5));

    assert!(fleet.max_excess() <= 0.0, "{}", fleet.max_excess());
}

/// Guards against requests that pay for retries at two daemons, as they are relayed (BUDGET).
#[test]
fn relayed_requests_allow_for_no_more_retries_than_others() {
    let mut fleet = Fleet::new(2);
    let [relay, receiver] = [0, 1];

    for _ in 0..200 {
        for _ in 0..10 {
            fleet.request(receiver);
            let daemon = &mut fleet.daemons[relay];
            daemon.requests += 1;
            let arrival = event::Arrival {
                relayed: true,
                max_attempts: 2,
                ..shed_arrival(daemon.requests, daemon.started_at, fleet.now)
            };
            let mut actions = daemon.handle(fleet.now, event::Event::Arrive(arrival));
            assert!(relayed_attempts(&actions).is_empty());
            let mut attempts = 0;
            while let Some(sent) = sent_attempts(&actions).first().copied() {
                attempts += 1;
                actions = daemon.handle(fleet.now, shed(sent.attempt));
            }
            fleet.retries.extend((1..attempts).map(|_| fleet.now));
        }
        fleet.now = fleet.now + 50 * MS;
    }

    assert!(fleet.max_excess() <= 0.0, "{}", fleet.max_excess());
}
