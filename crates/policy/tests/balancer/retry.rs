//! Retries and hedges: inside the budget, elsewhere, never for unrepeatable work that may have
//! run.

use std::time::Duration;

use monsooncart_policy::{action, event, outcome, retry};

use crate::fixture::{self, MS};

#[test]
fn a_budget_bounds_retries_by_a_share_of_traffic() {
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
fn a_broken_repeatable_request_goes_to_another_server() {
    let mut bench = fixture::bench(3, 2);
    let sent = fixture::sends(&bench.arrive())[0];

    let actions = bench.finish(sent.attempt, outcome::Outcome::Broken);

    let again = fixture::sends(&actions)[0];
    assert_eq!(again.request, sent.request);
    assert_ne!(again.server, sent.server);
}

#[test]
fn unrepeatable_work_goes_on_new_connections() {
    let mut bench = fixture::bench(3, 2);

    let sent = fixture::sends(&bench.arrive_once())[0];

    assert!(sent.fresh);
}

#[test]
fn unrepeatable_work_that_may_have_run_is_not_sent_again() {
    let ends = [
        outcome::Outcome::Broken,
        outcome::Outcome::Timeout,
        outcome::Outcome::Garbled,
    ];
    for end in ends {
        let mut bench = fixture::bench(3, 2);
        let sent = fixture::sends(&bench.arrive_once())[0];

        let actions = bench.finish(sent.attempt, end);

        assert!(fixture::sends(&actions).is_empty(), "{end}");
        let refusal = fixture::refusals(&actions)[0].1;
        assert_eq!(refusal.reason, outcome::Reason::Unknown, "{end}");
        assert_eq!(refusal.execution, outcome::Execution::Unknown, "{end}");
    }
}

#[test]
fn unrepeatable_work_that_was_not_run_is_sent_elsewhere() {
    let ends = [
        outcome::Outcome::Unsent,
        outcome::Outcome::Shed { leaving: false },
    ];
    for end in ends {
        let mut bench = fixture::bench(3, 2);
        let sent = fixture::sends(&bench.arrive_once())[0];

        let actions = bench.finish(sent.attempt, end);

        let again = fixture::sends(&actions)[0];
        assert_ne!(again.server, sent.server, "{end}");
        assert!(again.fresh, "{end}");
    }
}

#[test]
fn a_spent_budget_refuses_at_once() {
    let mut bench = fixture::bench(3, 6);
    let mut refused = 0;

    for _ in 0..40 {
        let sent = fixture::sends(&bench.arrive());
        let mut open = sent;
        while let Some(sent) = open.pop() {
            let actions = bench.finish(sent.attempt, outcome::Outcome::Broken);
            open.extend(fixture::sends(&actions));
            refused += fixture::refusals(&actions).len();
        }
    }

    assert!(refused > 20, "{refused} of 40 refused");
}

#[test]
fn a_request_that_cannot_be_replayed_is_refused() {
    let mut bench = fixture::bench(3, 2);
    let sent = fixture::sends(&bench.arrive())[0];

    let actions = bench.handle(event::Event::Finish {
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
fn no_retry_comes_after_the_deadline() {
    let mut bench = fixture::bench(3, 2);
    bench.warm(30, 50 * MS);
    let mut arrival = bench.arrival();
    arrival.deadline = bench.now + 60 * MS;
    let sent = fixture::sends(&bench.handle(event::Event::Arrive(arrival)))[0];

    bench.pass(40 * MS);
    let actions = bench.finish(sent.attempt, outcome::Outcome::Broken);

    assert!(fixture::sends(&actions).is_empty());
    assert_eq!(fixture::refusals(&actions).len(), 1);
}

#[test]
fn a_late_repeatable_request_is_hedged_and_the_loser_cancelled() {
    let mut bench = fixture::bench(4, 2);
    bench.warm(60, 10 * MS);
    let first = fixture::sends(&bench.arrive())[0];
    bench.pass(200 * MS);

    let hedge = fixture::sends(&bench.tick())[0];
    let actions = bench.head(hedge.attempt, 200);
    let lost = bench.finish(first.attempt, outcome::Outcome::Cancelled);
    let won = bench.answer(hedge.attempt);

    assert_eq!(hedge.request, first.request);
    assert_ne!(hedge.server, first.server);
    assert!(actions.contains(&action::Action::Cancel(first.attempt)));
    assert!(lost.is_empty() && won.is_empty());
}

#[test]
fn an_unrepeatable_request_is_never_hedged() {
    let mut bench = fixture::bench(4, 2);
    bench.warm(60, 10 * MS);
    bench.arrive_once();

    bench.pass(Duration::from_secs(1));
    let actions = bench.tick();

    assert!(fixture::sends(&actions).is_empty());
}
