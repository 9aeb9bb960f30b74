//! Servers that ask one daemon to send them nothing for a time.

use std::time::Duration;

use monsooncart_policy::service::Policy;
use monsooncart_policy::{action, event, handle, inventory, naive, outcome};
use monsooncart_types::{instance, time};

use crate::fixture::{self, MS};

const DELAY: Duration = Duration::from_secs(5);

/// Sends a request to the only server, which refuses it with a retry delay.
fn refuse_with_delay(harness: &mut fixture::Harness, delay: Duration) {
    let sent = fixture::sent_attempts(&harness.arrive(true))[0];
    let attempt = sent.attempt;
    harness.handle(event::Event::RetryAfter { attempt, delay });
    harness.finish(attempt, outcome::Outcome::Shed { leaving: false });
}

/// Whether a request is sent.
fn is_sent(harness: &mut fixture::Harness) -> bool {
    !fixture::sent_attempts(&harness.arrive(true)).is_empty()
}

#[test]
fn a_server_receives_nothing_before_its_retry_delay_ends() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);

    refuse_with_delay(&mut harness, DELAY);

    harness.advance(DELAY - MS);
    assert!(!is_sent(&mut harness));
    harness.advance(MS);
    assert!(is_sent(&mut harness));
}

#[test]
fn an_earlier_request_that_succeeds_later_does_not_end_the_retry_delay() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    let earlier = fixture::sent_attempts(&harness.arrive(true))[0];
    refuse_with_delay(&mut harness, DELAY);

    harness.advance(2000 * MS);
    harness.finish(earlier.attempt, outcome::Outcome::Answered(200));

    assert!(!is_sent(&mut harness));
}

#[test]
fn a_shorter_retry_delay_does_not_shorten_the_running_one() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    let earlier = fixture::sent_attempts(&harness.arrive(true))[0];
    refuse_with_delay(&mut harness, DELAY);

    harness.handle(event::Event::RetryAfter {
        attempt: earlier.attempt,
        delay: 100 * MS,
    });
    harness.finish(earlier.attempt, outcome::Outcome::Shed { leaving: false });
    harness.advance(2000 * MS);

    assert!(!is_sent(&mut harness));
}

#[test]
fn a_peer_that_is_served_does_not_end_the_retry_delay() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    refuse_with_delay(&mut harness, DELAY);

    harness.report_evidence(0, 3, 0);

    assert!(!is_sent(&mut harness));
}

#[test]
fn the_retry_delay_outlasts_the_removal_of_the_server_from_the_configuration() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    refuse_with_delay(&mut harness, DELAY);

    harness.handle(fixture::inventory(Vec::new()));
    harness.handle(event::Event::Tick);
    harness.handle(fixture::inventory(vec![fixture::server(0)]));

    assert!(!is_sent(&mut harness));
}

#[test]
fn a_retry_delay_that_arrives_after_the_removal_of_the_server_counts() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    let sent = fixture::sent_attempts(&harness.arrive(true))[0];
    harness.handle(fixture::inventory(Vec::new()));

    let attempt = sent.attempt;
    let delay = DELAY;
    harness.handle(event::Event::RetryAfter { attempt, delay });
    harness.finish(attempt, outcome::Outcome::Shed { leaving: false });
    harness.handle(fixture::inventory(vec![fixture::server(0)]));

    assert!(!is_sent(&mut harness));
}

#[test]
fn another_run_of_the_server_has_no_retry_delay() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    refuse_with_delay(&mut harness, DELAY);

    harness.handle(fixture::inventory(vec![inventory::Server {
        started_millis: 2,
        ..fixture::server(0)
    }]));

    assert!(is_sent(&mut harness));
}

#[test]
fn a_request_is_refused_at_once_with_the_time_until_the_first_retry_delay_ends() {
    let mut harness = fixture::harness(vec![fixture::server(0)]);
    refuse_with_delay(&mut harness, DELAY);
    harness.advance(1000 * MS);

    let refusal = fixture::refusals(&harness.arrive(false))[0];

    assert_eq!(refusal.execution, outcome::Execution::NotRun);
    assert!(refusal.retry_after >= Some(DELAY - 1000 * MS));
}

