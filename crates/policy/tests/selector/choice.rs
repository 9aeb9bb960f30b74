//! Which server an attempt goes to.

use std::time::Duration;

use monsooncart_policy::{action, event, handle, outcome};

use crate::fixture::{self, MS};

const GOOD: outcome::Outcome = outcome::Outcome::Answered(200);

#[test]
fn unrepeatable_work_goes_where_a_success_was_seen_last() {
    let mut bench = fixture::bench((0..6).map(fixture::server).collect());
    bench.hear(3, 2, 0);

    let sent = fixture::sends(&bench.arrive(false));

    assert_eq!(sent[0].server, handle::Server(3));
    assert!(sent[0].fresh);
}

#[test]
fn a_server_that_failed_gets_no_unrepeatable_work_for_a_while() {
    let mut bench = fixture::bench((0..4).map(fixture::server).collect());
    let failed = bench.work(false, 50 * MS, outcome::Outcome::Answered(500));

    for _ in 0..20 {
        let server = bench.work(false, 50 * MS, GOOD);
        assert_ne!(server, failed);
    }
}

#[test]
fn a_failure_that_a_peer_saw_counts_like_an_own_one() {
    let mut bench = fixture::bench((0..2).map(fixture::server).collect());
    bench.hear(0, 0, 1);

    let sent = fixture::sends(&bench.arrive(false));

    assert_eq!(sent[0].server, handle::Server(1));
}

#[test]
fn work_that_may_run_again_scouts_a_doubted_server_once_evidence_is_old() {
    let mut bench = fixture::bench((0..3).map(fixture::server).collect());
    bench.hear(0, 0, 2);
    let mut scouted = false;

    for _ in 0..100 {
        let server = bench.work(true, 50 * MS, GOOD);
        scouted |= server == handle::Server(0);
    }

    assert!(scouted);
}

#[test]
fn every_server_that_joins_gets_work_soon() {
    let mut bench = fixture::bench((0..4).map(fixture::server).collect());
    (0..20).for_each(|_| {
        bench.work(true, 20 * MS, GOOD);
    });
    bench.tell(fixture::inventory((0..6).map(fixture::server).collect()));
    let mut served = [false; 6];

    for _ in 0..40 {
        let server = bench.work(true, 20 * MS, GOOD);
        served[server.0 as usize] = true;
    }

    assert!(served[4] && served[5], "{served:?}");
}

#[test]
fn leaving_and_replaced_servers_get_nothing() {
    let mut leaving = fixture::server(0);
    leaving.leaving = true;
    let mut bench = fixture::bench(vec![leaving, fixture::server(1), fixture::server(2)]);
    bench.tell(event::Event::Leaving(handle::Server(1)));

    for _ in 0..20 {
        assert_eq!(bench.work(true, 20 * MS, GOOD), handle::Server(2));
    }
}

#[test]
fn a_misdirected_attempt_ends_the_use_of_a_server_until_another_run_of_it() {
    let mut bench = fixture::bench(vec![fixture::server(0), fixture::server(1)]);
    let first = fixture::sends(&bench.arrive(false))[0];

    let again = bench.finish(first.attempt, outcome::Outcome::Misdirected);

    let again = fixture::sends(&again)[0];
    assert_ne!(again.server, first.server);
    bench.finish(again.attempt, GOOD);
    for _ in 0..20 {
        assert_ne!(bench.work(true, 20 * MS, GOOD), first.server);
    }
    let mut reborn = fixture::server(first.server.0);
    reborn.started_millis = 2;
    bench.tell(fixture::inventory(vec![reborn]));
    assert_eq!(bench.work(true, 20 * MS, GOOD), first.server);
}

#[test]
fn another_run_under_the_same_name_starts_without_a_past() {
    let mut bench = fixture::bench(vec![fixture::server(0), fixture::server(1)]);
    bench.hear(0, 0, 3);
    bench.hear(1, 0, 1);
    let mut reborn = fixture::server(0);
    reborn.started_millis = 2;

    bench.tell(fixture::inventory(vec![reborn, fixture::server(1)]));

    let sent = fixture::sends(&bench.arrive(false));
    assert_eq!(sent[0].server, handle::Server(0));
}

#[test]
fn large_answers_stay_in_their_data_centre_while_a_server_there_may_work() {
    let mut far = fixture::server(1);
    far.local = false;
    let mut bench = fixture::bench(vec![fixture::server(0), far]);
    bench.hear(0, 0, 1);
    bench.hear(1, 3, 0);
    let mut arrival = bench.arrival(false);
    arrival.expected_response_bytes = 200_000;

    let large = fixture::sends(&bench.tell(event::Event::Arrive(arrival)))[0];
    let small = fixture::sends(&bench.arrive(false))[0];

    assert_eq!(large.server, handle::Server(0));
    assert_eq!(small.server, handle::Server(1));
}

#[test]
fn a_large_answer_is_fetched_far_at_once_where_the_near_server_is_sick() {
    let mut far = fixture::server(1);
    far.local = false;
    let mut bench = fixture::bench(vec![fixture::server(0), far]);
    bench.hear(0, 0, 3);
    bench.hear(1, 3, 0);
    let mut arrival = bench.arrival(true);
    arrival.expected_response_bytes = 40_000;

    let sent = fixture::sends(&bench.tell(event::Event::Arrive(arrival)))[0];

    assert_eq!(sent.server, handle::Server(1));
}

#[test]
fn no_request_scouts_once_retries_are_spent() {
    let mut bench = fixture::bench((0..2).map(fixture::server).collect());
    bench.hear(1, 3, 0);
    for _ in 0..100 {
        let sent = fixture::sends(&bench.arrive(true))[0];
        let again = bench.finish(sent.attempt, outcome::Outcome::Failed(500));
        let again = fixture::sends(&again);
        again
            .iter()
            .for_each(|s| drop(bench.finish(s.attempt, GOOD)));
        bench.pass(60 * MS);
    }
    bench.hear(0, 0, 3);
    bench.hear(1, 3, 0);

    let sent = fixture::sends(&bench.arrive(true))[0];

    assert_eq!(sent.server, handle::Server(1));
}

#[test]
fn doubt_and_its_end_are_told_to_operators() {
    let mut bench = fixture::bench(vec![fixture::server(0)]);
    let turn = |actions: &[action::Action]| {
        actions.iter().find_map(|action| match action {
            action::Action::ReportState { change: turn, .. } => Some(*turn),
            _ => None,
        })
    };
    let sent = fixture::sends(&bench.arrive(false))[0];
    let doubted = bench.finish(sent.attempt, outcome::Outcome::Answered(500));
    let mut turns = Vec::new();

    for _ in 0..3 {
        bench.pass(Duration::from_millis(500));
        let sent = fixture::sends(&bench.arrive(false))[0];
        turns.extend(turn(&bench.finish(sent.attempt, GOOD)));
    }

    assert_eq!(turn(&doubted), Some(action::StateChange::Doubted));
    assert_eq!(turns, [action::StateChange::Acquitted]);
}
