//! Reports to the daemons of other data centres: failures, and the load of busy servers.

use std::time::Duration;

use monsooncart_policy::event;
use monsooncart_policy::selector::report;
use monsooncart_types::{id, time};

fn server(number: u32) -> id::Server {
    format!("server-{number}").parse().expect("a name")
}

fn digest(in_flight: u32, bad: u32) -> event::Digest {
    event::Digest {
        good: 1,
        bad,
        in_flight,
        oldest_millis: 0,
        median_millis: 0,
        suspicion: 0,
    }
}

fn at(millis: u64) -> time::Time {
    time::Time::from_millis(millis)
}

/// Reports with one digest each, for servers with six slots; returns the loads reported.
fn report(reports: &mut report::Reports, millis: u64, in_flight: u32, bad: u32) -> Vec<u32> {
    reports.add(&[(server(0), digest(in_flight, bad))]);
    let reported = reports.take(at(millis), |_| 6);
    reported
        .iter()
        .map(|(_, digest)| digest.in_flight)
        .collect()
}

#[test]
fn failures_are_reported_at_once() {
    let mut reports = report::Reports::default();
    report(&mut reports, 1000, 0, 0);

    assert_eq!(report(&mut reports, 1001, 1, 1), [1]);
}

#[test]
fn the_load_of_a_busy_server_is_reported_until_it_is_small_again() {
    let mut reports = report::Reports::default();

    let small = report(&mut reports, 1000, 1, 0);
    let busy = report(&mut reports, 1200, 4, 0);
    let no_longer = report(&mut reports, 1400, 1, 0);
    let afterwards = report(&mut reports, 1600, 1, 0);

    assert!(small.is_empty());
    assert_eq!((busy, no_longer), (vec![4], vec![1]));
    assert!(afterwards.is_empty());
}

#[test]
fn loads_are_batched() {
    let mut reports = report::Reports::default();
    let mut reported = Vec::new();

    for millis in 0..1000 {
        reported.extend(report(&mut reports, 1000 + millis, 5, 0));
    }

    assert!(
        reported.len() <= 10,
        "{} reports in a second",
        reported.len()
    );
}

#[test]
fn results_of_a_batch_are_added_up() {
    let mut reports = report::Reports::default();
    reports.take(at(1000), |_| 6);
    reports.add(&[(server(0), digest(3, 0))]);
    reports.take(at(1010), |_| 6);
    reports.add(&[(server(0), digest(4, 0))]);

    let reported = reports.take(at(1000) + Duration::from_millis(100), |_| 6);

    assert_eq!(reported[0].1.good, 2);
    assert_eq!(reported[0].1.in_flight, 4);
}

#[test]
fn servers_in_use_are_reported_at_an_interval_and_presence_between() {
    let mut reports = report::Reports::default();
    let mut reported = Vec::new();

    for millis in 0..6000 {
        reports.add(&[(server(millis as u32 % 3), digest(1, 0))]);
        reports.take(at(1000 + millis), |_| 6);
        reported.extend(reports.take_use(at(1000 + millis)));
    }

    let of_use: Vec<_> = reported.iter().filter(|used| !used.is_empty()).collect();
    assert_eq!((reported.len(), of_use.len()), (20, 3));
    for used in &of_use[1..] {
        assert_eq!(used.len(), 3);
    }
}

#[test]
fn use_is_reported_without_results() {
    let mut reports = report::Reports::default();
    reports.add(&[(server(0), digest(1, 1)), (server(1), digest(1, 0))]);

    let failed = reports.take(at(1000), |_| 6);
    let mut used = reports.take_use(at(1000)).unwrap_or_default();
    used.sort_unstable_by(|a, b| a.0.cmp(&b.0));

    assert_eq!(failed, [(server(0), digest(1, 1))]);
    let used_servers = [0, 1].map(|number| (server(number), event::Digest::USED));
    assert_eq!(used, used_servers);
}
