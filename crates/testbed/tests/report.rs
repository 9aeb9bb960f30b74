//! The audit of a caller's report against the logs of the servers.

use monsooncart_testbed::backend::starts;
use monsooncart_testbed::caller::report::{Latency, Outcome, Report, UnrepeatableRequest};

fn report(lost: &[&str]) -> Report {
    let unrepeatable = |id: &&str| UnrepeatableRequest {
        id: (*id).to_owned(),
        outcome: Outcome::Lost,
    };
    Report {
        latency: Latency {
            p99_millis: 40.0,
            ..Latency::default()
        },
        works: lost.iter().map(unrepeatable).collect(),
        ..Report::default()
    }
}

fn start(id: &str, at_millis: u64) -> starts::Start {
    starts::Start {
        id: id.to_owned(),
        attempt: String::new(),
        method: "POST".to_owned(),
        target: "/".to_owned(),
        at_millis,
    }
}

#[test]
fn lost_requests_are_unforeseeable_while_a_stalled_server_may_be_merely_slow() {
    let report = report(&["first", "second"]);
    let silent = [start("first", 1000), start("second", 1110)];

    assert_eq!(report.count_unforeseeable_losses(&silent), 2);
}

#[test]
fn lost_requests_are_not_unforeseeable_if_started_later_or_never() {
    let report = report(&["late", "nowhere"]);
    let silent = [start("answered", 1000), start("late", 1130)];

    assert_eq!(report.count_unforeseeable_losses(&silent), 0);
}
