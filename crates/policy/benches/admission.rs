//! Benchmarks of the decisions whether a request is admitted: allowances and the queue.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use monsooncart_policy::{allowance, handle, waiting};
use monsooncart_types::{instance, time};

/// Daemons of the entry sets: on a site with strong ones, on a small one, and on a large one without.
const HOLDER_COUNTS: [u64; 3] = [6, 12, 110];

/// Organisations with requests at the daemon.
const ORGANISATIONS: u64 = 80;

const LIMIT: allowance::Limit = allowance::Limit {
    rate: 1_000_000.0,
    burst: 1_000_000.0,
};

/// A ledger that has run for a while.
fn ledger(holders: u64) -> (allowance::Ledger, time::Time) {
    let started_at = time::Time::from_millis(1_000);
    let own = instance::Instance(1);
    let mut ledger =
        allowance::Ledger::new(started_at, own, 1, allowance::Tolerance::default(), true);
    let holder = |number| allowance::Holder {
        daemon: instance::Instance(number),
        is_local: number % 3 == 1,
    };
    let holders: Vec<_> = (1..=holders).map(holder).collect();
    ledger.set_holders(started_at, &holders);
    ledger.tick(started_at);
    (ledger, started_at + Duration::from_secs(10))
}

fn allowances(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request of an organisation with an allowance");
    for holders in HOLDER_COUNTS {
        let (mut ledger, now) = ledger(holders);
        let mut number = 0;
        let id = BenchmarkId::from_parameter(holders);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                number += 1;
                let organisation = allowance::Organisation(number % ORGANISATIONS);
                black_box(ledger.decide(now, organisation, LIMIT, true))
            });
        });
    }
    group.finish();
    let mut group = criterion.benchmark_group("tick of 80 organisations");
    for holders in HOLDER_COUNTS {
        let (mut ledger, mut now) = ledger(holders);
        let id = BenchmarkId::from_parameter(holders);
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                now = now + Duration::from_millis(150);
                for number in 0..ORGANISATIONS {
                    ledger.decide(now, allowance::Organisation(number), LIMIT, true);
                }
                black_box(ledger.tick(now))
            });
        });
    }
    group.finish();
}

/// A queue with as many requests as it holds.
fn queue(now: time::Time) -> waiting::Queue {
    let mut queue = waiting::Queue::default();
    for _ in 0..waiting::MAX_WAITING {
        queue.record_sent(now);
    }
    for number in 0..waiting::MAX_WAITING as u64 {
        queue.admit(now, waiter(now, number));
    }
    queue
}

fn waiter(now: time::Time, number: u64) -> waiting::Waiter {
    waiting::Waiter {
        request: handle::Request(number),
        priority: u32::try_from(number % 3).unwrap_or_default(),
        arrived_at: now,
        due_at: now + Duration::from_millis(800 + number),
        deadline: now + Duration::from_secs(60),
        work: Duration::from_millis(100 + number % 7),
    }
}

fn waiting_requests(criterion: &mut Criterion) {
    let now = time::Time::from_millis(1_000);
    let queue = queue(now);
    criterion.bench_function("next of 256 waiting requests", |bencher| {
        bencher.iter(|| black_box(queue.candidates(now)));
    });
    criterion.bench_function("arrival at a full queue", |bencher| {
        let mut queue = queue.clone();
        let mut number = waiting::MAX_WAITING as u64;
        bencher.iter(|| {
            number += 1;
            black_box(queue.admit(now, waiter(now, number)))
        });
    });
}

criterion_group!(benches, allowances, waiting_requests);
criterion_main!(benches);
