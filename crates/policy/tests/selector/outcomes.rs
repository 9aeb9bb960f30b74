//! Results of requests: retries, refusals and hedges.

use std::time::Duration;

use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{action, event, handle, inventory, outcome};

use crate::fixture::{self, MS};

#[test]
fn an_unrepeatable_request_that_may_have_been_executed_is_not_retried() {
    for outcome in [
        outcome::Outcome::Broken,
        outcome::Outcome::Timeout,
        outcome::Outcome::Garbled,
        outcome::Outcome::Failed(500),
    ] {
        let mut harness = fixture::harness((0..4).map(fixture::server).collect());
        let sent = fixture::sent_attempts(&harness.arrive(false))[0];

        let actions = harness.finish(sent.attempt, outcome);

        assert!(fixture::sent_attempts(&actions).is_empty(), "{outcome}");
        let refusal = fixture::refusals(&actions)[0];
        assert_eq!(refusal.execution, outcome::Execution::Unknown, "{outcome}");
    }
}

#[test]
fn a_request_that_was_not_executed_is_retried_at_another_server() {
    for outcome in [
        outcome::Outcome::Unsent,
        outcome::Outcome::Removed,
        outcome::Outcome::Misdirected,
        outcome::Outcome::Shed { leaving: false },
    ] {
        let mut harness = fixture::harness((0..4).map(fixture::server).collect());
        let first = fixture::sent_attempts(&harness.arrive(false))[0];

        let actions = harness.finish(first.attempt, outcome);

        let second = fixture::sent_attempts(&actions)[0];
        assert_ne!(second.server, first.server, "{outcome}");
    }
}

#[test]
fn a_removed_server_uses_up_neither_an_attempt_nor_the_retry_budget() {
    let mut harness = fixture::harness((0..40).map(fixture::server).collect());
    let mut arrival = harness.arrival(false);
    arrival.max_attempts = 1;
    let mut sent = fixture::sent_attempts(&harness.handle(event::Event::Arrive(arrival)));
    let mut tried = Vec::new();

    while let Some(next) = sent.pop() {
        tried.push(next.server);
        let actions = harness.finish(next.attempt, outcome::Outcome::Removed);
        sent = fixture::sent_attempts(&actions);
        if sent.is_empty() {
            let refusal = fixture::refusals(&actions)[0];
            assert_eq!(refusal.execution, outcome::Execution::NotRun);
            assert_eq!(refusal.reason, outcome::Reason::NoServer);
        }
    }

    tried.sort_unstable_by_key(|server| server.0);
    assert_eq!(tried, (0..40).map(handle::Server).collect::<Vec<_>>());
}

#[test]
fn a_removed_server_receives_requests_again_once_an_inventory_has_it() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    let sent = fixture::sent_attempts(&harness.arrive(false))[0];
    harness.finish(sent.attempt, outcome::Outcome::Removed);
    let refused = fixture::refusals(&harness.arrive(false)).len();

    harness.handle(fixture::inventory(vec![fixture::server(0)]));

    let sent = fixture::sent_attempts(&harness.arrive(false));
    assert_eq!((refused, sent.len()), (1, 1));
}

