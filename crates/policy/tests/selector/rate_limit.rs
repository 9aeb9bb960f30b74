//! A server in need announces a rate limit for all daemons together.
//!
//! Pattern: many daemons with little traffic each, one limited server among healthy ones. Each
//! daemon alone stays far below the limit, and their sum exceeds it.

use std::time::Duration;

use monsooncart_policy::selector::rate_limit::{Fleet, Limiter};
use monsooncart_policy::selector::{Config, Selector};
use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{action, event, handle, inventory, outcome, rank};
use monsooncart_types::{instance, rate, time};

use crate::fixture::{self, MS};

const SERVERS: u32 = 4;
const LIMITED: handle::Server = handle::Server(0);
const START: time::Time = time::Time::from_millis(1_000_000);
const STEP: Duration = Duration::from_millis(10);

/// Time from the start of a request at a server to its response.
const WORK: Duration = Duration::from_millis(50);

/// Time until a report of one daemon reaches the others.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// When the server starts and stops announcing its limit, and when the run ends, from its start.
const LIMITED_FROM: Duration = Duration::from_secs(3);
const LIMITED_UNTIL: Duration = Duration::from_secs(15);
const END: Duration = Duration::from_secs(22);

/// Time after which the limit holds, and the window in which requests are counted.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
const COUNTED_WINDOW: Duration = Duration::from_secs(4);

/// Parameters of a run.
#[derive(Clone, Copy)]
struct Scenario {
    daemons: u64,
    limit: rate::Rate,
    requests_per_second_per_daemon: f64,
    seed: u64,
    /// Whether daemons know each other; otherwise each one applies the whole limit alone.
    shared: bool,
    reports_delivered: bool,
    /// Maximum difference between the clocks of two daemons.
    clock_skew: Duration,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            daemons: 32,
            limit: rate::Rate(1.1),
            requests_per_second_per_daemon: 4.0,
            seed: 1,
            shared: true,
            reports_delivered: true,
            clock_skew: Duration::ZERO,
        }
    }
}

/// A response on its way to a daemon.
struct Response {
    daemon: usize,
    attempt: handle::Attempt,
    due_at: time::Time,
    limit: Option<rate::Rate>,
}

/// A report on its way to all daemons but its sender.
struct Report {
    sender: usize,
    due_at: time::Time,
    limit: Option<rate::Rate>,
}

/// A fleet of selectors before the same servers.
struct Simulation {
    scenario: Scenario,
    selectors: Vec<Selector>,
    now: time::Time,
    responses: Vec<Response>,
    reports: Vec<Report>,
    /// When the limited server received requests, from the start of the run.
    arrivals: Vec<Duration>,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let instances: Vec<_> = (1..=scenario.daemons).map(instance::Instance).collect();
        let skew_millis = scenario.clock_skew.as_millis() as u64;
        let create = |own: &instance::Instance| {
            let mut selector = Config::new(scenario.seed * 1000 + own.0)
                .instance(*own)
                .build();
            let random = rank::hash(format!("{} {}", scenario.seed, own).as_bytes());
            let inventory = inventory::Inventory {
                servers: (0..SERVERS).map(fixture::server).collect(),
                floor_slots: 0,
                sensitivity: monsooncart_policy::health::Sensitivity::Fast,
                daemons: match scenario.shared {
                    true => instances.clone(),
                    false => vec![*own],
                },
                relays: Vec::new(),
                unix_origin: Duration::from_secs(1_700_000_000)
                    + Duration::from_millis(random % (skew_millis + 1)),
                latency_objective: 1000 * MS,
            };
            selector.handle(START, event::Event::Inventory(inventory), &mut Vec::new());
            selector
        };
        Self {
            scenario,
            selectors: instances.iter().map(create).collect(),
            now: START,
            responses: Vec::new(),
            reports: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    fn handle(&mut self, daemon: usize, event: event::Event) {
        let mut actions = Vec::new();
        self.selectors[daemon].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                action::Action::Send {
                    attempt, server, ..
                } => self.deliver_request(daemon, attempt, server),
                action::Action::ReportRateLimit { limit, .. }
                    if self.scenario.reports_delivered =>
                {
                    self.reports.push(Report {
                        sender: daemon,
                        due_at: self.now + REPORT_DELAY,
                        limit,
                    });
                }
                _ => {}
            }
        }
    }

    fn deliver_request(&mut self, daemon: usize, attempt: handle::Attempt, server: handle::Server) {
        let responds_at = self.now.since(START) + WORK;
        let is_limited = server == LIMITED && (LIMITED_FROM..LIMITED_UNTIL).contains(&responds_at);
        if server == LIMITED {
            self.arrivals.push(self.now.since(START));
        }
        self.responses.push(Response {
            daemon,
            attempt,
            due_at: self.now + WORK,
            limit: is_limited.then_some(self.scenario.limit),
        });
    }

    fn run(mut self) -> Vec<Duration> {
        let mut requests = 0;
        let probability = self.scenario.requests_per_second_per_daemon * STEP.as_secs_f64();
        while self.now.since(START) < END {
            self.now = self.now + STEP;
            let now = self.now;
            let is_due = |r: &mut Response| r.due_at <= now;
            let responses: Vec<_> = self.responses.extract_if(.., is_due).collect();
            for response in responses {
                let (attempt, limit) = (response.attempt, response.limit);
                self.handle(response.daemon, event::Event::RateLimit { attempt, limit });
                let finish = event::Event::Finish {
                    attempt,
                    outcome: outcome::Outcome::Answered(200),
                    replayable: false,
                    retry_after: None,
                };
                self.handle(response.daemon, finish);
            }
            let is_due = |r: &mut Report| r.due_at <= now;
            let reports: Vec<_> = self.reports.extract_if(.., is_due).collect();
            for report in reports {
                for daemon in (0..self.selectors.len()).filter(|d| *d != report.sender) {
                    let event = event::Event::PeerRateLimit {
                        server: LIMITED,
                        started_millis: 1,
                        limit: report.limit,
                    };
                    self.handle(daemon, event);
                }
            }
            for daemon in 0..self.selectors.len() {
                let key = format!("{} {daemon} {}", self.scenario.seed, self.now);
                if (rank::hash(key.as_bytes()) as f64 / u64::MAX as f64) < probability {
                    requests += 1;
                    let arrival = self.arrival(requests);
                    self.handle(daemon, event::Event::Arrive(arrival));
                }
            }
        }
        self.arrivals
    }

    fn arrival(&self, number: u64) -> event::Arrival {
        event::Arrival {
            request: handle::Request(number),
            organisation: handle::Organisation(0),
            weight: 1,
            repeatable: number.is_multiple_of(2),
            max_attempts: 2,
            route: handle::Route::default(),
            priority: 1,
            objective: Some(800 * MS),
            expected_response_bytes: 1000,
            deadline: self.now + 4000 * MS,
            fingerprint: None,
            relayed: false,
        }
    }
}

