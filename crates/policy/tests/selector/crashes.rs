//! Which requests are suspected when connections to servers break.

use std::time::Duration;

use monsooncart_policy::{action, event, handle, inventory, outcome, service::Policy as _};

use crate::fixture::{self, Harness, MS, sent_attempts};

/// More different requests than a table of suspects holds.
const MANY: u64 = 3000;

fn harness() -> Harness {
    fixture::harness((0..4).map(fixture::server).collect())
}

fn fingerprint(number: u64) -> handle::Fingerprint {
    handle::Fingerprint::of_request(number)
}

/// The first run of a server.
fn run(server: u32) -> handle::Run {
    handle::Run {
        server: handle::Server(server),
        started_millis: 1,
    }
}

/// Sends a request with this fingerprint.
fn send(harness: &mut Harness, number: u64) -> fixture::Sent {
    let mut arrival = harness.arrival(false);
    arrival.fingerprint = Some(fingerprint(number));
    sent_attempts(&harness.handle(event::Event::Arrive(arrival)))[0]
}

fn probe(harness: &mut Harness, server: handle::Server, responded: bool) -> Vec<action::Action> {
    let sent_at = harness.now;
    harness.handle(event::Event::CrashProbe {
        server,
        sent_at,
        responded,
    })
}

fn prove_path(harness: &mut Harness) -> Vec<action::Action> {
    harness.handle(event::Event::PathProbe {
        server: handle::Server(99),
        sent_at: harness.now,
        responded: true,
    })
}

fn report_crash(harness: &mut Harness, number: u64, server: u32) {
    harness.handle(event::Event::CrashReport {
        fingerprint: fingerprint(number),
        run: run(server),
    });
}

/// Whether the request is refused as poison when it arrives.
fn is_refused(harness: &mut Harness, number: u64) -> bool {
    let mut arrival = harness.arrival(false);
    arrival.fingerprint = Some(fingerprint(number));
    let actions = harness.handle(event::Event::Arrive(arrival));
    let refusals = fixture::refusals(&actions);
    refusals.iter().any(|r| r.reason == outcome::Reason::Poison)
}

/// Guards against a crash that is blamed on the request whose connection broke last (BUDGET).
#[test]
fn every_request_in_flight_at_a_crash_is_a_suspect() {
    let mut harness = harness();
    let first = send(&mut harness, 1);
    let mut others = Vec::new();
    while others.is_empty() {
        let sent = send(&mut harness, 2);
        others.extend((sent.server == first.server).then_some(sent));
    }
    harness.advance(MS);

    harness.finish(first.attempt, outcome::Outcome::Broken);
    harness.finish(others[0].attempt, outcome::Outcome::Broken);
    probe(&mut harness, first.server, false);
    let actions = prove_path(&mut harness);

    let reported = |number| {
        let report = action::Action::ReportCrash {
            fingerprint: fingerprint(number),
            run: run(first.server.0),
        };
        actions.contains(&report)
    };
    assert!(reported(1) && reported(2), "{actions:?}");
}

/// Guards against lost answers that are taken for crashes (BUDGET).
#[test]
fn a_request_whose_server_responds_after_its_connection_broke_is_no_suspect() {
    let mut harness = harness();
    let sent = send(&mut harness, 1);
    harness.advance(MS);
    harness.finish(sent.attempt, outcome::Outcome::Broken);

    let mut actions = probe(&mut harness, sent.server, true);
    actions.extend(prove_path(&mut harness));

    assert!(!harness.policy.is_suspected(fingerprint(1)));
    let is_report = |a: &action::Action| matches!(a, action::Action::ReportCrash { .. });
    assert!(!actions.iter().any(is_report), "{actions:?}");
}

/// Guards against a table that takes no more suspects once it is full (BUDGET), and against one that many
/// different requests empty.
#[test]
fn a_request_that_crashes_servers_is_recognised_among_many_suspects() {
    let mut harness = harness();
    for number in 0..MANY {
        report_crash(&mut harness, 100 + number, number as u32 % 7);
    }
    let mut is_recognised = false;

    for server in 20..26 {
        harness.advance(1000 * MS);
        report_crash(&mut harness, 1, server);
        for number in 0..MANY / 10 {
            let number = 10_000 + u64::from(server) * MANY + number;
            report_crash(&mut harness, number, server);
        }
        is_recognised |= is_refused(&mut harness, 1);
    }

    assert!(is_recognised);
    assert!(!is_refused(&mut harness, 100 + MANY - 1));
}

