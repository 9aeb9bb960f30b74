//! Requests whose bodies are held only once: one attempt has the body, others can't be sent beside it.

use std::time::Duration;

use monsooncart_policy::service::Policy as _;
use monsooncart_policy::{action, event, outcome};

use crate::fixture::{self, Harness, MS, relayed_attempts, sent_attempts};

/// Time after which a request is hedged.
const LATE: Duration = Duration::from_millis(700);

fn harness() -> Harness {
    fixture::harness((0..4).map(fixture::server).collect())
}

fn tick(harness: &mut Harness) -> Vec<action::Action> {
    harness.handle(event::Event::Tick)
}

/// Finishes an attempt after which the body is not intact.
fn finish_consumed(
    harness: &mut Harness,
    attempt: monsooncart_policy::handle::Attempt,
    outcome: outcome::Outcome,
) -> Vec<action::Action> {
    harness.handle(event::Event::Finish {
        attempt,
        outcome,
        replayable: false,
        retry_after: None,
    })
}

/// Guards against hedges that could only be sent without the body (UNASKED).
#[test]
fn a_request_whose_only_body_an_attempt_has_is_not_hedged_and_others_are() {
    for is_taken in [true, false] {
        let mut harness = harness();
        let first = sent_attempts(&harness.arrive(true))[0];
        if is_taken {
            harness.handle(event::Event::BodyTaken(first.attempt));
        }

        harness.advance(LATE);
        let hedges = sent_attempts(&tick(&mut harness));

        assert_eq!(hedges.len(), usize::from(!is_taken), "taken: {is_taken}");
    }
}

/// Guards against the same at daemons that lose their path to the servers.
#[test]
fn a_request_whose_only_body_an_attempt_has_is_not_hedged_through_relays_and_others_are() {
    for is_taken in [true, false] {
        let mut harness = harness();
        let servers = (0..4).map(fixture::server).collect();
        harness.handle(fixture::inventory_with_relays(servers));
        let first = sent_attempts(&harness.arrive(true))[0];
        if is_taken {
            harness.handle(event::Event::BodyTaken(first.attempt));
        }

        let mut relayed = Vec::new();
        for _ in 0..20 {
            let failed = sent_attempts(&harness.arrive(false));
            for sent in failed {
                let actions = harness.finish(sent.attempt, outcome::Outcome::Unsent);
                relayed.extend(relayed_attempts_of(&actions, 1));
            }
            harness.advance(100 * MS);
            relayed.extend(relayed_attempts_of(&tick(&mut harness), 1));
        }

        assert_eq!(relayed.is_empty(), is_taken, "taken: {is_taken}");
    }
}

/// Attempts that relays are asked for on behalf of the request with this number.
fn relayed_attempts_of(actions: &[action::Action], number: u64) -> Vec<action::Action> {
    let of_request = |action: &&action::Action| match action {
        action::Action::Relay { request, .. } => request.0 == number,
        _ => false,
    };
    let actions: Vec<_> = actions.iter().filter(of_request).cloned().collect();
    assert_eq!(relayed_attempts(&actions).len(), actions.len());
    actions
}

/// Guards against hedges that found the body taken and are paid for, blamed on their servers, or end their
/// requests.
#[test]
fn hedges_that_cannot_have_the_body_cost_nothing_and_leave_first_attempts_alone() {
    const REQUESTS: u32 = 30;
    let mut harness = fixture::harness((0..2 * REQUESTS).map(fixture::server).collect());
    let arrive = |_| sent_attempts(&harness.arrive(true))[0].attempt;
    let firsts: Vec<_> = (0..REQUESTS).map(arrive).collect();
    harness.advance(LATE);

    let mut hedges = Vec::new();
    loop {
        let next = sent_attempts(&tick(&mut harness));
        if next.is_empty() {
            break;
        }
        for first in &firsts {
            harness.handle(event::Event::BodyTaken(*first));
        }
        for hedge in &next {
            let actions = finish_consumed(&mut harness, hedge.attempt, outcome::Outcome::BodyTaken);
            assert_eq!(actions, [], "nothing follows from it");
        }
        hedges.extend(next);
    }
    let arrive = |_| sent_attempts(&harness.arrive(true))[0].attempt;
    let others: Vec<_> = (0..REQUESTS).map(arrive).collect();
    harness.advance(LATE);
    let further = sent_attempts(&tick(&mut harness));

    assert!(!hedges.is_empty());
    assert!(further.len() >= hedges.len(), "{} hedges", further.len());
    for attempt in firsts.into_iter().chain(others) {
        let actions = harness.finish(attempt, outcome::Outcome::Answered(200));
        assert!(fixture::refusals(&actions).is_empty());
    }
    let views = harness.policy.view(harness.now);
    assert!(views.iter().all(|v| v.state == "active"), "{views:?}");
}

/// Guards against a request that is sent again after its body was read, and against one that isn't though
/// its body is intact.
#[test]
fn a_request_is_retried_if_the_attempt_that_had_its_body_leaves_it_intact() {
    for is_intact in [true, false] {
        let mut harness = harness();
        let first = sent_attempts(&harness.arrive(true))[0];
        harness.handle(event::Event::BodyTaken(first.attempt));

        let shed = outcome::Outcome::Shed { leaving: false };
        let actions = match is_intact {
            true => harness.finish(first.attempt, shed),
            false => finish_consumed(&mut harness, first.attempt, shed),
        };

        let retries = sent_attempts(&actions).len();
        let refusals = fixture::refusals(&actions).len();
        assert_eq!(
            (retries, refusals),
            (usize::from(is_intact), usize::from(!is_intact))
        );
    }
}

/// Guards against a refusal while an attempt still runs, and a retry of a body that another attempt had.
#[test]
fn the_end_of_a_hedge_without_the_body_decides_as_the_end_of_the_first_attempt_did() {
    let mut harness = harness();
    let first = sent_attempts(&harness.arrive(true))[0];
    harness.advance(LATE);
    let hedge = sent_attempts(&tick(&mut harness))[0];
    harness.handle(event::Event::BodyTaken(first.attempt));

    let at_first = finish_consumed(&mut harness, first.attempt, outcome::Outcome::Broken);
    let at_hedge = harness.finish(hedge.attempt, outcome::Outcome::BodyTaken);

    assert!(fixture::refusals(&at_first).is_empty());
    assert!(sent_attempts(&at_hedge).is_empty(), "the body was read");
    assert_eq!(fixture::refusals(&at_hedge).len(), 1);
}