/// Most requests in a counted window while the limit holds.
fn most_in_window(arrivals: &[Duration]) -> usize {
    let holds = |at: &&Duration| (LIMITED_FROM + STABILITY_WINDOW..LIMITED_UNTIL).contains(*at);
    let counted: Vec<Duration> = arrivals.iter().filter(holds).copied().collect();
    let in_window = |start: &Duration| {
        let is_in = |at: &&Duration| **at >= *start && **at - *start < COUNTED_WINDOW;
        counted.iter().filter(is_in).count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

/// Requests that the users' rule allows in a counted window.
fn allowed_in_window(limit: rate::Rate) -> f64 {
    1.5 * limit.0 * COUNTED_WINDOW.as_secs_f64() + 5.0
}

fn count_within(arrivals: &[Duration], from: Duration, until: Duration) -> f64 {
    arrivals
        .iter()
        .filter(|at| (from..until).contains(*at))
        .count() as f64
}

fn assert_within_limit(scenario: Scenario) {
    let arrivals = Simulation::new(scenario).run();

    let most = most_in_window(&arrivals);
    let allowed = allowed_in_window(scenario.limit);
    assert!(
        most as f64 <= allowed,
        "seed {}: {most} requests in a window, {allowed} allowed",
        scenario.seed
    );
}

/// Guards against a limit that each daemon keeps alone, or none keeps (LIMIT).
#[test]
fn all_daemons_together_keep_to_the_rate_limit_of_a_server() {
    for seed in 0..20 {
        for limit in [0.3, 1.1, 1.9, 6.5] {
            assert_within_limit(Scenario {
                seed,
                limit: rate::Rate(limit),
                ..Scenario::default()
            });
        }
    }
}

#[test]
fn the_rate_limit_holds_among_daemons_that_learn_it_only_from_responses_to_themselves() {
    for seed in 0..20 {
        let scenario = Scenario {
            seed,
            reports_delivered: false,
            requests_per_second_per_daemon: 20.0,
            ..Scenario::default()
        };
        assert_within_limit(scenario);
    }
}

#[test]
fn the_rate_limit_holds_among_daemons_whose_clocks_differ() {
    for seed in 0..20 {
        assert_within_limit(Scenario {
            seed,
            clock_skew: Duration::from_millis(500),
            ..Scenario::default()
        });
    }
}

#[test]
fn the_simulation_notices_daemons_that_do_not_share_the_limit() {
    let scenario = Scenario {
        shared: false,
        ..Scenario::default()
    };

    let arrivals = Simulation::new(scenario).run();

    assert!(most_in_window(&arrivals) as f64 > allowed_in_window(scenario.limit));
}

#[test]
fn a_limited_server_receives_requests_and_all_of_its_share_after_the_limit() {
    for seed in 0..10 {
        let scenario = Scenario {
            seed,
            limit: rate::Rate(2.0),
            ..Scenario::default()
        };

        let arrivals = Simulation::new(scenario).run();

        let limited = (LIMITED_UNTIL - LIMITED_FROM).as_secs_f64();
        let received = count_within(&arrivals, LIMITED_FROM, LIMITED_UNTIL);
        assert!(received >= 0.3 * scenario.limit.0 * limited, "{received}");
        let share =
            scenario.daemons as f64 * scenario.requests_per_second_per_daemon / f64::from(SERVERS);
        let settled = LIMITED_UNTIL + STABILITY_WINDOW;
        let received = count_within(&arrivals, settled, END);
        let expected = share * (END - settled).as_secs_f64();
        assert!(received >= 0.5 * expected, "{received} of {expected}");
    }
}

/// Requests that all daemons may send at `now`.
fn permitted(limit: f64, daemons: u64, now: time::Time) -> u64 {
    let instances: Vec<_> = (1..=daemons).map(instance::Instance).collect();
    let count = |own: &instance::Instance| {
        let fleet = Fleet {
            own: *own,
            daemons: instances.clone(),
            unix_origin: Duration::ZERO,
        };
        let name = "server-0".parse().expect("a name");
        let mut limiter = Limiter::new(now, &name, rate::Rate(limit));
        limiter.advance(now, &fleet);
        let mut permitted = 0;
        while limiter.allows_request() && permitted < 1_000_000 {
            limiter.record_sent();
            permitted += 1;
        }
        permitted
    };
    instances.iter().map(count).sum()
}

#[test]
fn permits_of_an_interval_add_up_to_the_limit() {
    for (limit, daemons) in [
        (0.0, 5),
        (0.5, 3),
        (1.0, 40),
        (7.3, 1),
        (50.0, 12),
        (900.0, 3),
    ] {
        let seconds = 40;
        let intervals = (100..100 + seconds).map(|s| time::Time::from_millis(s * 1000));

        let total: u64 = intervals.map(|now| permitted(limit, daemons, now)).sum();

        let expected = f64::max(limit, 0.25) * seconds as f64;
        assert!(
            total as f64 <= expected + 1.0,
            "{limit}: {total} of {expected}"
        );
        assert!(
            total as f64 >= 0.85 * expected - 1.0,
            "{limit}: {total} of {expected}"
        );
    }
}

#[test]
fn any_limit_is_finite_work_and_none_stops_all_requests() {
    for limit in [0.0, f64::NAN, f64::INFINITY, f64::MAX, 1e-300] {
        let intervals = (100..108).map(|s| time::Time::from_millis(s * 1000));

        let total: u64 = intervals.map(|now| permitted(limit, 2, now)).sum();

        assert!(total > 0, "{limit}");
    }
}

#[test]
fn another_run_of_a_server_is_not_limited() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    harness.handle(event::Event::PeerRateLimit {
        server: LIMITED,
        started_millis: 1,
        limit: Some(rate::Rate(0.0)),
    });
    let refusals: usize = (0..20)
        .map(|_| fixture::refusals(&harness.arrive(true)).len())
        .sum();

    harness.handle(fixture::inventory(vec![inventory::Server {
        started_millis: 2,
        ..fixture::server(0)
    }]));
    harness.handle(event::Event::PeerRateLimit {
        server: LIMITED,
        started_millis: 1,
        limit: Some(rate::Rate(0.0)),
    });

    assert!(refusals > 0, "the first run was not limited");
    assert_eq!(fixture::sent_attempts(&harness.arrive(true)).len(), 1);
}

/// Guards against a server whose entry expires and returns, and which then receives a burst.
#[test]
fn the_rate_limit_outlasts_the_removal_of_the_server_from_the_configuration() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    harness.handle(event::Event::PeerRateLimit {
        server: LIMITED,
        started_millis: 1,
        limit: Some(rate::Rate(0.0)),
    });

    harness.handle(fixture::inventory(Vec::new()));
    harness.advance(5000 * MS);
    harness.handle(fixture::inventory(vec![fixture::server(0)]));

    let sent: usize = (0..20)
        .map(|_| fixture::sent_attempts(&harness.arrive(true)).len())
        .sum();
    assert!(sent <= 1, "{sent} requests at once");
}
