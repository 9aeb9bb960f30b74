//! Tests of the conversion of the proxy's request records to usage samples.

use std::time::Duration;

use monsooncart_daemon::meter;
use monsooncart_policy::{handle, outcome};
use monsooncart_proxy::interface;
use monsooncart_usage::sample::{Decision, Fault, Outcome};

/// The record of a request that a server answered with status 200.
fn answered() -> interface::Record {
    interface::Record {
        request: handle::Request(1),
        organisation: "team".parse().expect("name"),
        service: "hello".parse().expect("name"),
        server: Some("hello-1".parse().expect("name")),
        attempts: 1,
        status: Some(200),
        refusal: None,
        execution: outcome::Execution::Unknown,
        complete: true,
        received_bytes: 3,
        sent_bytes: 5,
        latency: Duration::from_millis(7),
    }
}

fn refused(
    reason: outcome::Reason,
    execution: outcome::Execution,
    attempts: u32,
) -> interface::Record {
    interface::Record {
        status: Some(503),
        refusal: Some(reason),
        execution,
        attempts,
        ..answered()
    }
}

fn counted(record: &interface::Record) -> (Outcome, Fault, Decision) {
    let sample = meter::sample(record);
    let cause = sample.cause.expect("every sample has a cause");
    (sample.outcome, cause.fault, cause.decision)
}

#[test]
fn server_responses_are_classified_by_outcome() {
    let failed = interface::Record {
        status: Some(500),
        ..answered()
    };
    let cut = interface::Record {
        complete: false,
        ..answered()
    };
    let abandoned = interface::Record {
        status: None,
        ..answered()
    };

    let passed = Decision::Passed;
    assert_eq!(
        counted(&answered()),
        (Outcome::Answered, Fault::Slow, passed)
    );
    assert_eq!(counted(&failed), (Outcome::Failed, Fault::Error, passed));
    assert_eq!(counted(&cut), (Outcome::Cut, Fault::Broken, passed));
    assert_eq!(counted(&abandoned).0, Outcome::Abandoned);
}

#[test]
fn refusals_are_counted_with_fault_and_decision() {
    use outcome::{Execution, Reason};

    let cases = [
        (
            Reason::Overload,
            Execution::NotRun,
            0,
            Fault::Overload,
            Decision::Shed,
        ),
        (
            Reason::NoServer,
            Execution::NotRun,
            0,
            Fault::NoServer,
            Decision::Shed,
        ),
        (
            Reason::Poison,
            Execution::NotRun,
            0,
            Fault::Poison,
            Decision::Quarantined,
        ),
        (
            Reason::Unknown,
            Execution::Unknown,
            1,
            Fault::Broken,
            Decision::NotRepeated,
        ),
        (
            Reason::Exhausted,
            Execution::Unknown,
            3,
            Fault::Broken,
            Decision::Exhausted,
        ),
        (
            Reason::Timeout,
            Execution::NotRun,
            0,
            Fault::Timeout,
            Decision::Shed,
        ),
        (
            Reason::Timeout,
            Execution::Unknown,
            1,
            Fault::Timeout,
            Decision::NotRepeated,
        ),
        (
            Reason::Timeout,
            Execution::Unknown,
            2,
            Fault::Timeout,
            Decision::Exhausted,
        ),
    ];
    for (reason, execution, attempts, fault, decision) in cases {
        let outcome = match execution {
            Execution::NotRun => Outcome::Refused,
            Execution::Unknown => Outcome::Unknown,
        };

        let counted = counted(&refused(reason, execution, attempts));

        assert_eq!(counted, (outcome, fault, decision), "{reason}");
    }
}
