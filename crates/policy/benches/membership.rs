//! Benchmarks of the membership protocol with 5,400 daemons in 12 regions.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use monsooncart_policy::membership::{event, member, message, protocol, record, timings};
use monsooncart_types::{instance, time};

/// Number of daemons in the fleet.
const DAEMONS: u16 = 5400;

/// Number of regions that they are distributed over.
const REGIONS: u16 = 12;

fn member(number: u16) -> member::Member {
    let [high, low] = number.to_be_bytes();
    let address = std::net::SocketAddr::from(([10, 0, high, low], 7000));
    let region = format!("region-{}", number % REGIONS);
    member::Member {
        vm: format!("entry-{number:05}").parse().expect("a name"),
        instance: instance::Instance(u64::from(number)),
        peers: address,
        callers: address,
        admin: address,
        data_centre: format!("{region}-a").parse().expect("a name"),
        region: region.parse().expect("a name"),
        state: member::State::Alive,
        leaving: false,
        capacity: 1000,
    }
}

fn record(number: u16, incarnation: u64) -> record::Record {
    record::Record {
        member: member(number),
        incarnation,
    }
}

/// Creates a daemon that knows all others and whose dissemination queue is empty.
fn protocol() -> protocol::Protocol {
    let now = time::Time::ZERO;
    let timings = timings::Timings::default();
    let mut protocol = protocol::Protocol::new(now, member(0), 1, Vec::new(), timings, 1);
    let records = (1..DAEMONS).map(|number| record(number, 1)).collect();
    let mut actions = Vec::new();
    protocol.handle(now, event::Event::Records(records), &mut actions);
    for _ in 0..200_000 {
        actions.clear();
        protocol.handle(now, event::Event::Datagram(ping(0)), &mut actions);
        let sent_records = actions.iter().any(|action| {
            use monsooncart_policy::membership::action::Action;
            matches!(action, Action::Send { message, .. } if !message.records.is_empty())
        });
        if !sent_records {
            break;
        }
    }
    protocol
}

fn ping(number: u64) -> message::Message {
    message::Message {
        from: instance::Instance(12),
        reply: member(12).peers,
        kind: message::Kind::Ping { number },
        records: Vec::new(),
    }
}

fn benches(criterion: &mut Criterion) {
    let mut protocol = protocol();
    let mut actions = Vec::new();
    criterion.bench_function("membership: ping answered", |bencher| {
        bencher.iter(|| {
            actions.clear();
            protocol.handle(
                time::Time::ZERO,
                event::Event::Datagram(ping(7)),
                &mut actions,
            );
            black_box(&actions);
        });
    });
    let mut incarnation = 1;
    criterion.bench_function("membership: change taken and told once", |bencher| {
        bencher.iter(|| {
            actions.clear();
            incarnation += 1;
            let records = vec![record(24, incarnation)];
            protocol.handle(
                time::Time::ZERO,
                event::Event::Records(records),
                &mut actions,
            );
            black_box(protocol.gossip_targets());
            protocol.handle(
                time::Time::ZERO,
                event::Event::Datagram(ping(7)),
                &mut actions,
            );
            black_box(&actions);
        });
    });
    criterion.bench_function("membership: chosen for a key", |bencher| {
        bencher.iter(|| black_box(protocol.is_top_ranked(b"config", 2)));
    });
}

criterion_group!(group, benches);
criterion_main!(group);
