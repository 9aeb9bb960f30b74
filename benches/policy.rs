//! What the decisions about one request and one tick cost, with few and many servers.

use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use monsooncart_policy::balancer::{Balancer, Config};
use monsooncart_policy::service::Policy;
use monsooncart_policy::{action, event, handle, health, inventory, outcome};
use monsooncart_types::time;

/// Slots of each server.
const SLOTS: u32 = 6;

/// Time from one request to the next.
const GAP: Duration = Duration::from_millis(1);

fn inventory(servers: u32) -> inventory::Inventory {
    let server = |number| inventory::Server {
        handle: handle::Server(number),
        name: format!("server-{number}").parse().expect("a name"),
        slots: SLOTS,
        local: number.is_multiple_of(3),
        leaving: false,
        remaining_warm_up: Duration::ZERO,
        started_millis: 0,
    };
    inventory::Inventory {
        servers: (0..servers).map(server).collect(),
        floor_slots: 0,
        sensitivity: health::Sensitivity::Balanced,
        daemons: 36,
        latency_objective: Duration::from_millis(200),
    }
}

/// A daemon's policy of one service, with the time and a count of its requests.
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
        driver.tell(event::Event::Inventory(inventory(servers)));
        (0..1_000).for_each(|_| driver.serve());
        driver
    }

    fn tell(&mut self, event: event::Event) {
        self.actions.clear();
        self.policy.handle(self.now, event, &mut self.actions);
    }

    fn arrive(&mut self) -> Option<handle::Attempt> {
        self.requests += 1;
        self.tell(event::Event::Arrive(event::Arrival {
            request: handle::Request(self.requests),
            organisation: handle::Organisation(1),
            weight: 1,
            repeatable: true,
            attempts: 4,
            priority: 0,
            objective: None,
            expected_response_bytes: 0,
            deadline: self.now + Duration::from_secs(5),
            fingerprint: Some(handle::Fingerprint(self.requests)),
        }));
        match self.actions.first() {
            Some(action::Action::Send { attempt, .. }) => Some(*attempt),
            _ => None,
        }
    }

    /// Lets a request arrive, get its head and end.
    fn serve(&mut self) {
        let Some(attempt) = self.arrive() else {
            return;
        };
        self.now = self.now + GAP;
        let status = 200;
        self.tell(event::Event::ResponseHead { attempt, status });
        self.tell(event::Event::Finish {
            attempt,
            outcome: outcome::Outcome::Answered(status),
            replayable: false,
            retry_after: None,
        });
    }

    /// Puts an old attempt in flight at every server.
    fn load(&mut self, servers: u32) {
        for _ in 0..servers {
            self.arrive();
        }
        self.now = self.now + Duration::from_secs(1);
    }
}

fn requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("policy: arrival, head and finish");
    for servers in [20, 200] {
        let mut driver = Driver::new(servers);
        let id = BenchmarkId::from_parameter(servers);
        group.bench_function(id, |b| b.iter(|| driver.serve()));
    }
    group.finish();
}

fn ticks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("policy: tick");
    for servers in [20, 200] {
        let mut idle = Driver::new(servers);
        idle.tell(event::Event::Tick);
        let id = BenchmarkId::new("idle", servers);
        group.bench_function(id, |b| b.iter(|| idle.tell(event::Event::Tick)));
        let mut stuck = Driver::new(servers);
        stuck.load(servers);
        let id = BenchmarkId::new("work stuck everywhere", servers);
        group.bench_function(id, |b| b.iter(|| stuck.tell(event::Event::Tick)));
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .configure_from_args();
    requests(&mut criterion);
    ticks(&mut criterion);
    criterion.final_summary();
}
