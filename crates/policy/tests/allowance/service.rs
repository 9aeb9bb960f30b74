//! What callers within their allowance get: organisations of Zipf sizes with an allowance of 1.6
//! times their usual demand, calm and in trouble.

use std::time::Duration;

use monsooncart_policy::allowance::{Limit, Organisation};
use rand::RngExt as _;

use crate::fleet::{self, Fleet, STEP};

/// Exponent of the sizes of the organisations.
const EXPONENT: f64 = 1.2;

/// Allowance as a multiple of the usual demand.
const ALLOWANCE: f64 = 1.6;

const ORGANISATIONS: usize = 80;

/// Requests per second of all organisations.
const DEMAND: f64 = 1200.0;

/// Callers of each organisation; each uses one daemon.
const CALLERS: usize = 20;

/// Demand of a fleet.
struct Load {
    rates: Vec<f64>,
    /// Daemon of each caller.
    callers: Vec<Vec<usize>>,
    /// Multiple of the usual demand, by organisation.
    factors: Vec<f64>,
}

fn organisation(number: usize) -> Organisation {
    Organisation(number as u64 + 1000)
}

impl Load {
    fn new(fleet: &mut Fleet) -> Self {
        let sizes = (1..=ORGANISATIONS).map(|rank| (rank as f64).powf(-EXPONENT));
        let sizes: Vec<_> = sizes.collect();
        let total: f64 = sizes.iter().sum();
        let daemons = fleet.len();
        let mut caller = || fleet.rng.random_range(0..daemons);
        Self {
            rates: sizes.iter().map(|size| DEMAND * size / total).collect(),
            callers: (0..ORGANISATIONS)
                .map(|_| (0..CALLERS).map(|_| caller()).collect())
                .collect(),
            factors: vec![1.0; ORGANISATIONS],
        }
    }

    fn limit(&self, number: usize) -> Limit {
        let rate = (self.rates[number] * ALLOWANCE).max(1.0);
        Limit { rate, burst: rate }
    }

    /// Sends the requests of one step.
    fn send(&self, fleet: &mut Fleet) {
        for number in 0..ORGANISATIONS {
            let mut expected = self.rates[number] * self.factors[number] * STEP.as_secs_f64();
            while expected > 0.0 {
                if fleet.rng.random::<f64>() < expected {
                    let caller = fleet.rng.random_range(0..CALLERS);
                    let vm = self.callers[number][caller];
                    fleet.request(vm, organisation(number), self.limit(number));
                }
                expected -= 1.0;
            }
        }
    }

    fn run(&self, fleet: &mut Fleet, duration: Duration) {
        let end = fleet.now + duration;
        while fleet.now < end {
            fleet.step();
            self.send(fleet);
        }
    }

    /// Share of the requests within the allowance that were admitted, of all organisations.
    fn admitted_share(&self, fleet: &Fleet, duration: Duration) -> f64 {
        let (mut admitted, mut owed) = (0.0, 0.0);
        for number in 0..ORGANISATIONS {
            let counts = fleet.counts.get(&organisation(number));
            let counts = counts.copied().unwrap_or_default();
            let limit = self.limit(number);
            let within = limit.rate * duration.as_secs_f64() + limit.burst;
            let asked = f64::from(counts.admitted + counts.refused).min(within);
            owed += asked;
            admitted += f64::from(counts.admitted).min(asked);
        }
        admitted / owed
    }

    fn assert_never_over(&self, fleet: &mut Fleet) {
        for number in 0..ORGANISATIONS {
            let largest = fleet.largest_window(organisation(number));
            let allowed = fleet::allowed(self.limit(number));
            assert!(
                largest as f64 <= allowed,
                "organisation {number}: {largest} in a window, {allowed:.0} allowed"
            );
        }
    }
}

/// A fleet that has run for ten seconds without requests, and its load.
fn start(daemons: usize, seed: u64) -> (Fleet, Load) {
    let mut fleet = Fleet::new(daemons, seed);
    fleet.run(Duration::from_secs(10));
    let load = Load::new(&mut fleet);
    (fleet, load)
}

fn calm(daemons: usize) {
    for seed in 1..=3 {
        let (mut fleet, load) = start(daemons, seed);
        let duration = Duration::from_secs(20);

        load.run(&mut fleet, duration);

        let share = load.admitted_share(&fleet, duration);
        assert!(share >= 0.995, "seed {seed}: {share:.4}");
        load.assert_never_over(&mut fleet);
    }
}

fn one_organisation_at_eleven_times_its_usual(daemons: usize) {
    for seed in 1..=3 {
        let (mut fleet, mut load) = start(daemons, seed);
        let duration = Duration::from_secs(20);

        load.run(&mut fleet, duration / 4);
        load.factors[2] = 11.0;
        load.run(&mut fleet, duration / 2);
        load.factors[2] = 1.0;
        load.run(&mut fleet, duration / 4);

        let share = load.admitted_share(&fleet, duration);
        assert!(share >= 0.97, "seed {seed}: {share:.4}");
        load.assert_never_over(&mut fleet);
    }
}

fn rolling_stops_of_a_third(daemons: usize) {
    for seed in 1..=3 {
        let (mut fleet, load) = start(daemons, seed);
        let duration = Duration::from_secs(20);
        let stopped = daemons / 3;
        let interval = duration / u32::try_from(stopped + 1).expect("few daemons");

        for vm in 0..stopped {
            load.run(&mut fleet, interval / 2);
            fleet.stop(vm);
            fleet.announce_holders();
            load.run(&mut fleet, interval / 2);
            fleet.start(vm);
            fleet.announce_holders();
        }
        load.run(&mut fleet, interval);

        let share = load.admitted_share(&fleet, duration);
        assert!(share >= 0.95, "seed {seed}: {share:.4}");
        load.assert_never_over(&mut fleet);
    }
}

/// Guards against requests within the allowance that are refused by a daemon with too small a part.
#[test]
fn calm_requests_pass_at_6_daemons() {
    calm(6);
}

/// As above, with twice as many daemons.
#[test]
fn calm_requests_pass_at_12_daemons() {
    calm(12);
}

/// As above, with more daemons than callers of an organisation.
#[test]
fn calm_requests_pass_at_111_daemons() {
    calm(111);
}

/// Guards against an organisation at eleven times its usual that takes the room of others, or of its
/// own callers at daemons with less demand.
#[test]
fn requests_pass_while_one_organisation_floods_6_daemons() {
    one_organisation_at_eleven_times_its_usual(6);
}

/// As above, with twice as many daemons.
#[test]
fn requests_pass_while_one_organisation_floods_12_daemons() {
    one_organisation_at_eleven_times_its_usual(12);
}

/// As above, with more daemons than callers of an organisation.
#[test]
fn requests_pass_while_one_organisation_floods_111_daemons() {
    one_organisation_at_eleven_times_its_usual(111);
}

/// Guards against parts that are lost with the daemons that stop.
#[test]
fn requests_pass_during_rolling_stops_of_12_daemons() {
    rolling_stops_of_a_third(12);
}

/// As above, with more daemons than callers of an organisation.
#[test]
fn requests_pass_during_rolling_stops_of_111_daemons() {
    rolling_stops_of_a_third(111);
}