#[test]
fn other_servers_receive_the_requests() {
    let mut harness = fixture::harness((0..3).map(fixture::server).collect());
    refuse_with_delay(&mut harness, DELAY);

    assert!(is_sent(&mut harness));
}

/// Runs random events on three servers; returns an attempt that was sent before the server's retry delay ended.
fn find_violation(
    policy: &mut dyn Policy,
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Option<handle::Attempt>> {
    let mut now = time::Time::from_millis(60_000);
    let mut retry_at = [time::Time::ZERO; 3];
    let mut in_flight: Vec<(handle::Attempt, usize)> = Vec::new();
    let mut next_request = 0;
    let servers = || (0..3).map(fixture::server).collect();
    let mut actions = Vec::new();
    policy.handle(now, fixture::inventory(servers()), &mut actions);
    for _ in 0..60 {
        now = now + Duration::from_millis(u.int_in_range(0..=400)?);
        let mut events = Vec::new();
        match u.int_in_range(0..=9)? {
            0 => events.push(event::Event::Tick),
            1 => events.push(event::Event::Evidence {
                from: instance::Instance(99),
                digests: Vec::new(),
            }),
            2 => {
                events.push(fixture::inventory(Vec::new()));
                events.push(fixture::inventory(servers()));
            }
            3..=5 if !in_flight.is_empty() => {
                let index = u.choose_index(in_flight.len())?;
                let (attempt, server) = in_flight.swap_remove(index);
                if u.ratio(1, 2)? {
                    let delay = Duration::from_millis(u.int_in_range(0..=6000)?);
                    events.push(event::Event::RetryAfter { attempt, delay });
                    retry_at[server] = retry_at[server].max(now + delay);
                }
                let outcomes = [
                    outcome::Outcome::Answered(200),
                    outcome::Outcome::Shed { leaving: false },
                    outcome::Outcome::Failed(500),
                    outcome::Outcome::Broken,
                ];
                events.push(event::Event::Finish {
                    attempt,
                    outcome: *u.choose(&outcomes)?,
                    replayable: true,
                    retry_after: None,
                });
            }
            _ => {
                next_request += 1;
                events.push(event::Event::Arrive(event::Arrival {
                    request: handle::Request(next_request),
                    organisation: handle::Organisation(0),
                    weight: 1,
                    repeatable: u.ratio(1, 2)?,
                    max_attempts: 3,
                    route: handle::Route::default(),
                    priority: 1,
                    objective: Some(800 * MS),
                    expected_response_bytes: 1000,
                    deadline: now + 4000 * MS,
                    fingerprint: None,
                    relayed: false,
                }));
            }
        }
        for event in events {
            policy.handle(now, event, &mut actions);
        }
        for action in std::mem::take(&mut actions) {
            if let action::Action::Send {
                attempt, server, ..
            } = action
            {
                let server = server.0 as usize;
                if now < retry_at[server] {
                    return Ok(Some(attempt));
                }
                in_flight.push((attempt, server));
            }
        }
    }
    Ok(None)
}

/// Guards against requests to a server within the time for which it asked to be sent nothing
/// (BUDGET).
#[test]
fn no_order_of_events_sends_a_request_before_a_retry_delay_ends() {
    arbtest::arbtest(|u| {
        let mut harness = fixture::harness(Vec::new());
        let violation = find_violation(&mut harness.policy, u)?;
        assert_eq!(violation, None);
        Ok(())
    });
}

#[test]
fn a_policy_without_retry_delays_sends_requests_before_they_end() {
    let mut found = false;
    for seed in 0..50_u64 {
        let bytes: Vec<u8> = (0..600_u64)
            .map(|n| monsooncart_policy::rank::hash(&(seed * 1000 + n).to_be_bytes()) as u8)
            .collect();
        let mut u = arbtest::arbitrary::Unstructured::new(&bytes);
        found |= matches!(
            find_violation(&mut naive::Naive::new(), &mut u),
            Ok(Some(_))
        );
    }
    assert!(found);
}
