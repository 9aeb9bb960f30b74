//! Search for requests that crash servers without being recognised, and for others that are refused for
//! it, over loads, servers, daemons and kinds of requests.

mod fleet;
mod plan;

use std::time::Duration;

use fleet::Fleet;
use plan::Plan;

/// Time after the third crash from which retries count (`stability_window_s`).
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Retries that may reach servers after that (RULES.md, BUDGET).
const MAX_LATE_RETRIES: usize = 3;

/// Seeds in CI; `POISON_SEEDS=FIRST-LAST` has others played.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=60;

fn seeds() -> std::ops::RangeInclusive<u64> {
    let Ok(text) = std::env::var("POISON_SEEDS") else {
        return SEEDS;
    };
    let (first, last) = text.split_once('-').expect("FIRST-LAST");
    first.parse().expect("a seed")..=last.parse().expect("a seed")
}

/// Retries of each request that crashes servers which were sent late and reached servers.
fn late_retries(result: &fleet::Result) -> Vec<usize> {
    let late = |poison: &fleet::Poison| {
        let third = poison.crashes.get(2);
        third.map_or(0, |third| {
            let limit = *third + STABILITY_WINDOW;
            poison.sent.iter().filter(|at| **at > limit).count()
        })
    };
    result.poisons.values().map(late).collect()
}

/// Plays the plans of all seeds, and returns the seeds with a fault.
fn search(draw: fn(u64) -> Plan) -> Vec<u64> {
    let mut faults = Vec::new();
    for seed in seeds() {
        let plan = draw(seed);
        let result = Fleet::new(plan.clone()).run();
        let late = late_retries(&result);
        let is_late = late.iter().any(|late| *late > MAX_LATE_RETRIES);
        if std::env::var("POISON_SEEDS").is_ok() || is_late || result.innocent_refused > 0 {
            let crashes: Vec<_> = result.poisons.values().map(|p| p.crashes.len()).collect();
            println!(
                "{plan:?}: crashes {crashes:?}, late {late:?}, innocent refused {}, answered {}, probes {} of crashes and {} of the path, reports {}",
                result.innocent_refused,
                result.answered,
                result.crash_probes,
                result.path_probes,
                result.reports,
            );
        }
        if is_late || result.innocent_refused > 0 {
            faults.push(seed);
        }
    }
    faults
}

/// Guards against requests that crash servers on and on, as another request is blamed or none (BUDGET),
/// and against others that are refused since they were in flight at crashes.
#[test]
fn requests_that_crash_servers_are_refused_in_the_end_and_no_others() {
    let faults = search(Plan::draw);

    assert!(faults.is_empty(), "seeds with a fault: {faults:?}");
}

/// Guards against the same in services with few servers, with servers that keep their ids or are back soon,
/// and with crashes that no request causes.
#[test]
fn requests_that_crash_the_servers_of_small_services_are_refused_in_the_end_and_no_others() {
    let faults = search(Plan::draw_small);

    assert!(faults.is_empty(), "seeds with a fault: {faults:?}");
}
