//! Poison requests are quarantined after they crashed two servers.

use monsooncart_policy::{action, event, handle, outcome};
use monsooncart_types::{map, time};

use crate::fixture::{self, Harness};

const FINGERPRINT: handle::Fingerprint = handle::Fingerprint(13);

fn poison_arrival(harness: &mut Harness) -> event::Arrival {
    let mut arrival = harness.arrival();
    arrival.fingerprint = Some(FINGERPRINT);
    arrival
}

/// Sends a request and breaks the connection of each attempt; returns the servers of the attempts
/// and all actions.
fn crash_all(
    harness: &mut Harness,
    arrival: event::Arrival,
) -> (Vec<handle::Server>, Vec<action::Action>) {
    let mut all = harness.handle(event::Event::Arrive(arrival));
    let mut in_flight = fixture::sends(&all);
    let mut crashed = Vec::new();
    while let Some(sent) = in_flight.pop() {
        crashed.push(sent.server);
        let actions = harness.finish(sent.attempt, outcome::Outcome::Broken);
        in_flight.extend(fixture::sends(&actions));
        all.extend(actions);
    }
    (crashed, all)
}

#[test]
fn a_poison_request_is_quarantined_after_two_crashes() {
    let mut harness = fixture::harness(6, 2);
    let arrival = poison_arrival(&mut harness);

    let (crashed, actions) = crash_all(&mut harness, arrival);

    assert_eq!(crashed.len(), 2);
    let quarantined = |a: &action::Action| matches!(a, action::Action::Quarantine { fingerprint, .. } if *fingerprint == FINGERPRINT);
    assert!(actions.iter().any(quarantined));
    assert_eq!(
        fixture::refusals(&actions)[0].1.reason,
        outcome::Reason::Poison
    );
}

#[test]
fn a_quarantined_request_is_refused_at_once_as_not_run() {
    let mut harness = fixture::harness(6, 2);
    let arrival = poison_arrival(&mut harness);
    crash_all(&mut harness, arrival);

    let repeat = poison_arrival(&mut harness);
    let actions = harness.handle(event::Event::Arrive(repeat));

    let refusal = fixture::refusals(&actions)[0].1;
    assert_eq!(refusal.reason, outcome::Reason::Poison);
    assert_eq!(refusal.execution, outcome::Execution::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn repeated_poison_requests_crash_at_most_two_servers() {
    let mut harness = fixture::harness(6, 2);
    let mut crashed = map::Set::default();

    for _ in 0..10 {
        let mut arrival = poison_arrival(&mut harness);
        arrival.repeatable = false;
        crashed.extend(crash_all(&mut harness, arrival).0);
    }

    assert_eq!(crashed.len(), 2, "{crashed:?}");
}

#[test]
fn concurrent_repeats_stay_on_one_server_after_the_first_crash() {
    let mut harness = fixture::harness(6, 6);
    let first = poison_arrival(&mut harness);
    let sent = fixture::sends(&harness.handle(event::Event::Arrive(first)))[0];
    let mut crashed = map::Set::default();
    crashed.insert(sent.server);
    let mut in_flight = fixture::sends(&harness.finish(sent.attempt, outcome::Outcome::Broken));

    for _ in 0..4 {
        let arrival = poison_arrival(&mut harness);
        in_flight.extend(fixture::sends(
            &harness.handle(event::Event::Arrive(arrival)),
        ));
    }
    while let Some(sent) = in_flight.pop() {
        crashed.insert(sent.server);
        let actions = harness.finish(sent.attempt, outcome::Outcome::Broken);
        in_flight.extend(fixture::sends(&actions));
    }

    assert_eq!(crashed.len(), 2, "{crashed:?}");
}

#[test]
fn crashes_of_a_poison_request_add_no_evidence() {
    let mut harness = fixture::harness(6, 2);
    let arrival = poison_arrival(&mut harness);

    let (crashed, _) = crash_all(&mut harness, arrival);

    harness.tick();
    for server in crashed {
        assert_eq!(harness.view(server).suspicion, 0);
    }
}

#[test]
fn an_answered_request_is_not_poison() {
    let mut harness = fixture::harness(6, 2);
    let arrival = poison_arrival(&mut harness);
    let sent = fixture::sends(&harness.handle(event::Event::Arrive(arrival)))[0];
    let retried = fixture::sends(&harness.finish(sent.attempt, outcome::Outcome::Broken))[0];
    harness.answer(retried.attempt);

    let arrival = poison_arrival(&mut harness);
    let sent = fixture::sends(&harness.handle(event::Event::Arrive(arrival)))[0];
    let actions = harness.finish(sent.attempt, outcome::Outcome::Broken);

    assert_eq!(fixture::sends(&actions).len(), 1, "retried, not refused");
}

#[test]
fn a_fleet_quarantine_expires() {
    let mut harness = fixture::harness(2, 2);
    let expires_at = time::Time::from_millis(5_000);
    harness.handle(event::Event::Quarantine {
        fingerprint: FINGERPRINT,
        expires_at,
    });

    let early = poison_arrival(&mut harness);
    let early = harness.handle(event::Event::Arrive(early));
    harness.now = expires_at;
    let late = poison_arrival(&mut harness);
    let late = harness.handle(event::Event::Arrive(late));

    assert_eq!(fixture::refusals(&early).len(), 1);
    assert_eq!(fixture::sends(&late).len(), 1);
}
