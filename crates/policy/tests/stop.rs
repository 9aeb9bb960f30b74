//! The schedule of a planned stop, over grace periods, arrival times and lengths of work.

use std::time::Duration;

use monsooncart_policy::stop;

const STEP: Duration = Duration::from_millis(50);

/// When entries that name the daemon are no longer in use.
const ENTRY_EXPIRY: Duration = Duration::from_millis(1500);

fn steps(end: Duration) -> impl Iterator<Item = Duration> {
    (0..)
        .map(|step| STEP * step)
        .take_while(move |at| *at < end)
}

fn schedules() -> impl Iterator<Item = (Duration, stop::Schedule)> {
    let grace_periods = (1..=60).map(Duration::from_secs);
    grace_periods.map(|grace| (grace, stop::Schedule::new(grace, ENTRY_EXPIRY)))
}

/// Guards against requests that are passed on late in a planned stop and broken off at its end (LOST).
#[test]
fn every_request_is_refused_or_waited_for_until_its_deadline_or_for_the_rest_of_the_grace_period() {
    for (grace, schedule) in schedules() {
        for (at, allowed) in steps(grace).flat_map(|at| steps(grace).map(move |a| (at, a))) {
            let deadline = at + allowed;
            if !schedule.may_send(at, deadline) {
                continue;
            }
            let waited_until = deadline.min(schedule.abandon);
            let has_its_time = waited_until == deadline;
            let is_early = at < grace / 2 && waited_until >= grace.mul_f64(5.0 / 6.0);
            assert!(
                has_its_time || is_early,
                "grace {grace:?}, {at:?}, {allowed:?}"
            );
        }
    }
}

#[test]
fn covered_requests_may_be_sent_at_any_time_and_are_waited_for() {
    for (grace, schedule) in schedules() {
        for (at, deadline) in steps(grace).flat_map(|at| steps(grace).map(move |d| (at, d))) {
            if schedule.is_covered(deadline) {
                assert!(schedule.may_send(at, deadline));
                assert!(
                    deadline <= schedule.abandon,
                    "grace {grace:?}, {deadline:?}"
                );
            }
        }
    }
}

#[test]
fn requests_are_sent_while_their_deadline_leaves_time() {
    for (grace, schedule) in schedules() {
        assert!(schedule.may_send(Duration::ZERO, grace * 10));
        let at = grace.mul_f64(0.6);
        assert!(schedule.may_send(at, at + grace.mul_f64(0.29)));
    }
}

#[test]
fn the_phases_follow_each_other_within_the_grace_period() {
    for (grace, schedule) in schedules() {
        assert!(schedule.release <= schedule.accept);
        assert!(schedule.accept < schedule.abandon);
        assert!(schedule.abandon < schedule.exit);
        assert!(schedule.exit < grace);
    }
}

/// Guards against callers that stay until they are refused, and against callers that come back at once as
/// their entries still name the daemon.
#[test]
fn callers_are_released_once_entries_that_name_the_daemon_are_out_of_use() {
    let schedule = stop::Schedule::new(Duration::from_secs(6), ENTRY_EXPIRY);
    let short = stop::Schedule::new(Duration::from_secs(1), ENTRY_EXPIRY);

    assert_eq!(schedule.release, ENTRY_EXPIRY);
    assert_eq!(short.release, short.accept);
}