#[test]
fn a_request_that_every_permitted_server_shed_is_refused_as_not_run_with_a_retry_delay() {
    let mut harness = fixture::harness((0..4).map(fixture::server).collect());
    let first = fixture::sent_attempts(&harness.arrive(false))[0];
    let shed = outcome::Outcome::Shed { leaving: false };
    let second = fixture::sent_attempts(&harness.finish(first.attempt, shed))[0];

    let actions = harness.finish(second.attempt, shed);

    let refusal = fixture::refusals(&actions)[0];
    assert_eq!(refusal.execution, outcome::Execution::NotRun);
    assert_eq!(refusal.reason, outcome::Reason::Overload);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_request_without_servers_is_refused_at_once() {
    let mut harness = fixture::harness(Vec::new());

    let actions = harness.arrive(true);

    let refusal = fixture::refusals(&actions)[0];
    assert_eq!(refusal.reason, outcome::Reason::NoServer);
    assert_eq!(refusal.execution, outcome::Execution::NotRun);
}

#[test]
fn a_repeatable_request_with_a_late_response_is_hedged_once() {
    let mut harness = fixture::harness((0..4).map(fixture::server).collect());
    let first = fixture::sent_attempts(&harness.arrive(true))[0];
    harness.advance(500 * MS);

    let hedge = fixture::sent_attempts(&harness.handle(event::Event::Tick));
    harness.advance(500 * MS);
    let second_hedge = fixture::sent_attempts(&harness.handle(event::Event::Tick));

    assert_eq!(hedge.len(), 1);
    assert_ne!(hedge[0].server, first.server);
    assert!(second_hedge.is_empty());
    let completed = harness.finish(hedge[0].attempt, outcome::Outcome::Answered(200));
    assert!(completed.contains(&action::Action::Cancel(first.attempt)));
}

#[test]
fn an_unrepeatable_request_is_never_hedged() {
    let mut harness = fixture::harness((0..4).map(fixture::server).collect());
    harness.arrive(false);
    harness.advance(3000 * MS);

    let actions = harness.handle(event::Event::Tick);

    assert!(fixture::sent_attempts(&actions).is_empty());
}

#[test]
fn a_quarantined_request_is_sent_to_no_server() {
    let mut harness = fixture::harness((0..4).map(fixture::server).collect());
    let fingerprint = handle::Fingerprint(5);
    let expires_at = harness.now + 10_000 * MS;
    harness.handle(event::Event::Quarantine {
        fingerprint,
        expires_at,
    });
    let mut arrival = harness.arrival(true);
    arrival.fingerprint = Some(fingerprint);

    let actions = harness.handle(event::Event::Arrive(arrival));

    assert!(fixture::sent_attempts(&actions).is_empty());
    assert_eq!(
        fixture::refusals(&actions)[0].reason,
        outcome::Reason::Poison
    );
}

/// Guards against requests that are refused because another one with the same head crashed servers.
#[test]
fn a_head_that_crashed_servers_is_suspected_and_never_quarantined() {
    let mut harness = fixture::harness((0..4).map(fixture::server).collect());
    let head = handle::Fingerprint::of_head(5);
    for server in 0..3 {
        harness.handle(event::Event::CrashReport {
            fingerprint: head,
            run: handle::Run {
                server: handle::Server(server),
                started_millis: 1,
            },
        });
    }
    harness.handle(event::Event::Quarantine {
        fingerprint: head,
        expires_at: harness.now + 10_000 * MS,
    });
    let mut arrival = harness.arrival(false);
    arrival.fingerprint = Some(head);

    let actions = harness.handle(event::Event::Arrive(arrival));

    let attempt = fixture::sent_attempts(&actions)[0].attempt;
    harness.finish(attempt, outcome::Outcome::Answered(200));
    assert!(harness.policy.is_suspected(head));
    assert!(
        !harness
            .policy
            .is_suspected(handle::Fingerprint::of_request(5))
    );
}

#[test]
fn a_server_that_reports_an_exceeded_deadline_is_not_suspect() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    (0..5).for_each(|_| {
        harness.complete_request(false, 200 * MS, outcome::Outcome::Answered(200));
    });

    harness.complete_request(false, 400 * MS, outcome::Outcome::Answered(504));

    let view = monsooncart_policy::service::Policy::view(&harness.policy, harness.now);
    assert_eq!(view[0].state, "active");
}

/// Guards against a process that ends by itself because another writer registered a server with the
/// largest numbers that its fields hold (LOST).
#[test]
fn a_server_with_the_largest_numbers_in_its_registration_does_not_affect_the_others() {
    let odd = inventory::Server {
        slots: u32::MAX,
        remaining_warm_up: Duration::MAX,
        started_millis: u64::MAX,
        ..fixture::server(0)
    };
    let servers = vec![odd, fixture::server(1), fixture::server(2)];
    let mut harness = fixture::waiting_harness(servers);

    for number in 0..200 {
        let outcome = match number % 3 {
            0 => outcome::Outcome::Answered(200),
            1 => outcome::Outcome::Answered(500),
            _ => outcome::Outcome::Shed { leaving: false },
        };
        let actions = harness.arrive(number % 2 == 0);
        if let Some(sent) = fixture::sent_attempts(&actions).first() {
            harness.advance(20 * MS);
            harness.finish(sent.attempt, outcome);
        }
        harness.handle(event::Event::Tick);
        harness.report_evidence(0, 1, 1);
    }

    assert_eq!(harness.requests, 200);
}
