//! Unhealthy servers are detected in time and healthy ones are not ejected, in comparison with the
//! naive baseline.

use std::time::Duration;

use monsooncart_policy::balancer::Config;
use monsooncart_policy::health::Sensitivity;
use monsooncart_policy::naive::Naive;
use strum::IntoEnumIterator;

use crate::simulation::{self, Mode, Outcome, Plan};

const UNHEALTHY: u32 = 2;
const FAULT_AT: Duration = Duration::from_secs(20);

fn run_balancer(plan: &Plan) -> Outcome {
    simulation::run(plan, Box::new(Config::new(plan.seed).build()))
}

fn run_naive(plan: &Plan) -> Outcome {
    let mut plan = plan.clone();
    plan.strict = false;
    simulation::run(&plan, Box::new(Naive::new()))
}

/// Maximum detection time of a sensitivity.
fn detection_deadline(sensitivity: Sensitivity) -> Duration {
    match sensitivity {
        Sensitivity::Fast => Duration::from_secs(2),
        Sensitivity::Balanced | Sensitivity::Careful => Duration::from_secs(5),
    }
}

fn unhealthy_plan(seed: u64, sensitivity: Sensitivity, mode: Mode) -> Plan {
    let mut plan = simulation::plan(seed);
    plan.sensitivity = sensitivity;
    plan.faults = vec![(FAULT_AT, vec![UNHEALTHY], mode)];
    plan
}

fn assert_detected_in_time(mode: Mode) {
    assert_detected_in_time_with(mode, |_| {});
}

/// The sizes of the service wiredesk: 22 servers with 2 slots.
fn wiredesk(plan: &mut Plan) {
    plan.servers = 22;
    plan.rate = |_| 80.0;
}

/// The sizes of the service purse-api: 25 servers with 6 slots.
fn purse_api(plan: &mut Plan) {
    plan.servers = 25;
    plan.slots = 6;
    plan.rate = |_| 200.0;
}

fn assert_detected_in_time_with(mode: Mode, change: fn(&mut Plan)) {
    let mut failures = Vec::new();
    for sensitivity in Sensitivity::iter() {
        let (mut times, mut harmed, mut harmed_naive) = (Vec::new(), 0, 0);
        for seed in simulation::seeds() {
            let mut plan = unhealthy_plan(seed, sensitivity, mode);
            change(&mut plan);

            let balanced = run_balancer(&plan);
            let naive_outcome = run_naive(&plan);

            let detected = balanced
                .detection_time(UNHEALTHY, FAULT_AT)
                .unwrap_or(Duration::MAX);
            let false_ejections = balanced
                .ejections
                .iter()
                .filter(|(_, s)| s.0 != UNHEALTHY)
                .count();
            if detected >= detection_deadline(sensitivity) || false_ejections > 0 {
                failures.push((sensitivity, seed, detected, false_ejections));
            }
            harmed += balanced.harmed;
            harmed_naive += naive_outcome.harmed;
            times.push((detected, naive_outcome.detection_time(UNHEALTHY, FAULT_AT)));
        }
        times.sort();
        let (median, last) = (times[times.len() / 2].0, times[times.len() - 1].0);
        let naive = times.iter().map(|(_, n)| n.unwrap_or(Duration::MAX)).min();
        println!(
            "{mode:?} {sensitivity}: median {median:?}, last {last:?}, harmed {harmed}; naive first {naive:?}, harmed {harmed_naive}"
        );
    }
    assert!(failures.is_empty(), "late or false ejections: {failures:?}");
}

#[test]
fn a_stall_is_detected_in_time() {
    assert_detected_in_time(Mode::Stall);
}

#[test]
fn errors_are_detected_in_time() {
    assert_detected_in_time(Mode::Error(1.0));
}

#[test]
fn tenfold_slowness_is_detected_in_time() {
    assert_detected_in_time(Mode::Slow(10.0));
}

#[test]
fn faults_of_a_wiredesk_server_are_detected_in_time() {
    assert_detected_in_time_with(Mode::Stall, wiredesk);
    assert_detected_in_time_with(Mode::Error(1.0), wiredesk);
    assert_detected_in_time_with(Mode::Slow(10.0), wiredesk);
}

#[test]
fn faults_of_a_purse_api_server_are_detected_in_time() {
    assert_detected_in_time_with(Mode::Stall, purse_api);
    assert_detected_in_time_with(Mode::Error(1.0), purse_api);
    assert_detected_in_time_with(Mode::Slow(10.0), purse_api);
}

#[test]
fn two_unhealthy_servers_at_once_are_both_ejected() {
    for seed in simulation::seeds() {
        let mut plan = unhealthy_plan(seed, Sensitivity::Fast, Mode::Stall);
        plan.faults = vec![(FAULT_AT, vec![UNHEALTHY, 4], Mode::Stall)];

        let outcome = run_balancer(&plan);

        let detected = [UNHEALTHY, 4].map(|s| outcome.detection_time(s, FAULT_AT));
        assert!(
            detected.iter().all(Option::is_some),
            "{detected:?} with seed {seed}"
        );
    }
}
