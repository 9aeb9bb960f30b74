//! Stale connections are detected and closed, without an ejection of their server.

use std::time::Duration;

use monsooncart_policy::balancer::Config;
use monsooncart_policy::connections::Tracker;
use monsooncart_policy::health;
use monsooncart_types::time;

use crate::simulation::{self, Mode};

fn at(milliseconds: u64) -> time::Time {
    time::Time::from_millis(milliseconds)
}

#[test]
fn silent_reused_connections_are_stale_once_a_fresh_one_works() {
    let mut tracker = Tracker::default();
    tracker.record_silence(at(100), false, 1.0);
    tracker.record_silence(at(200), false, 1.0);
    tracker.record_answer(at(300), true);

    let stale = tracker.detect_stale(0, None).expect("stale connections");

    assert_eq!(stale.opened_before, at(100));
    assert_eq!(stale.evidence, 2.0);
}

#[test]
fn a_single_silent_attempt_is_not_enough() {
    let mut tracker = Tracker::default();
    tracker.record_silence(at(100), false, 1.0);
    tracker.record_answer(at(300), true);

    assert_eq!(tracker.detect_stale(0, None), None);
}

#[test]
fn a_working_reused_connection_resets_detection() {
    let mut tracker = Tracker::default();
    tracker.record_silence(at(100), false, 1.0);
    tracker.record_silence(at(200), false, 1.0);
    tracker.record_answer(at(250), false);
    tracker.record_answer(at(300), true);

    assert_eq!(tracker.detect_stale(0, None), None);
}

#[test]
fn a_silent_fresh_connection_does_not_make_reused_ones_stale() {
    let mut tracker = Tracker::default();
    tracker.record_silence(at(100), false, 1.0);
    tracker.record_silence(at(200), false, 1.0);
    tracker.record_silence(at(300), true, 1.0);

    assert_eq!(tracker.detect_stale(0, None), None);
    assert!(tracker.fresh_connection_silent_since(at(100)));
}

#[test]
fn stale_connections_eject_no_server() {
    for sensitivity in [health::Sensitivity::Fast, health::Sensitivity::Careful] {
        for seed in simulation::seeds() {
            let mut plan = simulation::plan(seed);
            plan.sensitivity = sensitivity;
            plan.faults = vec![(Duration::from_secs(20), vec![2], Mode::StaleConnections)];

            let outcome = simulation::run(&plan, Box::new(Config::new(seed).build()));

            println!(
                "closures {} harmed {}",
                outcome.connection_closures, outcome.harmed
            );
            assert!(outcome.connection_closures > 0, "seed {seed}");
            assert_eq!(outcome.ejections, [], "seed {seed}");
        }
    }
}
