//! Memory of the configuration of a large fleet, and the time to apply one change.

use std::hint;
use std::time::{Duration, Instant};

use criterion::{BatchSize, Criterion};
use monsooncart_config::{
    object, objective, organisation, route, rules, server, service, snapshot, zone,
};
use monsooncart_types::span;

/// Number of services.
const SERVICES: u32 = 5_100;

/// Number of servers over all services.
const SERVERS: u32 = 96_000;

/// Number of routes over all services.
const ROUTES: u32 = 57_000;

/// Number of organisations.
const ORGANISATIONS: u32 = 350_000;

/// Number of data centres.
const ZONES: u32 = 12;

fn parse<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.unwrap_or_else(|| panic!("{text:?} should be valid"))
}

/// Number of snapshots over which the memory and the build time are averaged.
const MEASURED_SNAPSHOTS: u32 = 4;

/// Range of part `index` when `items` items are divided evenly into `parts` parts.
fn part_range(items: u32, parts: u32, index: u32) -> std::ops::Range<u32> {
    let boundary = |index: u32| u64::from(items) * u64::from(index) / u64::from(parts);
    boundary(index) as u32..boundary(index + 1) as u32
}

fn zones() -> Vec<zone::Zone> {
    let zone = |number| zone::Zone {
        data_centre: parse(&format!("region-{}-{}", number / 3, number % 3)),
        region: parse(&format!("region-{}", number / 3)),
    };
    (0..ZONES).map(zone).collect()
}

fn server(number: u32) -> server::Server {
    let [_, a, b, c] = number.to_be_bytes();
    let zone = number % ZONES;
    server::Server {
        name: parse(&format!("server-{number:06}")),
        address: std::net::SocketAddr::from(([10, a, b, c], 8080)),
        data_centre: parse(&format!("region-{}-{}", zone / 3, zone % 3)),
        slots: 4,
        connections: 330,
        leaving: false,
        remaining_warm_up: span::Span::default(),
        started_millis: 0,
    }
}

fn route(number: u32) -> route::Route {
    route::Route {
        methods: vec!["GET".to_owned(), "HEAD".to_owned()],
        path: format!("/things-{number:06}/*/parts/**").into(),
        repeatable: true,
        ticket: route::Ticket::None,
        timeout: span::Span(Duration::from_secs(5)),
        body_limit: None,
    }
}

fn service(number: u32) -> service::Service {
    service::Service {
        name: parse(&format!("service-{number:05}")),
        floor: parse("70%"),
        detection: rules::Detection::Balanced,
        objective: objective::Objective {
            availability: parse("99.9%"),
            fast: parse("95%"),
            latency: span::Span(Duration::from_millis(300)),
        },
        health_path: Some("/health".to_owned()),
        routes: part_range(ROUTES, SERVICES, number).map(route).collect(),
        servers: part_range(SERVERS, SERVICES, number).map(server).collect(),
    }
}

fn organisation(number: u32) -> organisation::Organisation {
    let service = |step: u32| parse(&format!("service-{:05}", (number + step) % SERVICES));
    organisation::Organisation {
        name: parse(&format!("organisation-{number:06}")),
        keys: vec![organisation::Digest::of(&number.to_be_bytes())],
        services: (0..3).map(service).collect(),
        weight: 1 + number % 3,
    }
}

/// All objects of the configuration.
fn objects() -> impl Iterator<Item = (object::Key, object::Value)> {
    let mut blocks = vec![Vec::new(); object::BLOCKS as usize];
    for number in 0..ORGANISATIONS {
        let organisation = organisation(number);
        blocks[object::block(&organisation.name) as usize].push(organisation);
    }
    let blocks = blocks.into_iter().zip(0..).map(|(block, number)| {
        let key = object::Key::Organisations(number);
        (key, object::Value::Organisations(block))
    });
    let services = (0..SERVICES).map(|number| {
        let service = Box::new(service(number));
        let key = object::Key::Service(service.name.clone());
        (key, object::Value::Service(Some(service)))
    });
    let zones = (object::Key::Zones, object::Value::Zones(zones()));
    std::iter::once(zones).chain(services).chain(blocks)
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Builds a snapshot from encoded objects, as a daemon does, so that snapshots share no memory.
fn build(encoded: &[(object::Key, bytes::Bytes)]) -> snapshot::Snapshot {
    let mut snapshot = snapshot::Snapshot::default();
    for (key, value) in encoded {
        let value = object::Value::decode(value).expect("value was encoded");
        snapshot.apply(key, 1, value);
    }
    snapshot
}

fn measure_build() -> snapshot::Snapshot {
    let encoded: Vec<_> = objects()
        .map(|(key, value)| (key, value.encode()))
        .collect();
    let bytes: usize = encoded.iter().map(|(_, value)| value.len()).sum();
    let largest = encoded.iter().map(|(_, value)| value.len()).max();
    // The first build reuses memory that was freed before, so its growth of the resident memory would
    // be too small; it is left out of the mean. All snapshots stay allocated until the end.
    let mut snapshots = vec![build(&encoded)];
    let resident_before = resident_kib();
    let start = Instant::now();
    snapshots.extend((0..MEASURED_SNAPSHOTS).map(|_| build(&encoded)));
    let time = start.elapsed() / MEASURED_SNAPSHOTS;
    let memory_kib = resident_kib().saturating_sub(resident_before) / u64::from(MEASURED_SNAPSHOTS);
    println!(
        "objects: {}, {bytes} bytes encoded, largest {largest:?}",
        encoded.len()
    );
    println!("resident: {memory_kib} KiB for one snapshot, built in {time:?}");
    snapshots.swap_remove(0)
}

fn bench_changes(criterion: &mut Criterion, snapshot: &snapshot::Snapshot) {
    let mut service = service(7);
    service.floor = parse("60%");
    let service_key = object::Key::Service(service.name.clone());
    let service = object::Value::Service(Some(Box::new(service)));
    let changed = organisation(7);
    let block_key = object::Key::Organisations(object::block(&changed.name));
    let Some(object::Value::Organisations(mut block)) = snapshot.value(&block_key) else {
        panic!("snapshot should contain the block");
    };
    for organisation in block.iter_mut().filter(|o| o.name == changed.name) {
        organisation.weight = 9;
    }
    let block = object::Value::Organisations(block);
    let mut group = criterion.benchmark_group("snapshot");
    group.sample_size(20);
    for (kind, key, value) in [
        ("service", service_key, service),
        ("block", block_key, block),
    ] {
        group.bench_function(format!("with one changed {kind}"), |bencher| {
            bencher.iter_batched(
                || value.clone(),
                |value| hint::black_box(snapshot.with_object(&key, 2, value)),
                BatchSize::PerIteration,
            );
        });
    }
    let keys: Vec<_> = (0..1000).map(|n| organisation(n * 311).keys[0]).collect();
    group.bench_function("organisation of a key, 1000 times", |bencher| {
        bencher.iter(|| {
            let known = keys
                .iter()
                .filter(|key| snapshot.organisation(key).is_some());
            assert_eq!(known.count(), keys.len());
        });
    });
    group.finish();
}

fn main() {
    let snapshot = measure_build();
    let mut criterion = Criterion::default().configure_from_args();
    bench_changes(&mut criterion, &snapshot);
    criterion.final_summary();
}
