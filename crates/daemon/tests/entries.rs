//! Tests of entry sets: size, spread over data centres, region of the servers, and stability.

use std::sync::Arc;

use monsooncart_config::{object, objective, server, service, snapshot, zone};
use monsooncart_daemon::{entries, gateway};
use monsooncart_policy::membership::member;
use monsooncart_types::{id, instance, share, span, time};

/// Daemons per entry set.
const SET_SIZE: usize = 3;

fn name<T: std::str::FromStr<Err = id::Error>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn member(number: u64, data_centre: &str, region: &str) -> member::Member {
    let address = (
        [127, 0, 0, 1],
        1000 + u16::try_from(number).expect("number fits a port"),
    )
        .into();
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

/// Creates daemons spread over two regions with three data centres each.
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
    snapshot.apply(&object::Key::Zones, 1, object::Value::Zones(zones));
    for number in 0..services {
        let service = service(number);
        let key = object::Key::Service(service.name.clone());
        snapshot.apply(&key, 1, object::Value::Service(Some(Box::new(service))));
    }
    snapshot
}

/// A service whose only server is in the region attica.
fn service(number: usize) -> service::Service {
    let server = server::Server {
        name: name(&format!("server-{number}")),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: name("attica-a"),
        slots: 2,
        connections: 330,
        leaving: false,
        remaining_warm_up: span::Span::default(),
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
fn entry_set_is_in_the_servers_region_and_spans_data_centres() {
    let directory = entries::Directory::new(SET_SIZE);

    directory.update(&snapshot(50), &members(60));

    for set in sets(&directory, 50) {
        let centres: std::collections::BTreeSet<_> = set.iter().map(|m| &m.data_centre).collect();
        assert_eq!(set.len(), SET_SIZE);
        assert_eq!(centres.len(), SET_SIZE);
        assert!(set.iter().all(|m| m.region.as_str() == "attica"));
    }
}

#[test]
fn service_in_a_region_without_daemons_gets_daemons_of_other_regions() {
    let directory = entries::Directory::new(SET_SIZE);
    let remote: Vec<_> = members(60)
        .into_iter()
        .filter(|m| m.region.as_str() == "scot")
        .collect();

    directory.update(&snapshot(5), &remote);

    assert!(sets(&directory, 5).iter().all(|set| set.len() == SET_SIZE));
}

#[test]
fn incremental_updates_give_the_same_sets_as_a_new_directory() {
    arbtest::arbtest(|u| {
        let snapshot = snapshot(20);
        let all = members(40);
        // Includes sets with more daemons than the region has data centres.
        let set_size = u.int_in_range(1..=7)?;
        let directory = entries::Directory::new(set_size);
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

            let previous = sets(&directory, 20);
            let changed = directory.update(&snapshot, &present);
            let rebuilt = entries::Directory::new(set_size);
            rebuilt.update(&snapshot, &present);

            last = sets(&directory, 20);
            assert_eq!(last, sets(&rebuilt, 20));
            let differing = previous.iter().zip(&last).filter(|(a, b)| a != b).count();
            assert!(differing <= changed.len());
        }
        assert_eq!(last.len(), 20);
        Ok(())
    });
}

/// Numbers of the daemons that callers of `data_centre` are directed to.
fn resolved(sets: &gateway::entries::Entries, data_centre: &str) -> Vec<u64> {
    let members = sets.for_data_centre(Some(&name(data_centre)));
    let mut numbers: Vec<_> = members.iter().map(|m| m.instance.0).collect();
    numbers.sort_unstable();
    numbers
}

/// Guards against callers that are directed to daemons without a path to the servers (RECOVER).
#[test]
fn daemons_that_lost_their_path_are_left_out_of_the_gateway_sets() {
    let members = [(1, "a"), (2, "a"), (3, "b"), (4, "b")];
    let members = members.map(|(number, centre)| member(number, centre, "north"));
    let lost = |numbers: &[u64]| numbers.iter().map(|n| instance::Instance(*n)).collect();
    let sets = gateway::entries::Entries::new(SET_SIZE);

    sets.update(&members, &lost(&[]));
    assert_eq!(resolved(&sets, "a"), [1, 2]);
    sets.update(&members, &lost(&[1]));
    assert_eq!(resolved(&sets, "a"), [2]);
    // Callers of a data centre that is cut off as a whole are directed to the others.
    sets.update(&members, &lost(&[1, 2]));
    assert_eq!(resolved(&sets, "a"), [3, 4]);
    sets.update(&members, &lost(&[1, 2, 3, 4]));
    assert_eq!(resolved(&sets, "a"), [1, 2]);
}

#[test]
fn reports_of_lost_paths_are_ordered_and_end_with_their_daemon() {
    let paths = gateway::paths::Paths::new(instance::Instance(1));
    let (service, other) = (name("desk"), instance::Instance(2));

    paths.record(other, service, 2, true);
    paths.record(other, name("desk"), 1, false);
    assert!(paths.is_lost(other, &name("desk")));
    assert!(!paths.is_lost(other, &name("vault")));
    paths.record_own(&name("vault"), true);
    let mut lost: Vec<_> = paths.lost_daemons().into_iter().collect();
    lost.sort_unstable();
    assert_eq!(lost, [instance::Instance(1), other]);

    paths.retain_members(&[member(1, "a", "north")]);
    assert!(!paths.is_lost(other, &name("desk")));
    paths.record_own(&name("vault"), false);
    assert!(paths.lost_daemons().is_empty());
}

#[test]
fn observers_of_a_data_centre_are_few_and_in_others() {
    let sets = gateway::entries::Entries::new(SET_SIZE);
    let members = members(60);
    let data_centre = name("attica-a");

    sets.update(&members, &[].into_iter().collect());
    let observers = sets.observers(&data_centre);
    let (lost, left): (Vec<_>, Vec<_>) = members
        .into_iter()
        .partition(|m| m.instance == observers[0].instance);
    sets.update(&left, &[].into_iter().collect());
    let later = sets.observers(&data_centre);

    assert_eq!((observers.len(), later.len()), (4, 4));
    assert!(observers.iter().all(|m| m.data_centre != data_centre));
    assert!(!later.contains(&lost[0]));
    assert_eq!(later.iter().filter(|m| observers.contains(m)).count(), 3);
}

#[test]
fn a_former_observer_hears_of_a_daemon_until_it_no_longer_covers_servers() {
    let mut observers = gateway::observers::Observers::default();
    let [former, chosen] = [1, 2].map(|number| member(number, "b", "north"));
    let at = |seconds: u64| time::Time::from_millis(1000 * seconds);

    observers.record_report(at(0), vec![former.clone()]);
    observers.record_report(at(9), vec![chosen.clone()]);
    let mut receivers = observers.receivers();
    observers.record_report(at(10), vec![chosen.clone()]);
    let later = observers.receivers();

    receivers.sort_unstable_by_key(|m| m.instance);
    assert_eq!(receivers, [former, chosen.clone()]);
    assert_eq!(later, [chosen]);
}
