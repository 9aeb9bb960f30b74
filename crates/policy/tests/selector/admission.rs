//! Too little room: what waits, what is refused, and what is risked. Each test names its load.

use std::time::Duration;

use monsooncart_policy::{event, handle, outcome};

use crate::fixture::{self, MS};
use crate::load::{Kind, Load};

const SUCCESS: outcome::Outcome = outcome::Outcome::Answered(200);

/// Orders: 270 ms of work on average.
const ORDERS: Kind = Kind {
    priority: 1,
    work_millis: [100, 440],
    objective: Duration::from_millis(800),
    timeout: Duration::from_secs(3),
    rate: |_| 0.0,
};

/// Requests per second that 12 servers with 4 slots can process.
const CAPACITY: f64 = 12.0 * 4.0 / 0.27;

/// A load of these kinds on 12 servers without failures.
fn load(kinds: Vec<Kind>) -> Load {
    Load {
        servers: 12,
        slots: 4,
        kinds,
        fails: |_, _| false,
        duration: Duration::from_secs(16),
    }
}

/// Guards against requests that are refused although there is room within their time: three times
/// the capacity for 0.8 s.
#[test]
fn a_burst_that_the_servers_work_off_in_time_is_served_whole() {
    let orders = Kind {
        rate: |second| {
            CAPACITY
                * if (4.0..4.8).contains(&second) {
                    3.0
                } else {
                    0.5
                }
        },
        ..ORDERS
    };
    let load = load(vec![orders]);
    let mut harness = fixture::waiting_harness(load.inventory());

    let counts = load.run(&mut harness);

    assert_eq!(counts[0].refused, 0, "{:?}", counts[0]);
    assert_eq!(counts[0].refused_late, 0, "{:?}", counts[0]);
}

/// Guards against servers that fail fast and look free: demand is at nine tenths of the capacity, and
/// a quarter of the servers fails everything at once from 4 s to 8 s.
#[test]
fn requests_wait_for_full_servers_rather_than_fail_at_free_ones() {
    let orders = Kind {
        rate: |_| CAPACITY * 0.9,
        ..ORDERS
    };
    let load = Load {
        fails: |server, second| server < 3 && (4.0..8.0).contains(&second),
        ..load(vec![orders])
    };
    let mut harness = fixture::waiting_harness(load.inventory());

    let counts = load.run(&mut harness);

    let lost = f64::from(counts[0].failed) / f64::from(counts[0].asked());
    assert!(lost <= 0.02, "{:?}", counts[0]);
    assert!(counts[0].served() >= 0.9, "{:?}", counts[0]);
}

/// Guards against a kind that is served less than a less urgent one of the same service: demand at
/// 1.5 times the capacity for 8 s, half of it urgent.
#[test]
fn an_urgent_kind_is_served_before_a_less_urgent_one_which_does_not_starve() {
    let rate = |second: f64| {
        CAPACITY
            * if (4.0..12.0).contains(&second) {
                0.75
            } else {
                0.3
            }
    };
    let urgent = Kind {
        priority: 0,
        rate,
        ..ORDERS
    };
    let patient = Kind {
        priority: 2,
        rate,
        ..ORDERS
    };
    let load = load(vec![patient, urgent]);
    let mut harness = fixture::waiting_harness(load.inventory());

    let counts = load.run(&mut harness);

    let all = (counts[0].served() + counts[1].served()) / 2.0;
    assert!(counts[1].served() >= counts[0].served(), "{counts:?}");
    assert!(counts[1].served() >= 0.95, "{counts:?}");
    assert!(counts[0].served() >= all / 4.0, "{counts:?}");
}

