//! Selection of the server for an attempt.

use std::time::Duration;

use monsooncart_policy::{action, event, handle, outcome};

use crate::fixture::{self, MS};

const SUCCESS: outcome::Outcome = outcome::Outcome::Answered(200);

#[test]
fn unrepeatable_requests_go_to_the_server_with_the_latest_success() {
    let mut bench = fixture::bench((0..6).map(fixture::server).collect());
    bench.report_evidence(3, 2, 0);

    let sent = fixture::sent_attempts(&bench.arrive(false));

    assert_eq!(sent[0].server, handle::Server(3));
    assert!(sent[0].fresh_connection);
}

#[test]
fn a_server_that_failed_gets_no_unrepeatable_requests_for_a_while() {
    let mut bench = fixture::bench((0..4).map(fixture::server).collect());
    let failed = bench.complete(false, 50 * MS, outcome::Outcome::Answered(500));

    for _ in 0..20 {
        let server = bench.complete(false, 50 * MS, SUCCESS);
        assert_ne!(server, failed);
    }
}

#[test]
fn a_failure_reported_by_a_peer_counts_like_a_local_one() {
    let mut bench = fixture::bench((0..2).map(fixture::server).collect());
    bench.report_evidence(0, 0, 1);

    let sent = fixture::sent_attempts(&bench.arrive(false));

    assert_eq!(sent[0].server, handle::Server(1));
}

#[test]
fn repeatable_requests_explore_a_suspect_server_once_its_evidence_is_old() {
    let mut bench = fixture::bench((0..3).map(fixture::server).collect());
    bench.report_evidence(0, 0, 2);
    let mut explored = false;

    for _ in 0..100 {
        let server = bench.complete(true, 50 * MS, SUCCESS);
        explored |= server == handle::Server(0);
    }

    assert!(explored);
}

#[test]
fn every_server_that_joins_soon_gets_requests() {
    let mut bench = fixture::bench((0..4).map(fixture::server).collect());
    (0..20).for_each(|_| {
        bench.complete(true, 20 * MS, SUCCESS);
    });
    bench.handle(fixture::inventory((0..6).map(fixture::server).collect()));
    let mut served = [false; 6];

    for _ in 0..40 {
        let server = bench.complete(true, 20 * MS, SUCCESS);
        served[server.0 as usize] = true;
    }

    assert!(served[4] && served[5], "{served:?}");
}

#[test]
fn leaving_servers_get_no_requests() {
    let mut leaving = fixture::server(0);
    leaving.leaving = true;
    let mut bench = fixture::bench(vec![leaving, fixture::server(1), fixture::server(2)]);
    bench.handle(event::Event::Leaving(handle::Server(1)));

    for _ in 0..20 {
        assert_eq!(bench.complete(true, 20 * MS, SUCCESS), handle::Server(2));
    }
}

#[test]
fn after_a_misdirected_attempt_a_server_is_not_used_until_it_restarts() {
    let mut bench = fixture::bench(vec![fixture::server(0), fixture::server(1)]);
    let first = fixture::sent_attempts(&bench.arrive(false))[0];

    let retry = bench.finish(first.attempt, outcome::Outcome::Misdirected);

    let retry = fixture::sent_attempts(&retry)[0];
    assert_ne!(retry.server, first.server);
    bench.finish(retry.attempt, SUCCESS);
    for _ in 0..20 {
        assert_ne!(bench.complete(true, 20 * MS, SUCCESS), first.server);
    }
    let mut restarted = fixture::server(first.server.0);
    restarted.started_millis = 2;
    bench.handle(fixture::inventory(vec![restarted]));
    assert_eq!(bench.complete(true, 20 * MS, SUCCESS), first.server);
}

#[test]
fn a_restarted_server_starts_without_evidence() {
    let mut bench = fixture::bench(vec![fixture::server(0), fixture::server(1)]);
    bench.report_evidence(0, 0, 3);
    bench.report_evidence(1, 0, 1);
    let mut restarted = fixture::server(0);
    restarted.started_millis = 2;

    bench.handle(fixture::inventory(vec![restarted, fixture::server(1)]));

    let sent = fixture::sent_attempts(&bench.arrive(false));
    assert_eq!(sent[0].server, handle::Server(0));
}

#[test]
fn requests_with_large_responses_stay_local_while_a_local_server_may_succeed() {
    let mut remote = fixture::server(1);
    remote.local = false;
    let mut bench = fixture::bench(vec![fixture::server(0), remote]);
    bench.report_evidence(0, 0, 1);
    bench.report_evidence(1, 3, 0);
    let mut arrival = bench.arrival(false);
    arrival.expected_response_bytes = 200_000;

    let large = fixture::sent_attempts(&bench.handle(event::Event::Arrive(arrival)))[0];
    let small = fixture::sent_attempts(&bench.arrive(false))[0];

    assert_eq!(large.server, handle::Server(0));
    assert_eq!(small.server, handle::Server(1));
}

#[test]
fn a_request_with_a_large_response_goes_to_a_remote_server_if_the_local_one_is_unhealthy() {
    let mut remote = fixture::server(1);
    remote.local = false;
    let mut bench = fixture::bench(vec![fixture::server(0), remote]);
    bench.report_evidence(0, 0, 3);
    bench.report_evidence(1, 3, 0);
    let mut arrival = bench.arrival(true);
    arrival.expected_response_bytes = 40_000;

    let sent = fixture::sent_attempts(&bench.handle(event::Event::Arrive(arrival)))[0];

    assert_eq!(sent.server, handle::Server(1));
}

#[test]
fn no_request_explores_once_the_retry_budget_is_exhausted() {
    let mut bench = fixture::bench((0..2).map(fixture::server).collect());
    bench.report_evidence(1, 3, 0);
    for _ in 0..100 {
        let sent = fixture::sent_attempts(&bench.arrive(true))[0];
        let retry = bench.finish(sent.attempt, outcome::Outcome::Failed(500));
        let retry = fixture::sent_attempts(&retry);
        retry
            .iter()
            .for_each(|s| drop(bench.finish(s.attempt, SUCCESS)));
        bench.advance(60 * MS);
    }
    bench.report_evidence(0, 0, 3);
    bench.report_evidence(1, 3, 0);

    let sent = fixture::sent_attempts(&bench.arrive(true))[0];

    assert_eq!(sent.server, handle::Server(1));
}

#[test]
fn suspicion_and_its_end_are_reported_to_operators() {
    let mut bench = fixture::bench(vec![fixture::server(0)]);
    let change = |actions: &[action::Action]| {
        actions.iter().find_map(|action| match action {
            action::Action::ReportState { change, .. } => Some(*change),
            _ => None,
        })
    };
    let sent = fixture::sent_attempts(&bench.arrive(false))[0];
    let suspected = bench.finish(sent.attempt, outcome::Outcome::Answered(500));
    let mut changes = Vec::new();

    for _ in 0..3 {
        bench.advance(Duration::from_millis(500));
        let sent = fixture::sent_attempts(&bench.arrive(false))[0];
        changes.extend(change(&bench.finish(sent.attempt, SUCCESS)));
    }

    assert_eq!(change(&suspected), Some(action::StateChange::Doubted));
    assert_eq!(changes, [action::StateChange::Acquitted]);
}