/// Guards against requests that are in flight at crashes and are refused although they are answered.
#[test]
fn a_request_that_is_answered_between_crashes_is_never_refused() {
    let mut harness = harness();
    for server in 20..40 {
        report_crash(&mut harness, 1, server);
        harness.advance(1000 * MS);
        let sent = send(&mut harness, 1);
        harness.advance(100 * MS);

        let actions = harness.finish(sent.attempt, outcome::Outcome::Answered(200));

        let acquittal = action::Action::ReportAcquittal(fingerprint(1));
        assert!(actions.contains(&acquittal), "{actions:?}");
    }
    assert!(!harness.policy.is_suspected(fingerprint(1)));
}

/// Guards against a request that crashes a server whenever its quarantine ends (BUDGET).
#[test]
fn a_request_that_crashes_a_server_after_its_quarantine_is_refused_for_longer() {
    let mut harness = harness();
    let quarantine = Duration::from_secs(600);
    let expires_at = harness.now + quarantine;
    harness.handle(event::Event::Quarantine {
        fingerprint: fingerprint(1),
        expires_at,
    });
    harness.advance(quarantine + MS);
    let sent = send(&mut harness, 1);
    harness.advance(MS);
    harness.finish(sent.attempt, outcome::Outcome::Broken);
    probe(&mut harness, sent.server, false);

    let actions = prove_path(&mut harness);

    let duration = actions.iter().find_map(|action| match action {
        action::Action::Quarantine { duration, .. } => Some(*duration),
        _ => None,
    });
    assert!(duration.is_some_and(|d| d > quarantine), "{actions:?}");
    harness.advance(quarantine + MS);
    assert!(is_refused(&mut harness, 1));
}

/// Guards against requests that stay refused after their servers were mended.
#[test]
fn a_request_that_is_answered_after_its_quarantine_is_served_again() {
    let mut harness = harness();
    let quarantine = Duration::from_secs(600);
    let expires_at = harness.now + quarantine;
    harness.handle(event::Event::Quarantine {
        fingerprint: fingerprint(1),
        expires_at,
    });
    harness.advance(quarantine + MS);
    let sent = send(&mut harness, 1);
    harness.advance(MS);

    harness.finish(sent.attempt, outcome::Outcome::Answered(200));

    assert!(!harness.policy.is_suspected(fingerprint(1)));
    assert!(!is_refused(&mut harness, 1));
}

fn report_crash_of(harness: &mut Harness, number: u64, server: u32, started_millis: u64) {
    let run = handle::Run {
        server: handle::Server(server),
        started_millis,
    };
    harness.handle(event::Event::CrashReport {
        fingerprint: fingerprint(number),
        run,
    });
}

/// Servers of which the first one has been started this often.
fn restarted(count: u32, started_millis: u64) -> Vec<inventory::Server> {
    let mut servers: Vec<_> = (0..count).map(fixture::server).collect();
    servers[0].started_millis = started_millis;
    servers
}

/// Crashes that are reported to the fleet, by request and run.
fn reported(actions: &[action::Action]) -> Vec<(handle::Fingerprint, handle::Run)> {
    let crash = |action: &action::Action| match action {
        action::Action::ReportCrash { fingerprint, run } => Some((*fingerprint, *run)),
        _ => None,
    };
    actions.iter().filter_map(crash).collect()
}

/// Guards against a request that crashes the same few servers again and again, as they keep their names
/// (BUDGET), and against one crash that counts twice.
#[test]
fn crashes_of_a_server_count_by_its_runs() {
    for (runs, is_poison) in [([1, 2, 3, 4, 5], true), ([1, 1, 1, 1, 1], false)] {
        let mut harness = harness();
        for started_millis in runs {
            report_crash_of(&mut harness, 1, 0, started_millis);
            harness.advance(2500 * MS);
        }

        assert_eq!(is_refused(&mut harness, 1), is_poison, "{runs:?}");
    }
}

/// Guards against requests that the only server of a service gets no more, since it crashed once while they
/// were in flight.
#[test]
fn a_suspect_is_sent_to_the_next_run_of_the_only_server() {
    let mut harness = fixture::harness(restarted(1, 1));
    report_crash_of(&mut harness, 1, 0, 1);

    harness.handle(fixture::inventory(restarted(1, 2)));

    assert_eq!(send(&mut harness, 1).server, handle::Server(0));
}

