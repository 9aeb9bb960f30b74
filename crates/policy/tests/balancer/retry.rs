//! Retries and hedges stay within the budget, go to another server and are never sent for an
//! unrepeatable request that may have been executed.

use std::time::Duration;

use monsooncart_policy::{action, event, handle, outcome, retry};

use crate::fixture::{self, MS};

#[test]
fn a_budget_bounds_retries_by_a_ratio_of_traffic() {
    let mut budget = retry::Budget::new(0.1);
    while budget.withdraw_retry() {}

    let mut retries = 0;
    for _ in 0..1000 {
        budget.deposit();
        retries += u32::from(budget.withdraw_retry());
    }

    assert!((95..=100).contains(&retries), "{retries} retries of 1000");
}

#[test]
fn a_broken_repeatable_request_is_retried_at_another_server() {
    let mut harness = fixture::harness(3, 2);
    let sent = fixture::sends(&harness.arrive())[0];

    let actions = harness.finish(sent.attempt, outcome::Outcome::Broken);

    let retried = fixture::sends(&actions)[0];
    assert_eq!(retried.request, sent.request);
    assert_ne!(retried.server, sent.server);
}

#[test]
fn unrepeatable_requests_use_fresh_connections() {
    let mut harness = fixture::harness(3, 2);

    let sent = fixture::sends(&harness.arrive_unrepeatable())[0];

    assert!(sent.fresh_connection);
}

#[test]
fn unrepeatable_requests_that_may_have_run_are_not_retried() {
    let outcomes = [
        outcome::Outcome::Broken,
        outcome::Outcome::Timeout,
        outcome::Outcome::Garbled,
    ];
    for outcome in outcomes {
        let mut harness = fixture::harness(3, 2);
        let sent = fixture::sends(&harness.arrive_unrepeatable())[0];

        let actions = harness.finish(sent.attempt, outcome);

        assert!(fixture::sends(&actions).is_empty(), "{outcome}");
        let refusal = fixture::refusals(&actions)[0].1;
        assert_eq!(refusal.reason, outcome::Reason::Unknown, "{outcome}");
        assert_eq!(refusal.execution, outcome::Execution::Unknown, "{outcome}");
    }
}

#[test]
fn unrepeatable_requests_that_were_not_run_are_retried_elsewhere() {
    let outcomes = [
        outcome::Outcome::Unsent,
        outcome::Outcome::Removed,
        outcome::Outcome::Shed { leaving: false },
    ];
    for outcome in outcomes {
        let mut harness = fixture::harness(3, 2);
        let sent = fixture::sends(&harness.arrive_unrepeatable())[0];

        let actions = harness.finish(sent.attempt, outcome);

        let retried = fixture::sends(&actions)[0];
        assert_ne!(retried.server, sent.server, "{outcome}");
        assert!(retried.fresh_connection, "{outcome}");
    }
}

#[test]
fn a_removed_server_uses_up_neither_an_attempt_nor_the_retry_budget() {
    let mut harness = fixture::harness(40, 2);
    let mut sent = fixture::sends(&harness.arrive_unrepeatable());
    let mut tried = Vec::new();

    while let Some(next) = sent.pop() {
        tried.push(next.server);
        let actions = harness.finish(next.attempt, outcome::Outcome::Removed);
        sent = fixture::sends(&actions);
    }

    tried.sort_unstable_by_key(|server| server.0);
    assert_eq!(tried, (0..40).map(handle::Server).collect::<Vec<_>>());
}

#[test]
fn an_exhausted_budget_refuses_at_once() {
    let mut harness = fixture::harness(3, 6);
    let mut refused = 0;

    for _ in 0..40 {
        let sent = fixture::sends(&harness.arrive());
        let mut in_flight = sent;
        while let Some(sent) = in_flight.pop() {
            let actions = harness.finish(sent.attempt, outcome::Outcome::Broken);
            in_flight.extend(fixture::sends(&actions));
            refused += fixture::refusals(&actions).len();
        }
    }

    assert!(refused > 20, "{refused} of 40 refused");
}

#[test]
fn a_request_that_cannot_be_replayed_is_refused() {
    let mut harness = fixture::harness(3, 2);
    let sent = fixture::sends(&harness.arrive())[0];

    let actions = harness.handle(event::Event::Finish {
        attempt: sent.attempt,
        outcome: outcome::Outcome::Broken,
        replayable: false,
        retry_after: None,
    });

    assert_eq!(
        fixture::refusals(&actions)[0].1.execution,
        outcome::Execution::Unknown
    );
}

#[test]
fn no_retry_is_sent_that_would_miss_the_deadline() {
    let mut harness = fixture::harness(3, 2);
    harness.establish_baseline(30, 50 * MS);
    let mut arrival = harness.arrival();
    arrival.deadline = harness.now + 60 * MS;
    let sent = fixture::sends(&harness.handle(event::Event::Arrive(arrival)))[0];

    harness.advance(40 * MS);
    let actions = harness.finish(sent.attempt, outcome::Outcome::Broken);

    assert!(fixture::sends(&actions).is_empty());
    assert_eq!(fixture::refusals(&actions).len(), 1);
}

#[test]
fn a_late_repeatable_request_is_hedged_and_the_loser_cancelled() {
    let mut harness = fixture::harness(4, 2);
    harness.establish_baseline(60, 10 * MS);
    let first = fixture::sends(&harness.arrive())[0];
    harness.advance(200 * MS);

    let hedge = fixture::sends(&harness.tick())[0];
    let actions = harness.deliver_head(hedge.attempt, 200);
    let loser_actions = harness.finish(first.attempt, outcome::Outcome::Cancelled);
    let winner_actions = harness.answer(hedge.attempt);

    assert_eq!(hedge.request, first.request);
    assert_ne!(hedge.server, first.server);
    assert!(actions.contains(&action::Action::Cancel(first.attempt)));
    assert!(loser_actions.is_empty() && winner_actions.is_empty());
}

/// Guards against hedges that could only be sent without the body (UNASKED).
#[test]
fn a_request_whose_only_body_an_attempt_has_is_not_hedged() {
    let mut harness = fixture::harness(4, 2);
    harness.establish_baseline(60, 10 * MS);
    let first = fixture::sends(&harness.arrive())[0];
    harness.handle(event::Event::BodyTaken(first.attempt));

    harness.advance(200 * MS);
    let actions = harness.tick();

    assert!(fixture::sends(&actions).is_empty());
}

/// Guards against a hedge that found the body taken and ends the request or is retried.
#[test]
fn a_hedge_that_cannot_have_the_body_leaves_the_first_attempt_alone() {
    let mut harness = fixture::harness(4, 2);
    harness.establish_baseline(60, 10 * MS);
    let first = fixture::sends(&harness.arrive())[0];
    harness.advance(200 * MS);
    let hedge = fixture::sends(&harness.tick())[0];
    harness.handle(event::Event::BodyTaken(first.attempt));

    let actions = harness.finish(hedge.attempt, outcome::Outcome::BodyTaken);
    let answered = harness.answer(first.attempt);

    assert!(actions.is_empty() && answered.is_empty());
}

#[test]
fn an_unrepeatable_request_is_never_hedged() {
    let mut harness = fixture::harness(4, 2);
    harness.establish_baseline(60, 10 * MS);
    harness.arrive_unrepeatable();

    harness.advance(Duration::from_secs(1));
    let actions = harness.tick();

    assert!(fixture::sends(&actions).is_empty());
}
