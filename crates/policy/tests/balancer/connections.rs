//! Old connections that went silent are closed, and their server stays.

use std::time::Duration;

use monsooncart_policy::connections::Tracker;
use monsooncart_policy::health;
use monsooncart_types::time;

use crate::fake::{self, Mode};
use monsooncart_policy::balancer::Config;

fn at(milliseconds: u64) -> time::Time {
    time::Time::from_millis(milliseconds)
}

#[test]
fn silent_old_connections_and_a_new_one_that_works_condemn_the_age_group() {
    let mut watch = Tracker::default();
    watch.record_silence(at(100), false, 1.0);
    watch.record_silence(at(200), false, 1.0);
    watch.record_answer(at(300), true);

    let condemned = watch.detect_stale(0, None).expect("condemned");

    assert_eq!(condemned.opened_before, at(100));
    assert_eq!(condemned.evidence, 2.0);
}

#[test]
fn one_silent_attempt_may_be_a_slow_request() {
    let mut watch = Tracker::default();
    watch.record_silence(at(100), false, 1.0);
    watch.record_answer(at(300), true);

    assert_eq!(watch.detect_stale(0, None), None);
}

#[test]
fn an_old_connection_that_works_clears_the_others() {
    let mut watch = Tracker::default();
    watch.record_silence(at(100), false, 1.0);
    watch.record_silence(at(200), false, 1.0);
    watch.record_answer(at(250), false);
    watch.record_answer(at(300), true);

    assert_eq!(watch.detect_stale(0, None), None);
}

#[test]
fn a_new_connection_that_is_silent_too_clears_nothing() {
    let mut watch = Tracker::default();
    watch.record_silence(at(100), false, 1.0);
    watch.record_silence(at(200), false, 1.0);
    watch.record_silence(at(300), true, 1.0);

    assert_eq!(watch.detect_stale(0, None), None);
    assert!(watch.fresh_failed_since(at(100)));
}

#[test]
fn silent_connections_eject_no_server() {
    for sensitivity in [health::Sensitivity::Fast, health::Sensitivity::Careful] {
        for seed in fake::seeds() {
            let mut plan = fake::plan(seed);
            plan.sensitivity = sensitivity;
            plan.faults = vec![(Duration::from_secs(20), vec![2], Mode::Silent)];

            let outcome = fake::run(&plan, Box::new(Config::new(seed).build()));

            println!("condemned {} harmed {}", outcome.condemned, outcome.harmed);
            assert!(outcome.condemned > 0, "seed {seed}");
            assert_eq!(outcome.ejections, [], "seed {seed}");
        }
    }
}
