//! Guarantee: a server that is leaving receives no new work after a few seconds.

use std::time::{Duration, Instant};

use monsooncart_testbed::{backend::mode, fault::rule, platform};

use crate::fixture::fleet;

/// Time after which a leaving server receives no new work.
const GRACE_TIME: Duration = Duration::from_secs(5);

/// Duration of the load after the grace time.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

async fn send_load(fleet: &fleet::Fleet, daemons: &[usize], load_time: Duration) {
    let start = Instant::now();
    while start.elapsed() < load_time {
        for daemon in daemons {
            let _ignored = fleet.daemons[*daemon].get("/wiredesk/item").await;
        }
    }
}

/// Has a server report to daemon 0 alone that it is leaving, and returns the number of requests
/// from all daemons that it starts after the grace time.
async fn count_starts_after_grace(fleet: &fleet::Fleet) -> u64 {
    let leaving = mode::Mode {
        leaving: true,
        ..mode::Mode::default()
    };
    fleet.backends[0].set_mode(leaving).await;
    send_load(fleet, &[0], GRACE_TIME).await;
    let before = fleet.backends[0].fetch_starts().await.count;
    send_load(fleet, &[0, 1, 2], OBSERVATION_TIME).await;
    fleet.backends[0].fetch_starts().await.count - before
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_receives_no_work_in_a_platform_outage() {
    let plan = fleet::Plan::new(3, fleet::Service::new("wiredesk", 3));
    let fleet = fleet::Fleet::start(plan).await;
    let faults = platform::Faults {
        outage: platform::Outage::Silent,
        ..platform::Faults::default()
    };
    fleet.set_platform_faults(&faults).await;

    let started = count_starts_after_grace(&fleet).await;

    assert_eq!(started, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_receives_no_work_under_one_way_partitions() {
    let mut plan = fleet::Plan::new(3, fleet::Service::new("wiredesk", 3));
    plan.has_fault_proxy = true;
    let fleet = fleet::Fleet::start(plan).await;
    // Daemon 1 receives nothing from daemon 0, which knows that the server is leaving.
    let rule = rule::Rule::one_way(rule::Direction::ToTarget, rule::Fault::Cut);
    fleet
        .set_link_rules(1, &[rule.for_source(fleet.daemons[0].ip)])
        .await;

    let started = count_starts_after_grace(&fleet).await;

    assert_eq!(started, 0);
}
