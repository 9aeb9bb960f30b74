//! Retry budget, compared with an exact count of all retries.

use std::time::Duration;

use monsooncart_policy::selector::budget::{Budget, Limits};
use monsooncart_types::time;

const LIMITS: Limits = Limits {
    share: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
    min_daemons: 1,
};

/// Time of the first event: the daemons have run for a minute.
const START: time::Time = time::Time::from_millis(61_000);

/// The budget of one of several daemons that have run for a minute.
fn budget_among(daemons: u32) -> Budget {
    let mut budget = Budget::new(LIMITS);
    budget.set_daemons(time::Time::from_millis(1000), daemons, true);
    budget
}

/// Whether the retries of all windows that end at a retry are within the bound.
fn is_within_bound(requests: &[time::Time], retries: &[time::Time], daemons: f64) -> bool {
    retries.iter().all(|end| {
        let within = |at: &&time::Time| **at <= *end && end.since(**at) < LIMITS.window;
        let count = |events: &[time::Time]| events.iter().filter(within).count() as f64;
        let bound = LIMITS.share * count(requests) + LIMITS.slack / daemons;
        count(retries) <= bound
    })
}

#[test]
fn retries_of_all_daemons_together_stay_within_the_bound_in_any_window() {
    arbtest::arbtest(|u| {
        let daemons = 3;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut budgets = vec![budget_among(3); daemons];
        let mut now = START;
        for _ in 0..400 {
            now = now + Duration::from_millis(u.int_in_range(0..=120)?);
            let budget = &mut budgets[u.choose_index(daemons)?];
            if u.ratio(1, 2)? {
                budget.record_request(now);
                requests.push(now);
            } else if budget.allows_retry(now, 0) {
                budget.record_retry(now, 0);
                retries.push(now);
            }
        }
        assert!(is_within_bound(&requests, &retries, 1.0));
        Ok(())
    });
}

#[test]
fn daemons_that_all_restart_within_a_window_stay_within_the_bound_together() {
    let now = START;
    let mut retries = 0;
    for _runs in 0..2 {
        let mut budgets = vec![budget_among(3); 3];
        for budget in &mut budgets {
            while budget.allows_retry(now, 0) {
                budget.record_retry(now, 0);
                retries += 1;
            }
        }
    }

    assert!(f64::from(retries) <= LIMITS.slack, "{retries}");
}

/// Guards against daemons with few requests that refuse what a server shed, as neither their share nor
/// their part of the slack permits a whole retry.
#[test]
fn a_daemon_that_has_just_started_may_retry_one_of_its_first_requests() {
    const DAEMONS: u32 = 3;
    const FIRST_REQUESTS: u32 = 2;
    let now = time::Time::ZERO;
    let mut budget = Budget::new(Limits {
        min_daemons: DAEMONS,
        ..LIMITS
    });

    (0..FIRST_REQUESTS).for_each(|_| budget.record_request(now));

    assert!(budget.allows_retry(now, 0));
    budget.record_retry(now, 0);
    assert!(!budget.allows_retry(now, 0));
}

#[test]
fn retries_outside_the_window_do_not_count() {
    let mut budget = Budget::new(LIMITS);
    let start = START;
    while budget.allows_retry(start, 0) {
        budget.record_retry(start, 0);
    }

    let later = start + LIMITS.window + Duration::from_secs(1);

    assert!(budget.allows_retry(later, 0));
}

/// Guards against retries of less urgent requests that use up the budget: all servers shed half of the
/// requests, a tenth of which is urgent.
#[test]
fn while_half_of_the_requests_is_shed_urgent_ones_find_retries_left() {
    let mut budget = Budget::new(LIMITS);
    let mut now = START;
    let (mut urgent, mut denied) = (0, 0);

    for number in 0..20_000_u32 {
        now = now + Duration::from_millis(2);
        let priority = if number.is_multiple_of(10) { 0 } else { 1 };
        budget.record_request(now);
        // Of ten requests the first one and four others are shed.
        let is_shed = number % 10 < 5;
        urgent += u32::from(is_shed && priority == 0);
        match is_shed && budget.allows_retry(now, priority) {
            true => budget.record_retry(now, priority),
            false => denied += u32::from(is_shed && priority == 0),
        }
    }

    assert!(denied * 20 <= urgent, "{denied} of {urgent}");
}

/// Guards against a part of the budget that lies idle although nobody lacks it.
#[test]
fn less_urgent_requests_use_the_whole_budget_until_an_urgent_one_is_denied() {
    let now = START;
    let budget = || {
        let mut budget = Budget::new(LIMITS);
        (0..1000).for_each(|_| budget.record_request(now));
        budget
    };
    let use_up = |budget: &mut Budget, now, priority| {
        let mut retries = 0;
        while budget.allows_retry(now, priority) {
            budget.record_retry(now, priority);
            retries += 1;
        }
        retries
    };
    let mut contested = budget();

    let alone = use_up(&mut budget(), now, 2);
    let urgent = use_up(&mut contested, now, 1);
    let later = now + LIMITS.window.mul_f64(0.9);
    (0..10_000).for_each(|_| contested.record_request(later));
    let less_urgent = use_up(&mut contested, later, 2);
    let urgent_again = use_up(&mut contested, later, 1);

    assert_eq!(alone, urgent);
    assert!(
        less_urgent > 0 && urgent_again > less_urgent,
        "{less_urgent}, {urgent_again}"
    );
}

/// Guards against hedges that are not sent and use up the budget, and against refunds that raise it.
#[test]
fn a_refund_allows_one_more_retry_and_no_others() {
    for requests in [0, 1, 7, 40, 1000] {
        let mut budget = budget_among(1);
        (0..requests).for_each(|_| budget.record_request(START));
        let spend_all = |budget: &mut Budget| {
            let mut count = 0;
            while budget.allows_retry(START, 0) {
                budget.record_retry(START, 0);
                count += 1;
            }
            count
        };
        let first = spend_all(&mut budget);

        budget.refund_retry(START);
        let again = spend_all(&mut budget);

        assert!(first > 0, "{requests} requests");
        assert_eq!(again, 1, "{requests} requests");
    }
}
