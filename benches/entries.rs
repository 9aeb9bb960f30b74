//! Cost of computing the entry sets of a large fleet: 5,400 daemons and 5,100 services.

use std::hint::black_box;

use criterion::Criterion;
use monsooncart_config::{object, objective, server, service, snapshot, zone};
use monsooncart_daemon::entries;
use monsooncart_policy::membership::member;
use monsooncart_types::{id, instance, share, span};

const DAEMONS: usize = 5_400;
const SERVICES: usize = 5_100;
const REGIONS: usize = 12;
const DATA_CENTRES: usize = 24;
const ENTRY_COUNT: usize = 3;

fn parse_name<T: std::str::FromStr<Err = id::Error>>(text: &str) -> T {
    text.parse().expect("name should be valid")
}

fn data_centre(number: usize) -> id::DataCentre {
    parse_name(&format!("centre-{}", number % DATA_CENTRES))
}

fn region(number: usize) -> id::Region {
    parse_name(&format!("region-{}", number % DATA_CENTRES % REGIONS))
}

fn members() -> Vec<member::Member> {
    let address = ([127, 0, 0, 1], 1).into();
    let member = |n: usize| member::Member {
        vm: parse_name(&format!("entry-{n}")),
        instance: instance::Instance(n as u64),
        peers: address,
        callers: address,
        admin: address,
        data_centre: data_centre(n),
        region: region(n),
        state: member::State::Alive,
        leaving: false,
        capacity: 1000,
    };
    (0..DAEMONS).map(member).collect()
}

fn service(number: usize) -> service::Service {
    let server = server::Server {
        name: parse_name(&format!("server-{number}")),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: data_centre(number),
        slots: 2,
        connections: 330,
        leaving: false,
        remaining_warm_up: span::Span::default(),
        started_millis: 0,
    };
    service::Service {
        name: parse_name(&format!("service-{number}")),
        floor: share::Share::default(),
        detection: Default::default(),
        objective: objective::Objective {
            availability: share::Share::default(),
            fast: share::Share::default(),
            latency: span::Span::default(),
        },
        health_path: None,
        routes: Vec::new(),
        servers: vec![server],
    }
}

fn snapshot() -> snapshot::Snapshot {
    let zone = |n: usize| zone::Zone {
        data_centre: data_centre(n),
        region: region(n),
    };
    let zones = (0..DATA_CENTRES).map(zone).collect();
    let mut snapshot = snapshot::Snapshot::default();
    snapshot.apply(&object::Key::Zones, 1, object::Value::Zones(zones));
    for number in 0..SERVICES {
        let service = service(number);
        let key = object::Key::Service(service.name.clone());
        snapshot.apply(&key, 1, object::Value::Service(Some(Box::new(service))));
    }
    snapshot
}

fn main() {
    let mut criterion = Criterion::default().sample_size(20).configure_from_args();
    let snapshot = snapshot();
    let all_members = members();
    criterion.bench_function("entries/all sets anew", |bencher| {
        bencher.iter(|| {
            let directory = entries::Directory::new(ENTRY_COUNT);
            black_box(directory.update(&snapshot, &all_members).len())
        });
    });
    let directory = entries::Directory::new(ENTRY_COUNT);
    directory.update(&snapshot, &all_members);
    let mut iteration = 0;
    criterion.bench_function("entries/one daemon goes or comes", |bencher| {
        bencher.iter(|| {
            iteration += 1;
            let present = if iteration % 2 == 1 {
                &all_members[1..]
            } else {
                &all_members[..]
            };
            black_box(directory.update(&snapshot, present).len())
        });
    });
    criterion.final_summary();
}
