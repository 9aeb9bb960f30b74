//! How requests end.

use monsooncart_policy::{action, event, handle, outcome};

use crate::fixture::{self, MS};

#[test]
fn unrepeatable_work_is_not_sent_again_once_it_may_have_run() {
    for end in [
        outcome::Outcome::Broken,
        outcome::Outcome::Timeout,
        outcome::Outcome::Garbled,
        outcome::Outcome::Failed(500),
    ] {
        let mut bench = fixture::bench((0..4).map(fixture::server).collect());
        let sent = fixture::sends(&bench.arrive(false))[0];

        let actions = bench.finish(sent.attempt, end);

        assert!(fixture::sends(&actions).is_empty(), "{end}");
        let refusal = fixture::refusals(&actions)[0];
        assert_eq!(refusal.execution, outcome::Execution::Unknown, "{end}");
    }
}

#[test]
fn work_that_was_refused_as_not_run_is_sent_to_another_server() {
    for end in [
        outcome::Outcome::Unsent,
        outcome::Outcome::Misdirected,
        outcome::Outcome::Shed { leaving: false },
    ] {
        let mut bench = fixture::bench((0..4).map(fixture::server).collect());
        let first = fixture::sends(&bench.arrive(false))[0];

        let actions = bench.finish(first.attempt, end);

        let second = fixture::sends(&actions)[0];
        assert_ne!(second.server, first.server, "{end}");
    }
}

#[test]
fn a_request_refused_by_all_servers_it_may_go_to_is_told_not_run_and_when_to_come_back() {
    let mut bench = fixture::bench((0..4).map(fixture::server).collect());
    let first = fixture::sends(&bench.arrive(false))[0];
    let shed = outcome::Outcome::Shed { leaving: false };
    let second = fixture::sends(&bench.finish(first.attempt, shed))[0];

    let actions = bench.finish(second.attempt, shed);

    let refusal = fixture::refusals(&actions)[0];
    assert_eq!(refusal.execution, outcome::Execution::NotRun);
    assert_eq!(refusal.reason, outcome::Reason::Overload);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn without_servers_a_request_is_refused_at_once() {
    let mut bench = fixture::bench(Vec::new());

    let actions = bench.arrive(true);

    let refusal = fixture::refusals(&actions)[0];
    assert_eq!(refusal.reason, outcome::Reason::NoServer);
    assert_eq!(refusal.execution, outcome::Execution::NotRun);
}

#[test]
fn a_repeatable_request_that_waits_too_long_is_hedged_once() {
    let mut bench = fixture::bench((0..4).map(fixture::server).collect());
    let first = fixture::sends(&bench.arrive(true))[0];
    bench.pass(500 * MS);

    let hedged = fixture::sends(&bench.tell(event::Event::Tick));
    bench.pass(500 * MS);
    let again = fixture::sends(&bench.tell(event::Event::Tick));

    assert_eq!(hedged.len(), 1);
    assert_ne!(hedged[0].server, first.server);
    assert!(again.is_empty());
    let won = bench.finish(hedged[0].attempt, outcome::Outcome::Answered(200));
    assert!(won.contains(&action::Action::Cancel(first.attempt)));
}

#[test]
fn an_unrepeatable_request_is_never_hedged() {
    let mut bench = fixture::bench((0..4).map(fixture::server).collect());
    bench.arrive(false);
    bench.pass(3000 * MS);

    let actions = bench.tell(event::Event::Tick);

    assert!(fixture::sends(&actions).is_empty());
}

#[test]
fn a_quarantined_request_reaches_no_server() {
    let mut bench = fixture::bench((0..4).map(fixture::server).collect());
    let fingerprint = handle::Fingerprint(5);
    let until = bench.now + 10_000 * MS;
    bench.tell(event::Event::Quarantine {
        fingerprint,
        expires_at: until,
    });
    let mut arrival = bench.arrival(true);
    arrival.fingerprint = Some(fingerprint);

    let actions = bench.tell(event::Event::Arrive(arrival));

    assert!(fixture::sends(&actions).is_empty());
    assert_eq!(
        fixture::refusals(&actions)[0].reason,
        outcome::Reason::Poison
    );
}

#[test]
fn a_server_that_ran_out_of_the_requests_time_is_not_doubted() {
    let mut bench = fixture::bench(vec![fixture::server(0)]);
    (0..5).for_each(|_| {
        bench.work(false, 200 * MS, outcome::Outcome::Answered(200));
    });

    bench.work(false, 400 * MS, outcome::Outcome::Answered(504));

    let view = monsooncart_policy::service::Policy::view(&bench.policy, bench.now);
    assert_eq!(view[0].state, "active");
}