/// Guards against crashes of servers that run again before a probe shows that they had crashed (BUDGET).
#[test]
fn a_new_run_shows_that_the_one_before_has_crashed() {
    for responded in [None, Some(true), Some(false)] {
        let mut harness = fixture::harness(restarted(1, 1));
        let sent = send(&mut harness, 1);
        harness.advance(MS);
        harness.finish(sent.attempt, outcome::Outcome::Broken);
        harness.advance(300 * MS);
        responded.map(|responded| probe(&mut harness, sent.server, responded));

        harness.advance(500 * MS);
        let actions = harness.handle(fixture::inventory(restarted(1, 2)));

        let expected = (fingerprint(1), run(0));
        assert_eq!(reported(&actions), [expected], "{responded:?}");
    }
}

/// Guards against the same if the next run gets a request before it is known, and crashes too.
#[test]
fn the_crash_of_a_run_that_is_not_known_yet_is_another_one() {
    let mut harness = fixture::harness(restarted(1, 1));
    let mut actions = Vec::new();
    for number in [1, 2] {
        let sent = send(&mut harness, number);
        harness.advance(MS);
        harness.finish(sent.attempt, outcome::Outcome::Broken);
        actions.extend(probe(&mut harness, sent.server, false));
        actions.extend(prove_path(&mut harness));
        harness.advance(1000 * MS);
    }

    let reported = reported(&actions);
    let runs: Vec<_> = reported.iter().map(|(_, run)| *run).collect();
    assert_eq!(runs.len(), 2, "{actions:?}");
    assert_eq!(runs[0], run(0));
    assert_ne!(runs[0], runs[1]);
}

/// Guards against crashes of all servers at once that are put down to the path for good (BUDGET), and
/// against a loss of the path that is taken for crashes.
#[test]
fn a_server_that_is_silent_once_the_path_is_there_again_has_crashed_and_others_have_not() {
    for responds in [false, true] {
        let mut harness = fixture::harness((0..2).map(fixture::server).collect());
        let sent = [send(&mut harness, 1), send(&mut harness, 2)];
        harness.advance(MS);
        for sent in sent {
            harness.finish(sent.attempt, outcome::Outcome::Broken);
        }
        for _ in 0..20 {
            harness.advance(100 * MS);
            let actions = harness.handle(event::Event::Tick);
            fail_probes(&mut harness, &actions);
        }

        let mut actions = prove_path(&mut harness);
        harness.advance(100 * MS);
        actions.extend(harness.handle(event::Event::Tick));
        actions.extend(probe(&mut harness, handle::Server(0), responds));
        actions.extend(probe(&mut harness, handle::Server(1), responds));
        actions.extend(prove_path(&mut harness));

        assert_eq!(reported(&actions).len(), if responds { 0 } else { 2 });
    }
}

/// Reports that no server responded to these probes.
fn fail_probes(harness: &mut Harness, actions: &[action::Action]) {
    for action in actions {
        match action {
            action::Action::ProbeCrash(server) => {
                probe(harness, *server, false);
            }
            action::Action::ProbePath(server) => {
                let sent_at = harness.now;
                harness.handle(event::Event::PathProbe {
                    server: *server,
                    sent_at,
                    responded: false,
                });
            }
            _ => {}
        }
    }
}

/// Guards against a suspect of many crashes that reaches several servers before the end of one attempt is
/// known (BUDGET), and against others that are held up with it.
#[test]
fn a_suspect_of_many_crashes_is_sent_to_one_server_at_a_time_and_others_are_sent() {
    let mut harness = harness();
    // Requests that crashes broke too, so that three are no proof.
    for server in 20..23 {
        for number in [1].into_iter().chain(100..140) {
            report_crash(&mut harness, number, server);
        }
        harness.advance(1000 * MS);
    }
    let first = send(&mut harness, 1);

    let mut arrival = harness.arrival(true);
    arrival.fingerprint = Some(fingerprint(1));
    let second = harness.handle(event::Event::Arrive(arrival));
    let other = sent_attempts(&harness.arrive(true));
    harness.finish(first.attempt, outcome::Outcome::Answered(200));
    let after_answer = [send(&mut harness, 1), send(&mut harness, 1)];

    let refusal = fixture::refusals(&second)[0];
    assert!(sent_attempts(&second).is_empty());
    assert_eq!(refusal.execution, outcome::Execution::NotRun);
    assert!(
        refusal
            .retry_after
            .is_some_and(|delay| delay < Duration::from_secs(5))
    );
    assert_eq!((other.len(), after_answer.len()), (1, 2));
}

