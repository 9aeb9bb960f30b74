//! Decisions about single requests.

use std::time::Duration;

use monsooncart_policy::allowance::{
    Decision, Holder, Ledger, Limit, Organisation, Tolerance, loan,
};
use monsooncart_types::{instance, time};

const OWN: instance::Instance = instance::Instance(1);

const ORGANISATION: Organisation = Organisation(7);

const LIMIT: Limit = Limit {
    rate: 10.0,
    burst: 5.0,
};

const AT_ONCE: Decision = Decision::Admit {
    after: Duration::ZERO,
};

fn holder(daemon: instance::Instance) -> Holder {
    Holder {
        daemon,
        is_local: true,
    }
}

/// The ledger of the only daemon, which has run for 10 s.
fn ledger() -> (Ledger, time::Time) {
    let started_at = time::Time::from_millis(50_000);
    let now = time::Time::from_millis(60_000);
    let mut ledger = Ledger::new(started_at, OWN, 1, Tolerance::default(), false);
    ledger.set_holders(started_at, &[holder(OWN)]);
    (ledger, now)
}

fn decide(ledger: &mut Ledger, now: time::Time) -> Decision {
    ledger.decide(now, ORGANISATION, LIMIT, true)
}

#[test]
fn the_only_daemon_admits_a_whole_burst_and_then_makes_requests_wait() {
    let (mut ledger, now) = ledger();

    let burst: Vec<_> = (0..5).map(|_| decide(&mut ledger, now)).collect();
    let next = decide(&mut ledger, now);

    assert_eq!(burst, [AT_ONCE; 5]);
    let Decision::Admit { after } = next else {
        panic!("{next:?}");
    };
    assert!(
        after > Duration::ZERO && after <= Duration::from_millis(100),
        "{after:?}"
    );
}

/// Guards against callers that are told to come back all at once.
#[test]
fn refused_requests_are_told_to_come_back_in_the_order_of_their_refusals() {
    let (mut ledger, now) = ledger();
    let mut turns = Vec::new();

    for _ in 0..20 {
        if let Decision::Refuse { retry_after } = decide(&mut ledger, now) {
            turns.push(retry_after);
        }
    }

    assert!(turns.len() > 5);
    assert!(turns.is_sorted());
    assert!(
        turns[4] - turns[0] >= Duration::from_millis(350),
        "{turns:?}"
    );
}

/// Guards against allowances that are spent by requests which never ran.
#[test]
fn a_request_that_has_not_run_gives_its_token_back() {
    let (mut ledger, now) = ledger();
    for _ in 0..5 {
        decide(&mut ledger, now);
    }

    ledger.refund(now, ORGANISATION);

    assert_eq!(decide(&mut ledger, now), AT_ONCE);
}

/// Guards against a burst of the old limit under the new one.
#[test]
fn a_lower_limit_is_in_force_at_once() {
    let (mut ledger, now) = ledger();
    decide(&mut ledger, now);
    let lower = Limit {
        rate: 0.1,
        burst: 1.0,
    };

    let decisions: Vec<_> = (0..3)
        .map(|_| ledger.decide(now, ORGANISATION, lower, true))
        .collect();

    assert_eq!(decisions[0], AT_ONCE);
    assert!(
        matches!(decisions[1], Decision::Refuse { .. }),
        "{decisions:?}"
    );
}

/// Guards against a daemon outside the entry sets that admits before the others know of it.
#[test]
fn a_daemon_outside_the_entry_sets_admits_nothing_until_its_weight_is_echoed() {
    let (mut ledger, now) = ledger();
    ledger.set_holders(now, &[holder(instance::Instance(2))]);

    assert_eq!(decide(&mut ledger, now), Decision::Undecided);
}

/// Guards against a malformed message that spoils a bucket for good.
#[test]
fn loans_with_impossible_numbers_change_nothing() {
    let (mut ledger, now) = ledger();
    decide(&mut ledger, now);
    let from = instance::Instance(2);
    for tokens in [f64::NAN, f64::INFINITY, -5.0] {
        ledger.receive_loan(
            now,
            &loan::Loan::Ask {
                from,
                organisation: ORGANISATION,
                limit: LIMIT,
                tokens,
            },
        );
        ledger.receive_loan(
            now,
            &loan::Loan::Grant {
                from,
                number: 1,
                organisation: ORGANISATION,
                tokens,
            },
        );
    }

    let rest: Vec<_> = (0..4).map(|_| decide(&mut ledger, now)).collect();

    assert_eq!(rest, [AT_ONCE; 4]);
    assert!(ledger.take_loans().is_empty());
}

/// Guards against tokens that exist twice because their message came twice.
#[test]
fn a_grant_that_comes_twice_counts_once() {
    let (mut ledger, now) = ledger();
    for _ in 0..40 {
        decide(&mut ledger, now);
    }
    let grant = |number| loan::Loan::Grant {
        from: instance::Instance(2),
        number,
        organisation: ORGANISATION,
        tokens: 1.0,
    };

    for number in [5, 4, 5, 4, 5] {
        ledger.receive_loan(now, &grant(number));
    }

    let decisions: Vec<_> = (0..3).map(|_| decide(&mut ledger, now)).collect();
    assert_eq!(decisions[..2], [AT_ONCE; 2]);
    assert_ne!(decisions[2], AT_ONCE);
}
