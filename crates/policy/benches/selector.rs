//! Benchmarks of the selection of a server, whose cost grows with the number of servers.

use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{action, event, handle, health, inventory, outcome, selector};
use monsooncart_types::{instance, time};

/// Servers of a service at the size ahead, of the largest one today, and of one four times as large.
const SERVER_COUNTS: [u32; 3] = [19, 480, 1_920];

/// Data centres over which the servers are spread.
const DATA_CENTRES: u32 = 3;

struct Service {
    policy: selector::Selector,
    now: time::Time,
    requests: u64,
    actions: Vec<action::Action>,
}

impl Service {
    fn new(servers: u32, covers_servers: bool) -> Self {
        let server = |number: u32| inventory::Server {
            handle: handle::Server(number),
            name: format!("i-{number}").parse().expect("a name"),
            slots: 2,
            local: number.is_multiple_of(DATA_CENTRES),
            leaving: false,
            remaining_warm_up: Duration::ZERO,
            started_millis: 1,
        };
        let config = selector::Config::new(1).covers_servers(covers_servers);
        let mut service = Self {
            policy: config.build(),
            now: time::Time::from_millis(1_000),
            requests: 0,
            actions: Vec::new(),
        };
        service.handle(event::Event::Inventory(inventory::Inventory {
            servers: (0..servers).map(server).collect(),
            floor_slots: 0,
            sensitivity: health::Sensitivity::Balanced,
            daemons: vec![instance::Instance(1)],
            relays: Vec::new(),
            unix_origin: Duration::ZERO,
            latency_objective: Duration::from_millis(800),
        }));
        service
    }

    fn handle(&mut self, event: event::Event) {
        self.actions.clear();
        self.policy.handle(self.now, event, &mut self.actions);
    }

    /// Processes a request from its arrival to the response.
    fn process_request(&mut self) {
        self.requests += 1;
        self.now = self.now + Duration::from_millis(5);
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
        let Some(action::Action::Send { attempt, .. }) = self.actions.first() else {
            unreachable!("all servers have room");
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

fn requests(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request, idle servers kept in use");
    for covers_servers in [false, true] {
        for servers in SERVER_COUNTS {
            let mut service = Service::new(servers, covers_servers);
            let id = BenchmarkId::new(covers_servers.to_string(), servers);
            group.bench_function(id, |bencher| bencher.iter(|| service.process_request()));
        }
    }
    group.finish();
}

criterion_group!(benches, requests);
criterion_main!(benches);
