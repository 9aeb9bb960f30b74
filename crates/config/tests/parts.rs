//! Parts of a routing: splitting and joining, and what two versions have in common.

use bytes::Bytes;
use monsooncart_config::routing::{self, access, part};
use monsooncart_types::{map, rate};

fn route(number: usize) -> routing::Route {
    routing::Route {
        name: format!("route-{number}"),
        host: format!("host-{}.example", number % 40),
        prefix: format!("/path-{number}/"),
        repeatable: number.is_multiple_of(2),
        timeout: Some("2s".parse().expect("a span")),
        objective: None,
        attempts: 2,
        priority: 1,
        targets: vec![routing::Target {
            service: format!("service-{}", number % 7).parse().expect("a name"),
            weight: 1.0,
        }],
        open: false,
    }
}

fn routing(routes: usize) -> routing::Routing {
    let service = |number| routing::Service {
        name: format!("service-{number}").parse().expect("a name"),
        health_path: Some("/health".to_owned()),
        connections: 100,
    };
    routing::Routing {
        version: 3,
        limits: routing::Limits::default(),
        routes: (0..routes).map(route).collect(),
        services: (0..7).map(service).collect(),
        access: access::Access::Open,
    }
}

fn sorted(mut routing: routing::Routing) -> routing::Routing {
    routing.routes.sort_by(|a, b| a.name.cmp(&b.name));
    routing.services.sort_by(|a, b| a.name.cmp(&b.name));
    routing
}

#[test]
fn a_routing_is_joined_from_its_parts() {
    for routes in [0, 1, 100, 1400] {
        let original = routing(routes);

        let joined = part::Parts::split(&original).join().expect("all parts");

        assert_eq!(sorted(joined), sorted(original), "{routes} routes");
    }
}

#[test]
fn a_changed_route_changes_one_part() {
    let old = routing(1400);
    let mut new = old.clone();
    new.routes[700].attempts = 3;
    new.version += 1;

    let old = part::Parts::split(&old);
    let new = part::Parts::split(&new);

    let digests = new.manifest().parts.iter();
    let missing: Vec<_> = digests.filter(|d| old.content(d).is_none()).collect();
    assert_eq!(missing.len(), 1);
    let bytes = |parts: &part::Parts| -> usize {
        let digests = parts.manifest().parts.iter();
        digests
            .filter_map(|d| parts.content(d))
            .map(Bytes::len)
            .sum()
    };
    let changed = new.content(missing[0]).expect("its content").len();
    assert!(changed * 10 < bytes(&new), "{changed} of {}", bytes(&new));
}

#[test]
fn the_order_of_the_routes_of_other_parts_does_not_matter() {
    let original = routing(300);
    let joined = part::Parts::split(&original).join().expect("all parts");

    let again = part::Parts::split(&joined);

    assert_eq!(again.manifest(), part::Parts::split(&original).manifest());
}

#[test]
fn a_missing_part_is_reported_with_its_digest() {
    let parts = part::Parts::split(&routing(300));
    let manifest = parts.manifest().clone();
    let last = manifest.parts[manifest.parts.len() - 1];
    let contents = manifest.parts.iter().filter(|d| **d != last);
    let contents: map::Map<_, _> = contents
        .filter_map(|d| Some((*d, parts.content(d)?.clone())))
        .collect();

    let error = part::Parts::new(manifest, contents)
        .join()
        .expect_err("a part is missing");

    assert_eq!(error.to_string(), format!("part {last} is missing"));
}

#[test]
fn a_digest_has_a_text_form() {
    let digest = part::Digest::of(b"content");

    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("zz".parse::<part::Digest>().is_err());
}

fn organisation(number: usize) -> access::Organisation {
    access::Organisation {
        name: format!("organisation-{number}").parse().expect("a name"),
        keys: vec![part::Digest::of(&number.to_be_bytes())],
        priority: number.is_multiple_of(2).then_some(1),
        allowance: Some(access::Allowance {
            rate: rate::Rate(number as f64),
            burst: 10.0,
        }),
    }
}

/// A routing with organisations and an open route.
fn routing_with_keys() -> routing::Routing {
    let mut routing = routing(100);
    routing.routes[70].open = true;
    routing.access = access::Access::Keys((0..200).map(organisation).collect());
    routing
}

fn sorted_with_keys(routing: routing::Routing) -> routing::Routing {
    let mut routing = sorted(routing);
    if let access::Access::Keys(organisations) = &mut routing.access {
        organisations.sort_by(|a, b| a.name.cmp(&b.name));
    }
    routing
}

#[test]
fn organisations_and_open_routes_are_joined_from_parts() {
    let original = routing_with_keys();

    let joined = part::Parts::split(&original).join().expect("all parts");

    assert_eq!(sorted_with_keys(joined), sorted_with_keys(original));
}

#[test]
fn a_withdrawn_key_changes_one_part() {
    let old = routing_with_keys();
    let mut new = old.clone();
    if let access::Access::Keys(organisations) = &mut new.access {
        organisations[50].keys.clear();
    }

    let (old, new) = (part::Parts::split(&old), part::Parts::split(&new));

    let digests = new.manifest().parts.iter();
    assert_eq!(digests.filter(|d| old.content(d).is_none()).count(), 1);
}

/// A part as the first release encoded it: one route and one service, without organisations.
const FIRST_RELEASE_PART: &str = "0107726f7574652d310e686f73742d312e6578616d706c65082f706174682d312f00000002010109\
    736572766963652d31000000000000f03f0109736572766963652d310064";

/// Guards against a part of the first release that is taken for one of a deployment without keys, and
/// against a part of this release that the first one cannot read.
#[test]
fn parts_of_the_first_release_say_nothing_about_keys() {
    let mut original = routing(2);
    original.routes.remove(0);
    original.routes[0].timeout = None;
    original.services = vec![routing::Service {
        name: "service-1".parse().expect("a name"),
        health_path: None,
        connections: 100,
    }];
    original.access = access::Access::Unknown;
    let parts = part::Parts::split_into(&original, 1);
    let digest = parts.manifest().parts[0];
    let content = parts.content(&digest).expect("its content");

    let joined = parts.join().expect("a part");

    assert_eq!(hex::encode(content), FIRST_RELEASE_PART);
    assert_eq!(joined, original);
    original.access = access::Access::Open;
    let parts = part::Parts::split_into(&original, 1);
    let content = parts.content(&parts.manifest().parts[0]);
    assert!(hex::encode(content.expect("its content")).starts_with(FIRST_RELEASE_PART));
    assert_eq!(parts.join().expect("a part"), original);
}
