//! The entry sets: few daemons a service, spread, near the servers, and stable.

use std::sync::Arc;

use monsooncart_config::{object, objective, server, service, snapshot, zone};
use monsooncart_daemon::entries;
use monsooncart_policy::membership::member;
use monsooncart_types::{id, instance, share, span};

/// Daemons of an entry set.
const COUNT: usize = 3;

fn name<T: std::str::FromStr<Err = id::Error>>(text: &str) -> T {
    text.parse().expect("name is good")
}

fn member(number: u64, data_centre: &str, region: &str) -> member::Member {
    let address = ([127, 0, 0, 1], 1000 + u16::try_from(number).expect("small")).into();
    member::Member {
        vm: name(&format!("entry-{number}")),
        instance: instance::Instance(number),
        peers: address,
        callers: address,
        admin: address,
        data_centre: name(data_centre),
        region: name(region),
        state: member::State::Alive,
        leaving: false,
        capacity: 1000,
    }
}

/// Daemons in the three data centres of two regions.
fn members(count: u64) -> Vec<member::Member> {
    let member = |n: u64| {
        let region = ["attica", "scot"][(n % 2) as usize];
        let centre = format!("{region}-{}", ["a", "b", "c"][(n / 2 % 3) as usize]);
        member(n, &centre, region)
    };
    (0..count).map(member).collect()
}

fn snapshot(services: usize) -> snapshot::Snapshot {
    let mut zones = Vec::new();
    for region in ["attica", "scot"] {
        for centre in ["a", "b", "c"] {
            zones.push(zone::Zone {
                data_centre: name(&format!("{region}-{centre}")),
                region: name(region),
            });
        }
    }
    let mut snapshot = snapshot::Snapshot::default();
    snapshot.take(&object::Key::Zones, 1, object::Value::Zones(zones));
    for number in 0..services {
        let service = service(number);
        let key = object::Key::Service(service.name.clone());
        snapshot.take(&key, 1, object::Value::Service(Some(Box::new(service))));
    }
    snapshot
}

/// A service whose servers stand in the region attica.
fn service(number: usize) -> service::Service {
    let server = server::Server {
        name: name(&format!("server-{number}")),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: name("attica-a"),
        slots: 2,
        connections: 330,
        leaving: false,
        cold: span::Span::default(),
        started_millis: 0,
    };
    service::Service {
        name: name(&format!("service-{number}")),
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

fn sets(directory: &entries::Directory, services: usize) -> Vec<Arc<[member::Member]>> {
    let name = |n: usize| name::<id::Service>(&format!("service-{n}"));
    (0..services)
        .map(|n| directory.entry_set(&name(n)))
        .collect()
}

#[test]
fn set_is_near_the_servers_and_spread_over_data_centres() {
    let directory = entries::Directory::new(COUNT);

    directory.update(&snapshot(50), &members(60));

    for set in sets(&directory, 50) {
        let centres: std::collections::BTreeSet<_> = set.iter().map(|m| &m.data_centre).collect();
        assert_eq!(set.len(), COUNT);
        assert_eq!(centres.len(), COUNT);
        assert!(set.iter().all(|m| m.region.as_str() == "attica"));
    }
}

#[test]
fn region_without_daemons_is_served_by_the_others() {
    let directory = entries::Directory::new(COUNT);
    let far: Vec<_> = members(60)
        .into_iter()
        .filter(|m| m.region.as_str() == "scot")
        .collect();

    directory.update(&snapshot(5), &far);

    assert!(sets(&directory, 5).iter().all(|set| set.len() == COUNT));
}

#[test]
fn followed_changes_give_the_same_sets_as_a_new_directory() {
    arbtest::arbtest(|u| {
        let snapshot = snapshot(20);
        let all = members(40);
        // More than the region's three data centres, too.
        let count = u.int_in_range(1..=7)?;
        let directory = entries::Directory::new(count);
        let mut last = Vec::new();
        for _ in 0..u.int_in_range(1..=12)? {
            let mut present = Vec::new();
            for member in &all {
                let mut member = member.clone();
                member.leaving = u.ratio(1, 8)?;
                if u.ratio(3, 4)? {
                    present.push(member);
                }
            }

            let before = sets(&directory, 20);
            let changed = directory.update(&snapshot, &present);
            let fresh = entries::Directory::new(count);
            fresh.update(&snapshot, &present);

            last = sets(&directory, 20);
            assert_eq!(last, sets(&fresh, 20));
            let differ = before.iter().zip(&last).filter(|(a, b)| a != b).count();
            assert!(differ <= changed.len());
        }
        assert_eq!(last.len(), 20);
        Ok(())
    });
}
