//! Requests that break servers are quarantined after the second.

use monsooncart_policy::{action, event, handle, outcome};
use monsooncart_types::{map, time};

use crate::fixture::{self, Bench};

const POISON: handle::Fingerprint = handle::Fingerprint(13);

fn poisoned(bench: &mut Bench) -> event::Arrival {
    let mut arrival = bench.arrival();
    arrival.fingerprint = Some(POISON);
    arrival
}

/// Breaks each attempt that follows the arrival and tells the servers that broke.
fn break_all(
    bench: &mut Bench,
    arrival: event::Arrival,
) -> (Vec<handle::Server>, Vec<action::Action>) {
    let mut all = bench.handle(event::Event::Arrive(arrival));
    let mut open = fixture::sends(&all);
    let mut broken = Vec::new();
    while let Some(sent) = open.pop() {
        broken.push(sent.server);
        let actions = bench.finish(sent.attempt, outcome::Outcome::Broken);
        open.extend(fixture::sends(&actions));
        all.extend(actions);
    }
    (broken, all)
}

#[test]
fn a_poison_request_breaks_two_servers_and_is_quarantined() {
    let mut bench = fixture::bench(6, 2);
    let arrival = poisoned(&mut bench);

    let (broken, actions) = break_all(&mut bench, arrival);

    assert_eq!(broken.len(), 2);
    let quarantined = |a: &action::Action| matches!(a, action::Action::Quarantine { fingerprint, .. } if *fingerprint == POISON);
    assert!(actions.iter().any(quarantined));
    assert_eq!(
        fixture::refusals(&actions)[0].1.reason,
        outcome::Reason::Poison
    );
}

#[test]
fn a_quarantined_request_is_refused_at_once_as_not_run() {
    let mut bench = fixture::bench(6, 2);
    let arrival = poisoned(&mut bench);
    break_all(&mut bench, arrival);

    let again = poisoned(&mut bench);
    let actions = bench.handle(event::Event::Arrive(again));

    let refusal = fixture::refusals(&actions)[0].1;
    assert_eq!(refusal.reason, outcome::Reason::Poison);
    assert_eq!(refusal.execution, outcome::Execution::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_request_sent_again_and_again_takes_down_two_servers_at_most() {
    let mut bench = fixture::bench(6, 2);
    let mut broken = map::Set::default();

    for _ in 0..10 {
        let mut arrival = poisoned(&mut bench);
        arrival.repeatable = false;
        broken.extend(break_all(&mut bench, arrival).0);
    }

    assert_eq!(broken.len(), 2, "{broken:?}");
}

#[test]
fn repeats_at_once_stay_on_one_server_after_the_first_break() {
    let mut bench = fixture::bench(6, 6);
    let first = poisoned(&mut bench);
    let sent = fixture::sends(&bench.handle(event::Event::Arrive(first)))[0];
    let mut broken = map::Set::default();
    broken.insert(sent.server);
    let mut open = fixture::sends(&bench.finish(sent.attempt, outcome::Outcome::Broken));

    for _ in 0..4 {
        let arrival = poisoned(&mut bench);
        open.extend(fixture::sends(&bench.handle(event::Event::Arrive(arrival))));
    }
    while let Some(sent) = open.pop() {
        broken.insert(sent.server);
        let actions = bench.finish(sent.attempt, outcome::Outcome::Broken);
        open.extend(fixture::sends(&actions));
    }

    assert_eq!(broken.len(), 2, "{broken:?}");
}

#[test]
fn breaks_of_a_poison_request_are_no_evidence() {
    let mut bench = fixture::bench(6, 2);
    let arrival = poisoned(&mut bench);

    let (broken, _) = break_all(&mut bench, arrival);

    bench.tick();
    for server in broken {
        assert_eq!(bench.view(server).suspicion, 0);
    }
}

#[test]
fn a_request_that_was_answered_is_no_poison() {
    let mut bench = fixture::bench(6, 2);
    let arrival = poisoned(&mut bench);
    let sent = fixture::sends(&bench.handle(event::Event::Arrive(arrival)))[0];
    let again = fixture::sends(&bench.finish(sent.attempt, outcome::Outcome::Broken))[0];
    bench.answer(again.attempt);

    let arrival = poisoned(&mut bench);
    let sent = fixture::sends(&bench.handle(event::Event::Arrive(arrival)))[0];
    let actions = bench.finish(sent.attempt, outcome::Outcome::Broken);

    assert_eq!(fixture::sends(&actions).len(), 1, "sent again, not refused");
}

#[test]
fn a_quarantine_of_the_fleet_holds_until_its_time() {
    let mut bench = fixture::bench(2, 2);
    let until = time::Time::from_millis(5_000);
    bench.handle(event::Event::Quarantine {
        fingerprint: POISON,
        expires_at: until,
    });

    let early = poisoned(&mut bench);
    let early = bench.handle(event::Event::Arrive(early));
    bench.now = until;
    let late = poisoned(&mut bench);
    let late = bench.handle(event::Event::Arrive(late));

    assert_eq!(fixture::refusals(&early).len(), 1);
    assert_eq!(fixture::sends(&late).len(), 1);
}
