//! Cost of the policy's decisions for one request and one tick, with few and many servers.

use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use monsooncart_policy::balancer::{Balancer, Config};
use monsooncart_policy::service::Policy;
use monsooncart_policy::{action, event, handle, health, inventory, outcome};
use monsooncart_types::time;

const SLOTS_PER_SERVER: u32 = 6;

/// Time between the arrival of a request and its response head.
const RESPONSE_TIME: Duration = Duration::from_millis(1);

fn inventory(servers: u32) -> inventory::Inventory {
    let server = |number| inventory::Server {
        handle: handle::Server(number),
        name: format!("server-{number}")
            .parse()
            .expect("name should be valid"),
        slots: SLOTS_PER_SERVER,
        local: number.is_multiple_of(3),
        leaving: false,
        remaining_warm_up: Duration::ZERO,
        started_millis: 0,
    };
    inventory::Inventory {
        servers: (0..servers).map(server).collect(),
        floor_slots: 0,
        sensitivity: health::Sensitivity::Balanced,
        daemons: (0..36).map(monsooncart_types::instance::Instance).collect(),
        relays: Vec::new(),
        unix_origin: Duration::ZERO,
        latency_objective: Duration::from_millis(200),
    }
}

/// Drives a daemon's policy for one service with simulated time.
struct Driver {
    policy: Balancer,
    now: time::Time,
    requests: u64,
    actions: Vec<action::Action>,
}

impl Driver {
    fn new(servers: u32) -> Self {
        let mut driver = Self {
            policy: Config::new(1).build(),
            now: time::Time::from_millis(1_000),
            requests: 0,
            actions: Vec::new(),
        };
        driver.handle_event(event::Event::Inventory(inventory(servers)));
        (0..1_000).for_each(|_| driver.complete_request());
        driver
    }

    fn handle_event(&mut self, event: event::Event) {
        self.actions.clear();
        self.policy.handle(self.now, event, &mut self.actions);
    }

    fn begin_request(&mut self) -> Option<handle::Attempt> {
        self.requests += 1;
        self.handle_event(event::Event::Arrive(event::Arrival {
            request: handle::Request(self.requests),
            organisation: handle::Organisation(1),
            weight: 1,
            repeatable: true,
            max_attempts: 4,
            route: handle::Route::default(),
            priority: 0,
            objective: None,
            expected_response_bytes: 0,
            deadline: self.now + Duration::from_secs(5),
            fingerprint: Some(handle::Fingerprint(self.requests)),
            relayed: false,
        }));
        match self.actions.first() {
            Some(action::Action::Send { attempt, .. }) => Some(*attempt),
            _ => None,
        }
    }

    /// Processes a request from its arrival to the end of its response.
    fn complete_request(&mut self) {
        let Some(attempt) = self.begin_request() else {
            return;
        };
        self.now = self.now + RESPONSE_TIME;
        let status = 200;
        self.handle_event(event::Event::ResponseHead { attempt, status });
        self.handle_event(event::Event::Finish {
            attempt,
            outcome: outcome::Outcome::Answered(status),
            replayable: false,
            retry_after: None,
        });
    }

    /// Leaves one attempt in flight at each server for a second.
    fn stall_servers(&mut self, servers: u32) {
        for _ in 0..servers {
            self.begin_request();
        }
        self.now = self.now + Duration::from_secs(1);
    }
}

fn bench_requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("policy: arrival, head and finish");
    for servers in [20, 200] {
        let mut driver = Driver::new(servers);
        let id = BenchmarkId::from_parameter(servers);
        group.bench_function(id, |b| b.iter(|| driver.complete_request()));
    }
    group.finish();
}

fn bench_ticks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("policy: tick");
    for servers in [20, 200] {
        let mut idle = Driver::new(servers);
        idle.handle_event(event::Event::Tick);
        let id = BenchmarkId::new("idle", servers);
        group.bench_function(id, |b| b.iter(|| idle.handle_event(event::Event::Tick)));
        let mut stuck = Driver::new(servers);
        stuck.stall_servers(servers);
        let id = BenchmarkId::new("work stuck everywhere", servers);
        group.bench_function(id, |b| b.iter(|| stuck.handle_event(event::Event::Tick)));
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .configure_from_args();
    bench_requests(&mut criterion);
    bench_ticks(&mut criterion);
    criterion.final_summary();
}
