//! Few requests, many servers in doubt: demand is at its trough, responses are lost on the way from
//! all servers, and unrepeatable requests alone are there to find out which servers are healthy.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use monsooncart_policy::{action, handle, inventory, outcome, rank};
use monsooncart_types::time;

use crate::fixture;

/// Servers of one data centre.
const SERVERS: u32 = 39;
const SLOTS: u32 = 4;

/// Of a hundred responses, this many are lost.
const LOST_PERCENT: u64 = 14;

/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);

const WORK: Duration = Duration::from_millis(270);

/// Length of a window in which a share of the healthy servers must get requests.
const WINDOW: Duration = Duration::from_secs(2);

/// Share of the healthy servers that must get requests in a window.
const FLOOR_SHARE: f64 = 0.7;

/// Time without an attempt before which a server is given no request for the sake of its use.
const MIN_IDLE_MILLIS: u64 = 900;

/// Half of the risk of a server of which nothing is known, in thousandths.
const MAX_MEAN_RISK: u32 = 99;

/// An attempt at a server.
struct Job {
    attempt: handle::Attempt,
    ends_at: time::Time,
}

/// The results of a window.
#[derive(Debug, Default)]
struct Window {
    /// Number of attempts by server.
    attempts: BTreeMap<u32, u64>,
    grounds: Vec<action::Grounds>,
    failed: u32,
    requests: u32,
}

/// Whether the response to this attempt is lost.
fn is_lost(attempt: handle::Attempt) -> bool {
    rank::hash(&attempt.0.to_be_bytes()) % 100 < LOST_PERCENT
}

/// Runs windows, with lost responses after the first `losses_start` ones.
fn run(windows: usize, losses_start: usize) -> Vec<Window> {
    let server = |number| inventory::Server {
        slots: SLOTS,
        ..fixture::server(number)
    };
    let mut harness = fixture::harness((0..SERVERS).map(server).collect());
    let mut jobs = VecDeque::<Job>::new();
    let mut results = Vec::new();
    for number in 0..windows {
        let mut window = Window::default();
        let ends_at = harness.now + WINDOW;
        while harness.now < ends_at {
            harness.advance(REQUEST_INTERVAL);
            while jobs.front().is_some_and(|job| job.ends_at <= harness.now) {
                let job = jobs.pop_front().expect("a job");
                let is_lost = number >= losses_start && is_lost(job.attempt);
                window.failed += u32::from(is_lost);
                let outcome = match is_lost {
                    true => outcome::Outcome::Broken,
                    false => outcome::Outcome::Answered(200),
                };
                harness.finish(job.attempt, outcome);
            }
            window.requests += 1;
            for sent in fixture::sent_attempts(&harness.arrive(false)) {
                *window.attempts.entry(sent.server.0).or_default() += 1;
                window.grounds.push(sent.grounds);
                jobs.push_back(Job {
                    attempt: sent.attempt,
                    ends_at: harness.now + WORK,
                });
            }
        }
        results.push(window);
    }
    results
}

/// Guards against healthy servers that get no request while others fail (FLOOR).
#[test]
fn while_a_tenth_of_the_requests_fails_most_servers_get_some() {
    let losses_start = 3;

    let windows = run(12, losses_start);

    for (number, window) in windows.iter().enumerate().skip(losses_start + 1) {
        let share = window.attempts.len() as f64 / f64::from(SERVERS);
        let fails_much = window.failed * 10 > window.requests;
        assert!(
            share >= FLOOR_SHARE || !fails_much,
            "window {number}: {share:.2} of the servers, {} of {} requests failed",
            window.failed,
            window.requests,
        );
    }
}

/// Guards against requests that are risked for nothing: but for one of each period, which an idle server
/// is given, they stay at the servers that are trusted, which are fewer than half.
#[test]
fn without_failures_requests_are_given_to_idle_servers_only_once_in_a_while() {
    let windows = run(6, usize::MAX);

    let last = windows.last().expect("windows");
    let idle = last
        .grounds
        .iter()
        .filter(|g| g.idle_millis >= MIN_IDLE_MILLIS);
    let most_each = (WINDOW.as_millis() as u64).div_ceil(MIN_IDLE_MILLIS);
    let most = u64::from(SERVERS) * most_each;
    let trusted = last.attempts.values().filter(|n| **n > most_each);
    assert_eq!(last.failed, 0);
    assert!(idle.count() as u64 <= most, "{last:?}");
    assert!(trusted.count() * 2 < SERVERS as usize, "{last:?}");
    let risk: u32 = last.grounds.iter().map(|g| g.risk).sum();
    assert!(risk <= MAX_MEAN_RISK * last.requests, "{last:?}");
}
