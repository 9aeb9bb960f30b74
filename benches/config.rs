//! What the configuration of a large fleet takes in memory, and how long one change takes.

use std::hint;
use std::time::{Duration, Instant};

use criterion::{BatchSize, Criterion};
use monsooncart_config::{
    object, objective, organisation, route, rules, server, service, snapshot, zone,
};
use monsooncart_types::span;

/// Services.
const SERVICES: u32 = 5_100;

/// Servers of all services.
const SERVERS: u32 = 96_000;

/// Routes of all services.
const ROUTES: u32 = 57_000;

/// Organisations.
const ORGANISATIONS: u32 = 350_000;

/// Data centres.
const ZONES: u32 = 12;

fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.unwrap_or_else(|| panic!("{text} is not a name"))
}

/// Snapshots that are built for the mean of their memory.
const COPIES: u32 = 4;

/// Element `index` of `all` things divided among `parts`, as the range of its numbers.
fn share(all: u32, parts: u32, index: u32) -> std::ops::Range<u32> {
    let at = |index: u32| u64::from(all) * u64::from(index) / u64::from(parts);
    at(index) as u32..at(index + 1) as u32
}

fn zones() -> Vec<zone::Zone> {
    let zone = |number| zone::Zone {
        data_centre: name(&format!("region-{}-{}", number / 3, number % 3)),
        region: name(&format!("region-{}", number / 3)),
    };
    (0..ZONES).map(zone).collect()
}

fn server(number: u32) -> server::Server {
    let [_, a, b, c] = number.to_be_bytes();
    let zone = number % ZONES;
    server::Server {
        name: name(&format!("server-{number:06}")),
        address: std::net::SocketAddr::from(([10, a, b, c], 8080)),
        data_centre: name(&format!("region-{}-{}", zone / 3, zone % 3)),
        slots: 4,
        connections: 330,
        leaving: false,
        cold: span::Span::default(),
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
        name: name(&format!("service-{number:05}")),
        floor: name("70%"),
        detection: rules::Detection::Balanced,
        objective: objective::Objective {
            availability: name("99.9%"),
            fast: name("95%"),
            latency: span::Span(Duration::from_millis(300)),
        },
        health_path: Some("/health".to_owned()),
        routes: share(ROUTES, SERVICES, number).map(route).collect(),
        servers: share(SERVERS, SERVICES, number).map(server).collect(),
    }
}

fn organisation(number: u32) -> organisation::Organisation {
    let service = |step: u32| name(&format!("service-{:05}", (number + step) % SERVICES));
    organisation::Organisation {
        name: name(&format!("organisation-{number:06}")),
        keys: vec![organisation::Digest::of(&number.to_be_bytes())],
        services: (0..3).map(service).collect(),
        weight: 1 + number % 3,
    }
}

/// The objects as the platform gives them: each is encoded and decoded, so that nothing is shared.
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

/// Memory of this process that is resident, in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Builds the snapshot out of encoded objects.
fn build(encoded: &[(object::Key, bytes::Bytes)]) -> snapshot::Snapshot {
    let mut held = snapshot::Snapshot::default();
    for (key, value) in encoded {
        let value = object::Value::decode(value).expect("value was encoded");
        held.take(key, 1, value);
    }
    held
}

fn report() -> snapshot::Snapshot {
    let encoded: Vec<_> = objects()
        .map(|(key, value)| (key, value.encode()))
        .collect();
    let bytes: usize = encoded.iter().map(|(_, value)| value.len()).sum();
    let largest = encoded.iter().map(|(_, value)| value.len()).max();
    // What was freed before serves the first builds, and the difference would be too small: the
    // first fills those gaps, and of the others the mean is taken. All are kept until the end.
    let mut all = vec![build(&encoded)];
    let before = resident();
    let start = Instant::now();
    all.extend((0..COPIES).map(|_| build(&encoded)));
    let time = start.elapsed() / COPIES;
    let memory = resident().saturating_sub(before) / u64::from(COPIES);
    println!(
        "objects: {}, {bytes} bytes encoded, largest {largest:?}",
        encoded.len()
    );
    println!("resident: {memory} KiB for one snapshot, built in {time:?}");
    all.swap_remove(0)
}

fn changes(criterion: &mut Criterion, held: &snapshot::Snapshot) {
    let mut service = service(7);
    service.floor = name("60%");
    let service_key = object::Key::Service(service.name.clone());
    let service = object::Value::Service(Some(Box::new(service)));
    let changed = organisation(7);
    let block_key = object::Key::Organisations(object::block(&changed.name));
    let Some(object::Value::Organisations(mut block)) = held.value(&block_key) else {
        panic!("block is held");
    };
    for organisation in block.iter_mut().filter(|o| o.name == changed.name) {
        organisation.weight = 9;
    }
    let block = object::Value::Organisations(block);
    let mut group = criterion.benchmark_group("snapshot");
    group.sample_size(20);
    for (what, key, value) in [
        ("service", service_key, service),
        ("block", block_key, block),
    ] {
        group.bench_function(format!("with one changed {what}"), |bencher| {
            bencher.iter_batched(
                || value.clone(),
                |value| hint::black_box(held.with(&key, 2, value)),
                BatchSize::PerIteration,
            );
        });
    }
    let keys: Vec<_> = (0..1000).map(|n| organisation(n * 311).keys[0]).collect();
    group.bench_function("organisation of a key, 1000 times", |bencher| {
        bencher.iter(|| {
            let known = keys.iter().filter(|key| held.organisation(key).is_some());
            assert_eq!(known.count(), keys.len());
        });
    });
    group.finish();
}

fn main() {
    let held = report();
    let mut criterion = Criterion::default().configure_from_args();
    changes(&mut criterion, &held);
    criterion.final_summary();
}
