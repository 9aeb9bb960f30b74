//! The audit of a caller's report against the servers' logs.

use monsooncart_testbed::backend::starts;
use monsooncart_testbed::caller::report::{Fate, Latency, Report, Work};

fn report(lost: &[&str]) -> Report {
    let work = |id: &&str| Work {
        id: (*id).to_owned(),
        fate: Fate::Lost,
    };
    Report {
        latency: Latency {
            p99_millis: 40.0,
            ..Latency::default()
        },
        works: lost.iter().map(work).collect(),
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
fn work_taken_before_silence_was_a_sign_is_unforeseeable() {
    let report = report(&["first", "second"]);
    let silent = [start("first", 1000), start("second", 1110)];

    assert_eq!(report.unforeseeable(&silent), 2);
}

#[test]
fn work_taken_later_or_never_is_plainly_lost() {
    let report = report(&["late", "nowhere"]);
    let silent = [start("answered", 1000), start("late", 1130)];

    assert_eq!(report.unforeseeable(&silent), 0);
}
