//! Time to apply a change of one route by its parts, and the bytes that a daemon receives for it.

use std::hint;

use bytes::Bytes;
use criterion::{BatchSize, Criterion};
use monsooncart_config::routing::{self, part};
use monsooncart_config::{object, snapshot};
use monsooncart_types::map;

/// Numbers of routes that are measured: a small deployment and the size ahead.
const ROUTES: [usize; 2] = [1_000, 57_000];

/// Number of routes of a service.
const ROUTES_PER_SERVICE: usize = 11;

fn parse<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse().ok();
    parsed.unwrap_or_else(|| panic!("{text:?} should be valid"))
}

fn route(number: usize) -> routing::Route {
    routing::Route {
        name: format!("route-{number}"),
        host: format!("host-{}.example", number % 500),
        prefix: format!("/path-{number}/"),
        repeatable: number.is_multiple_of(2),
        timeout: Some(parse("2s")),
        objective: Some(parse("500ms")),
        attempts: 2,
        priority: 1,
        targets: vec![routing::Target {
            service: parse(&format!("service-{}", number / ROUTES_PER_SERVICE)),
            weight: 1.0,
        }],
        open: false,
    }
}

fn routing(routes: usize) -> routing::Routing {
    let service = |number| routing::Service {
        name: parse(&format!("service-{number}")),
        health_path: Some("/health".to_owned()),
        connections: 330,
    };
    routing::Routing {
        version: 1,
        limits: routing::Limits::default(),
        routes: (0..routes).map(route).collect(),
        services: (0..routes / ROUTES_PER_SERVICE).map(service).collect(),
        access: routing::access::Access::Open,
    }
}

fn total_bytes(parts: &part::Parts, digests: &[part::Digest]) -> usize {
    let contents = digests.iter().filter_map(|digest| parts.content(digest));
    contents.map(Bytes::len).sum()
}

/// What a daemon does for a new version: reuses the parts that both versions have, joins them with
/// the received ones and applies the result.
fn apply(
    snapshot: &snapshot::Snapshot,
    own: &part::Parts,
    manifest: &part::Manifest,
    received: &map::Map<part::Digest, Bytes>,
) -> Option<snapshot::Snapshot> {
    let mut contents = received.clone();
    for digest in &manifest.parts {
        if let Some(content) = own.content(digest) {
            contents.insert(*digest, content.clone());
        }
    }
    let joined = part::Parts::new(manifest.clone(), contents).join().ok()?;
    let value = object::Value::Routing(Box::new(joined));
    snapshot.with_object(&object::Key::Routing, 2, value)
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    for routes in ROUTES {
        let old = routing(routes);
        let mut new = old.clone();
        new.version = 2;
        new.routes[routes / 2].attempts = 3;
        let value = object::Value::Routing(Box::new(old.clone()));
        let snapshot = snapshot::Snapshot::default();
        let snapshot = snapshot.with_object(&object::Key::Routing, 1, value);
        let snapshot = snapshot.expect("the first version is newer");
        let (old, new) = (part::Parts::split(&old), part::Parts::split(&new));
        let manifest = new.manifest().clone();
        let changed = manifest.parts.iter().copied();
        let changed: Vec<_> = changed
            .filter(|digest| old.content(digest).is_none())
            .collect();
        let received = changed
            .iter()
            .filter_map(|d| Some((*d, new.content(d)?.clone())));
        let received: map::Map<_, _> = received.collect();
        println!(
            "{routes} routes: table {} bytes in {} parts; one changed route: manifest {} bytes, parts {} bytes",
            total_bytes(&new, &manifest.parts),
            manifest.parts.len(),
            postcard::to_stdvec(&manifest).map_or(0, |bytes| bytes.len()),
            total_bytes(&new, &changed),
        );
        criterion.bench_function(&format!("apply one changed route of {routes}"), |bencher| {
            bencher.iter_batched(
                || (),
                |()| hint::black_box(apply(&snapshot, &old, &manifest, &received)),
                BatchSize::PerIteration,
            );
        });
    }
    criterion.final_summary();
}
