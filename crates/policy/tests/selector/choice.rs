//! Selection of the server for an attempt.

use std::time::Duration;

use monsooncart_policy::{action, event, handle, outcome};

use crate::fixture::{self, MS};

const SUCCESS: outcome::Outcome = outcome::Outcome::Answered(200);

#[test]
fn unrepeatable_requests_go_to_the_server_with_the_latest_success() {
    let mut harness = fixture::harness((0..6).map(fixture::server).collect());
    harness.report_evidence(3, 2, 0);

    let sent = fixture::sent_attempts(&harness.arrive(false));

    assert_eq!(sent[0].server, handle::Server(3));
    assert!(sent[0].fresh_connection);
}

#[test]
fn a_server_that_failed_gets_no_unrepeatable_requests_for_a_second() {
    let mut harness = fixture::harness((0..4).map(fixture::server).collect());
    let failed = harness.complete_request(false, 50 * MS, outcome::Outcome::Answered(500));

    for _ in 0..20 {
        let server = harness.complete_request(false, 50 * MS, SUCCESS);
        assert_ne!(server, failed);
    }
}

#[test]
fn a_failure_reported_by_a_peer_counts_like_a_local_one() {
    let mut harness = fixture::harness((0..2).map(fixture::server).collect());
    harness.report_evidence(0, 0, 1);

    let sent = fixture::sent_attempts(&harness.arrive(false));

    assert_eq!(sent[0].server, handle::Server(1));
}

#[test]
fn repeatable_requests_explore_a_suspect_server_once_its_evidence_is_old() {
    let mut harness = fixture::harness((0..3).map(fixture::server).collect());
    harness.report_evidence(0, 0, 2);
    let mut explored = false;

    for _ in 0..100 {
        let server = harness.complete_request(true, 50 * MS, SUCCESS);
        explored |= server == handle::Server(0);
    }

    assert!(explored);
}

#[test]
fn a_server_that_joins_is_selected_within_40_requests() {
    let mut harness = fixture::harness((0..4).map(fixture::server).collect());
    (0..20).for_each(|_| {
        harness.complete_request(true, 20 * MS, SUCCESS);
    });
    harness.handle(fixture::inventory((0..6).map(fixture::server).collect()));
    let mut served = [false; 6];

    for _ in 0..40 {
        let server = harness.complete_request(true, 20 * MS, SUCCESS);
        served[server.0 as usize] = true;
    }

    assert!(served[4] && served[5], "{served:?}");
}

#[test]
fn leaving_servers_get_no_requests() {
    let mut leaving = fixture::server(0);
    leaving.leaving = true;
    let mut harness = fixture::harness(vec![leaving, fixture::server(1), fixture::server(2)]);
    harness.handle(event::Event::Leaving(handle::Server(1)));

    for _ in 0..20 {
        assert_eq!(
            harness.complete_request(true, 20 * MS, SUCCESS),
            handle::Server(2)
        );
    }
}

#[test]
fn after_a_misdirected_attempt_a_server_is_not_used_until_it_restarts() {
    let mut harness = fixture::harness(vec![fixture::server(0), fixture::server(1)]);
    let first = fixture::sent_attempts(&harness.arrive(false))[0];

    let retry = harness.finish(first.attempt, outcome::Outcome::Misdirected);

    let retry = fixture::sent_attempts(&retry)[0];
    assert_ne!(retry.server, first.server);
    harness.finish(retry.attempt, SUCCESS);
    for _ in 0..20 {
        assert_ne!(
            harness.complete_request(true, 20 * MS, SUCCESS),
            first.server
        );
    }
    let mut restarted = fixture::server(first.server.0);
    restarted.started_millis = 2;
    harness.handle(fixture::inventory(vec![restarted]));
    assert_eq!(
        harness.complete_request(true, 20 * MS, SUCCESS),
        first.server
    );
}

#[test]
fn a_restarted_server_starts_without_evidence() {
    let mut harness = fixture::harness(vec![fixture::server(0), fixture::server(1)]);
    harness.report_evidence(0, 0, 3);
    harness.report_evidence(1, 0, 1);
    let mut restarted = fixture::server(0);
    restarted.started_millis = 2;

    harness.handle(fixture::inventory(vec![restarted, fixture::server(1)]));

    let sent = fixture::sent_attempts(&harness.arrive(false));
    assert_eq!(sent[0].server, handle::Server(0));
}

#[test]
fn requests_with_large_responses_stay_local_while_a_local_server_may_succeed() {
    let mut remote = fixture::server(1);
    remote.local = false;
    let mut harness = fixture::harness(vec![fixture::server(0), remote]);
    harness.report_evidence(0, 0, 1);
    harness.report_evidence(1, 3, 0);
    let mut arrival = harness.arrival(false);
    arrival.expected_response_bytes = 200_000;

    let large = fixture::sent_attempts(&harness.handle(event::Event::Arrive(arrival)))[0];
    let small = fixture::sent_attempts(&harness.arrive(false))[0];

    assert_eq!(large.server, handle::Server(0));
    assert_eq!(small.server, handle::Server(1));
}

#[test]
fn a_request_with_a_large_response_goes_to_a_remote_server_if_the_local_one_is_unhealthy() {
    let mut remote = fixture::server(1);
    remote.local = false;
    let mut harness = fixture::harness(vec![fixture::server(0), remote]);
    harness.report_evidence(0, 0, 3);
    harness.report_evidence(1, 3, 0);
    let mut arrival = harness.arrival(true);
    arrival.expected_response_bytes = 40_000;

    let sent = fixture::sent_attempts(&harness.handle(event::Event::Arrive(arrival)))[0];

    assert_eq!(sent.server, handle::Server(1));
}

#[test]
fn no_request_explores_once_the_retry_budget_is_exhausted() {
    let mut harness = fixture::harness((0..2).map(fixture::server).collect());
    harness.report_evidence(1, 3, 0);
    for _ in 0..100 {
        let sent = fixture::sent_attempts(&harness.arrive(true))[0];
        let retry = harness.finish(sent.attempt, outcome::Outcome::Failed(500));
        let retry = fixture::sent_attempts(&retry);
        retry
            .iter()
            .for_each(|s| drop(harness.finish(s.attempt, SUCCESS)));
        harness.advance(60 * MS);
    }
    harness.report_evidence(0, 0, 3);
    harness.report_evidence(1, 3, 0);

    let sent = fixture::sent_attempts(&harness.arrive(true))[0];

    assert_eq!(sent.server, handle::Server(1));
}

#[test]
fn suspicion_and_its_end_are_reported_to_operators() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    let change = |actions: &[action::Action]| {
        actions.iter().find_map(|action| match action {
            action::Action::ReportState { change, .. } => Some(*change),
            _ => None,
        })
    };
    let sent = fixture::sent_attempts(&harness.arrive(false))[0];
    let suspected = harness.finish(sent.attempt, outcome::Outcome::Answered(500));
    let mut changes = Vec::new();

    for _ in 0..3 {
        harness.advance(Duration::from_millis(500));
        let sent = fixture::sent_attempts(&harness.arrive(false))[0];
        changes.extend(change(&harness.finish(sent.attempt, SUCCESS)));
    }

    assert_eq!(change(&suspected), Some(action::StateChange::Doubted));
    assert_eq!(changes, [action::StateChange::Acquitted]);
}
