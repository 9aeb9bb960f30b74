//! Benchmarks of decisions whose cost grows with the number of daemons.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use monsooncart_policy::rollout::{tree, watcher};
use monsooncart_policy::selector::rate_limit;
use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{action, event, handle, health, inventory, outcome, rank, selector};
use monsooncart_types::{id, instance, rate, time};

/// Daemons of a data centre today, of a large one, and at the size ahead.
const MEMBER_COUNTS: [u32; 3] = [36, 61, 225];

/// Daemons in all entry sets: on a small and a large site, and at the size ahead.
const SHARING_COUNTS: [u64; 3] = [12, 110, 2_160];

struct Member {
    name: id::Vm,
    capacity: u32,
}

impl rank::Ranked for Member {
    fn name(&self) -> &id::Vm {
        &self.name
    }
}

impl tree::Node for Member {
    fn capacity(&self) -> u32 {
        self.capacity
    }
}

/// Members of which one in eighteen has twenty times the capacity of the others.
fn members(count: u32) -> Vec<Member> {
    let member = |number: u32| Member {
        name: format!("edge-{number}").parse().expect("a name"),
        capacity: if number.is_multiple_of(18) { 500 } else { 25 },
    };
    (0..count).map(member).collect()
}

/// Servers of the service whose path is lost.
const SERVER_COUNT: u32 = 480;

/// A service with a lost path.
struct LostPath {
    policy: selector::Selector,
    now: time::Time,
    requests: u64,
    actions: Vec<action::Action>,
}

impl LostPath {
    fn new(relays: u64) -> Self {
        let server = |number| inventory::Server {
            handle: handle::Server(number),
            name: format!("i-{number}").parse().expect("a name"),
            slots: 2,
            local: number.is_multiple_of(5),
            leaving: false,
            remaining_warm_up: Duration::ZERO,
            started_millis: 1,
        };
        let relay = |number| inventory::Relay {
            peer: instance::Instance(number),
            local: number.is_multiple_of(5),
            capacity: 100,
        };
        let inventory = inventory::Inventory {
            servers: (0..SERVER_COUNT).map(server).collect(),
            floor_slots: 0,
            sensitivity: health::Sensitivity::Balanced,
            daemons: (1..=relays).map(instance::Instance).collect(),
            relays: (2..=relays).map(relay).collect(),
            unix_origin: Duration::ZERO,
            latency_objective: Duration::from_millis(200),
        };
        let mut lost = Self {
            policy: selector::Config::new(1).build(),
            now: time::Time::from_millis(1_000),
            requests: 0,
            actions: Vec::new(),
        };
        lost.handle(event::Event::Inventory(inventory));
        for server in 0..2 {
            lost.handle(event::Event::PathProbe {
                server: handle::Server(server),
                sent_at: lost.now,
                responded: false,
            });
        }
        lost
    }

    fn handle(&mut self, event: event::Event) {
        self.actions.clear();
        self.policy.handle(self.now, event, &mut self.actions);
    }

    /// Processes a request from its arrival to the response of its relay.
    fn relay_request(&mut self) {
        self.requests += 1;
        self.now = self.now + Duration::from_millis(1);
        self.handle(event::Event::Arrive(event::Arrival {
            request: handle::Request(self.requests),
            organisation: handle::Organisation(1),
            weight: 1,
            repeatable: false,
            max_attempts: 2,
            route: handle::Route::default(),
            priority: 0,
            objective: None,
            expected_response_bytes: 0,
            deadline: self.now + Duration::from_secs(5),
            fingerprint: None,
            relayed: false,
        }));
        let Some(action::Action::Relay { attempt, .. }) = self.actions.first() else {
            unreachable!("the path is lost");
        };
        let attempt = *attempt;
        self.handle(event::Event::Finish {
            attempt,
            outcome: outcome::Outcome::Answered(200),
            replayable: false,
            retry_after: None,
        });
    }
}

fn relayed_requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request while the path is lost");
    for daemons in SHARING_COUNTS {
        let mut lost = LostPath::new(daemons);
        let id = BenchmarkId::from_parameter(daemons);
        group.bench_function(id, |bencher| bencher.iter(|| lost.relay_request()));
    }
    group.finish();
}

fn permits(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("permits of one server and second");
    for daemons in SHARING_COUNTS {
        let fleet = rate_limit::Fleet {
            own: instance::Instance(1),
            daemons: (1..=daemons).map(instance::Instance).collect(),
            unix_origin: Duration::ZERO,
        };
        for limit in [1.9, 64.0] {
            let server = "i-1".parse().expect("a name");
            let mut limiter =
                rate_limit::Limiter::new(time::Time::ZERO, &server, rate::Rate(limit));
            let mut now = time::Time::from_millis(1_000);
            let id = BenchmarkId::new(format!("{limit}/s"), daemons);
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    now = now + Duration::from_secs(1);
                    limiter.advance(now, &fleet);
                    black_box(limiter.allows_request())
                });
            });
        }
    }
    group.finish();
}

fn routing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("members of a region");
    for count in MEMBER_COUNTS {
        let members = members(count);
        let own = &members[count as usize - 1];
        group.bench_function(BenchmarkId::new("sources", count), |bencher| {
            bencher.iter(|| black_box(tree::sources(b"routing@7", &members, &members[1], own)));
        });
        group.bench_function(BenchmarkId::new("watchers", count), |bencher| {
            bencher.iter(|| black_box(watcher::select(b"config", &members, 5)));
        });
    }
    group.finish();
}

criterion_group!(benches, relayed_requests, permits, routing);
criterion_main!(benches);
