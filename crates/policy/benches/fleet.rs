//! Benchmarks of decisions whose cost grows with the number of daemons.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use monsooncart_policy::rank;
use monsooncart_policy::rollout::{tree, watcher};
use monsooncart_policy::selector::rate_limit;
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

criterion_group!(benches, permits, routing);
criterion_main!(benches);
