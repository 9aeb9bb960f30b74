//! The queue is bounded, fair and deadline-aware: a request that cannot meet its deadline is
//! refused at once.

use std::time::Duration;

use monsooncart_policy::queue::{Admission, Queue, pace, waiter};
use monsooncart_policy::{event, handle, outcome};
use monsooncart_types::{map, time};

use crate::fixture::{self, MS};

fn waiter(request: u64) -> waiter::Waiter {
    waiter::Waiter {
        request: handle::Request(request),
        deadline: time::Time::from_millis(1_000),
    }
}

fn pace() -> pace::Pace {
    pace::Pace {
        slot_interval: 10 * MS,
        head_time: 5 * MS,
        initial_delay: Duration::ZERO,
    }
}

fn push(queue: &mut Queue, organisation: u32, weight: u32, request: u64) -> Admission {
    let organisation = handle::Organisation(organisation);
    let waiter = waiter(request);
    queue.push(time::Time::ZERO, organisation, weight, waiter, &pace(), 20)
}

fn pop_and_count(queue: &mut Queue, count: usize) -> map::Map<handle::Organisation, usize> {
    let mut counts = map::Map::default();
    for _ in 0..count {
        let (organisation, _) = queue.pop().expect("a queued request");
        *counts.entry(organisation).or_default() += 1;
    }
    counts
}

#[test]
fn shares_follow_the_weights() {
    let mut queue = Queue::default();
    for request in 0..10 {
        push(&mut queue, 1, 3, request);
        push(&mut queue, 2, 1, 100 + request);
    }

    let counts = pop_and_count(&mut queue, 12);

    assert_eq!(counts[&handle::Organisation(1)], 9);
    assert_eq!(counts[&handle::Organisation(2)], 3);
}

#[test]
fn a_flooding_organisation_loses_its_own_requests() {
    let mut queue = Queue::default();
    for request in 0..20 {
        push(&mut queue, 1, 1, request);
    }

    let excess = push(&mut queue, 1, 1, 50);
    let other = push(&mut queue, 2, 1, 100);

    assert_eq!(excess, Admission::Refused);
    assert_eq!(other, Admission::Displaced(handle::Request(19)));
    assert_eq!(queue.len(), 20);
}

#[test]
fn requests_of_an_organisation_stay_in_order() {
    let mut queue = Queue::default();
    for request in 0..5 {
        push(&mut queue, 1, 1, request);
    }

    let order: Vec<_> = (0..5).filter_map(|_| queue.pop()).collect();

    let order: Vec<_> = order.into_iter().map(|(_, w)| w.request.0).collect();
    assert_eq!(order, [0, 1, 2, 3, 4]);
    assert!(queue.is_empty());
}

#[test]
fn a_wait_past_the_deadline_is_refused_at_once() {
    let mut harness = fixture::harness(1, 2);
    harness.establish_baseline(30, 100 * MS);
    harness.arrive();
    harness.arrive();
    let mut arrival = harness.arrival();
    arrival.deadline = harness.now + 120 * MS;

    let actions = harness.handle(event::Event::Arrive(arrival));

    let refusals = fixture::refusals(&actions);
    assert_eq!(refusals.len(), 1);
    let refusal = refusals[0].1;
    assert_eq!(refusal.reason, outcome::Reason::Overload);
    assert_eq!(refusal.execution, outcome::Execution::NotRun);
    assert!(refusal.retry_after >= Some(Duration::from_secs(1)));
}

#[test]
fn queued_requests_are_refused_once_they_cannot_meet_their_deadline() {
    let mut queue = Queue::default();
    for request in 0..10 {
        push(&mut queue, 1, 1, request);
    }
    let slower = pace::Pace {
        slot_interval: 200 * MS,
        ..pace()
    };

    let late = queue.remove_late(time::Time::ZERO, &slower);

    let late: Vec<_> = late.into_iter().map(|r| r.0).collect();
    assert_eq!(late, [4, 5, 6, 7, 8, 9]);
    assert_eq!(queue.len(), 4);
}

#[test]
fn a_service_without_servers_refuses_at_once() {
    let mut harness = fixture::harness(0, 1);

    let actions = harness.arrive();

    let refusals = fixture::refusals(&actions);
    assert_eq!(refusals[0].1.reason, outcome::Reason::NoServer);
    assert!(refusals[0].1.retry_after.is_some());
}

#[test]
fn queued_requests_are_refused_when_the_last_server_is_leaving() {
    let mut harness = fixture::harness(1, 1);
    harness.arrive();
    harness.arrive();
    harness.arrive();

    let actions = harness.handle(event::Event::Leaving(handle::Server(0)));

    assert_eq!(fixture::refusals(&actions).len(), 2);
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let mut harness = fixture::harness(1, 1);
    let first = fixture::sends(&harness.arrive())[0];
    let arrival = harness.arrival();
    harness.handle(event::Event::Arrive(arrival));

    let cancelled = harness.handle(event::Event::CancelRequest(arrival.request));
    let actions = harness.answer(first.attempt);

    assert!(cancelled.is_empty());
    assert!(actions.is_empty(), "{actions:?}");
}

#[test]
fn a_freed_slot_goes_to_the_queued_request() {
    let mut harness = fixture::harness(1, 1);
    let first = fixture::sends(&harness.arrive())[0];
    let arrival = harness.arrival();
    harness.handle(event::Event::Arrive(arrival));

    let actions = harness.answer(first.attempt);

    assert_eq!(fixture::sends(&actions)[0].request, arrival.request);
}

#[test]
fn queued_requests_are_refused_early_while_no_slot_becomes_free() {
    let mut harness = fixture::harness(1, 1);
    harness.establish_baseline(30, 10 * MS);
    harness.arrive_unrepeatable();
    let mut arrival = harness.arrival();
    arrival.deadline = harness.now + Duration::from_secs(4);
    let arrived_at = harness.now;
    harness.handle(event::Event::Arrive(arrival));
    let mut refused = Vec::new();

    while refused.is_empty() && harness.now < arrival.deadline {
        harness.advance(50 * MS);
        refused = fixture::refusals(&harness.tick());
    }

    let waited = harness.now.since(arrived_at);
    assert_eq!(refused[0].1.execution, outcome::Execution::NotRun);
    assert!(
        waited <= Duration::from_millis(2_050),
        "queued for {waited:?}"
    );
}