/// Guards against work that is spent on few requests while many others are refused: two kinds of one
/// priority, of which one needs four times the work of the other, at 1.5 times the capacity.
#[test]
fn what_needs_most_work_is_refused_first() {
    let short = Kind {
        work_millis: [80, 120],
        rate: |second| {
            if (4.0..12.0).contains(&second) {
                360.0
            } else {
                100.0
            }
        },
        ..ORDERS
    };
    let long = Kind {
        work_millis: [350, 450],
        rate: |second| {
            if (4.0..12.0).contains(&second) {
                90.0
            } else {
                25.0
            }
        },
        ..ORDERS
    };
    let load = load(vec![long, short]);
    let mut harness = fixture::waiting_harness(load.inventory());

    let counts = load.run(&mut harness);

    assert!(counts[1].served() >= counts[0].served(), "{counts:?}");
    assert!(counts[0].served() >= 0.25, "{counts:?}");
}

/// Guards against requests that are held although they can't be served: at twice the capacity, what
/// is refused is refused before its objective has passed.
#[test]
fn under_sustained_overload_refusals_come_early_and_all_room_is_used() {
    let orders = Kind {
        rate: |_| CAPACITY * 2.0,
        ..ORDERS
    };
    let load = load(vec![orders]);
    let mut harness = fixture::waiting_harness(load.inventory());

    let counts = load.run(&mut harness);

    let served = f64::from(counts[0].in_objective + counts[0].late);
    let capacity = CAPACITY * load.duration.as_secs_f64();
    assert!(
        served >= 0.93 * capacity,
        "{:?} of {capacity:.0}",
        counts[0]
    );
    assert!(
        counts[0].refused_late * 20 <= counts[0].refused,
        "{:?}",
        counts[0]
    );
}

/// Guards against requests that wait for servers which answer nothing.
#[test]
fn while_all_servers_hang_requests_are_refused_at_once() {
    let mut harness = fixture::waiting_harness(vec![fixture::server(0)]);
    while fixture::refusals(&harness.arrive(false)).is_empty() {
        harness.advance(MS);
        assert!(harness.requests < 600, "no request is refused");
    }
    harness.advance(Duration::from_secs(5));
    harness.handle(event::Event::Tick);

    let refusals = fixture::refusals(&harness.arrive(false));

    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].execution, outcome::Execution::NotRun);
    assert!(refusals[0].retry_after.is_some());
}

/// Guards against requests that are held until their deadline.
#[test]
fn a_request_that_can_no_longer_be_served_in_time_is_refused_before_its_deadline() {
    let mut harness = fixture::waiting_harness(vec![fixture::server(0)]);
    for _ in 0..10 {
        harness.complete_request(false, 200 * MS, SUCCESS);
    }
    let mut waiting = 0;
    while waiting == 0 {
        let actions = harness.arrive(false);
        assert!(
            fixture::refusals(&actions).is_empty(),
            "refused before one waits"
        );
        waiting = u32::from(fixture::sent_attempts(&actions).is_empty());
    }
    let deadline = harness.now + 4000 * MS;

    let mut refusals = Vec::new();
    while refusals.is_empty() {
        harness.advance(50 * MS);
        refusals = fixture::refusals(&harness.handle(event::Event::Tick));
    }

    assert!(harness.now < deadline);
    assert_eq!(refusals[0].execution, outcome::Execution::NotRun);
}

/// Guards against room that is left unused, and requests that go twice.
#[test]
fn a_request_that_waits_is_sent_once_when_there_is_room_and_not_after_its_caller_has_left() {
    let mut harness = fixture::waiting_harness(vec![fixture::server(0)]);
    harness.complete_request(false, 200 * MS, SUCCESS);
    let mut sent = Vec::new();
    let mut waiting = Vec::new();
    while waiting.len() < 2 {
        let actions = harness.arrive(false);
        match fixture::sent_attempts(&actions).first() {
            Some(attempt) => sent.push(*attempt),
            None => waiting.push(handle::Request(harness.requests)),
        }
    }
    harness.handle(event::Event::CancelRequest(waiting[0]));

    let first = harness.finish(sent[0].attempt, SUCCESS);
    let second = harness.finish(sent[1].attempt, SUCCESS);

    assert_eq!(fixture::sent_attempts(&first).len(), 1);
    assert!(fixture::sent_attempts(&second).is_empty());
}