/// Guards against a request that is cleared by the answer to an attempt from before it crashed servers
/// (BUDGET).
#[test]
fn an_answer_to_an_attempt_from_before_many_crashes_clears_nothing_and_a_later_one_does() {
    let mut harness = harness();
    let earlier = send(&mut harness, 1);
    for server in 20..23 {
        harness.advance(1000 * MS);
        for number in [1].into_iter().chain(100..140) {
            report_crash(&mut harness, number, server);
        }
    }

    let actions = harness.finish(earlier.attempt, outcome::Outcome::Answered(200));
    let was_suspected = harness.policy.is_suspected(fingerprint(1));
    harness.advance(MS);
    let later = send(&mut harness, 1);
    let later = harness.finish(later.attempt, outcome::Outcome::Answered(200));

    let acquittal = action::Action::ReportAcquittal(fingerprint(1));
    assert!(was_suspected && !actions.contains(&acquittal));
    assert!(later.contains(&acquittal));
    assert!(!harness.policy.is_suspected(fingerprint(1)));
}

/// Guards against the report of an answer that is older than a crash and clears it (BUDGET).
#[test]
fn a_reported_answer_clears_the_crashes_before_it() {
    for (delay, is_cleared) in [(10 * MS, false), (1000 * MS, true)] {
        let mut harness = harness();
        report_crash(&mut harness, 1, 20);
        harness.advance(delay);

        harness.handle(event::Event::Acquittal(fingerprint(1)));

        assert_eq!(!harness.policy.is_suspected(fingerprint(1)), is_cleared);
    }
}

/// Guards against requests that stay suspects of crashes for which another one was quarantined, here or at
/// another daemon.
#[test]
fn a_quarantine_that_another_daemon_decided_clears_the_other_requests_of_its_crashes() {
    let mut harness = harness();
    for server in 20..22 {
        report_crash(&mut harness, 1, server);
        harness.advance(1000 * MS);
    }
    report_crash(&mut harness, 2, 20);

    let expires_at = harness.now + Duration::from_secs(600);
    harness.handle(event::Event::Quarantine {
        fingerprint: fingerprint(1),
        expires_at,
    });

    assert!(!harness.policy.is_suspected(fingerprint(2)));
    assert!(is_refused(&mut harness, 1));
}

/// Quarantines a request for crashes that this daemon knows, after it was answered once or never.
fn convict(harness: &mut Harness, was_answered: bool) {
    if was_answered {
        let sent = send(harness, 1);
        harness.finish(sent.attempt, outcome::Outcome::Answered(200));
    }
    for server in 20..25 {
        harness.advance(1000 * MS);
        report_crash(harness, 1, server);
    }
    assert!(is_refused(harness, 1));
}

/// Guards against a request that crashes nothing and stays refused for long, since it was in flight at the
/// crashes of another one; and against one that crashes servers and is let through for it (BUDGET).
#[test]
fn a_quarantined_request_that_was_answered_before_is_tried_once_and_another_is_not() {
    for was_answered in [true, false] {
        let mut harness = harness();
        convict(&mut harness, was_answered);

        harness.advance(Duration::from_secs(60));
        let mut arrival = harness.arrival(true);
        arrival.fingerprint = Some(fingerprint(1));
        let tried = sent_attempts(&harness.handle(event::Event::Arrive(arrival)));
        let others_are_refused = is_refused(&mut harness, 1);

        assert_eq!(tried.len(), usize::from(was_answered));
        assert!(others_are_refused);
        for sent in tried {
            harness.finish(sent.attempt, outcome::Outcome::Answered(200));
            assert!(!is_refused(&mut harness, 1), "it was answered");
        }
    }
}

/// Guards against further servers that get a request whose trial ended with a crash (BUDGET).
#[test]
fn a_quarantined_request_whose_trial_breaks_stays_refused() {
    let mut harness = harness();
    convict(&mut harness, true);
    harness.advance(Duration::from_secs(60));
    let trial = send(&mut harness, 1);

    harness.finish(trial.attempt, outcome::Outcome::Broken);

    for _ in 0..8 {
        harness.advance(Duration::from_secs(60));
        assert!(is_refused(&mut harness, 1));
    }
}
