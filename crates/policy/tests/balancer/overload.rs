//! Overload: goodput stays high because excess requests are refused at once, whereas the naive
//! baseline lets every request wait.

use std::time::Duration;

use monsooncart_policy::balancer::Config;
use monsooncart_policy::naive::Naive;
use monsooncart_policy::slots::Strategy;
use strum::IntoEnumIterator;

use crate::simulation::{self, Outcome, Plan};

/// Six servers with two slots each and a mean time of 22 ms per request serve about 540 requests
/// per second.
fn plan(seed: u64, rate: fn(f64) -> f64) -> Plan {
    let mut plan = simulation::plan(seed);
    plan.rate = rate;
    plan.duration = Duration::from_secs(20);
    plan
}

fn goodput(outcome: &Outcome) -> u32 {
    outcome.requests - outcome.harmed
}

fn balancer(plan: &Plan, strategy: Strategy) -> Outcome {
    let config = Config::new(plan.seed).strategy(strategy);
    simulation::run(plan, Box::new(config.build()))
}

fn naive(plan: &Plan) -> Outcome {
    let mut plan = plan.clone();
    plan.strict = false;
    simulation::run(&plan, Box::new(Naive::new()))
}

#[test]
fn goodput_holds_at_three_times_the_capacity() {
    for strategy in Strategy::iter() {
        for seed in 0..3 {
            let full = goodput(&balancer(&plan(seed, |_| 540.0), strategy));
            let over = balancer(&plan(seed, |_| 1620.0), strategy);
            let naive = goodput(&naive(&plan(seed, |_| 1620.0)));

            println!(
                "{strategy}: goodput {full} at full load, {} at three times, {} refused; naive {naive}",
                goodput(&over),
                over.refused
            );
            assert!(
                f64::from(goodput(&over)) >= 0.9 * f64::from(full),
                "seed {seed}"
            );
            assert!(naive < goodput(&over), "seed {seed}");
            assert_eq!(over.ejections, [], "seed {seed}");
        }
    }
}
