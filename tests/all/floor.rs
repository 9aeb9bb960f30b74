//! Guarantee: ejections never take a service below its floor, counted over the whole fleet.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use monsooncart_testbed::{backend::mode, fault::rule, platform};

use crate::fixture::{fleet, wait};

/// Duration of the load once the servers are unhealthy.
const LOAD_TIME: Duration = Duration::from_secs(12);

/// Number of servers of the service; each has two slots.
const SERVERS: usize = 10;

/// Number of servers that the floor allows to be ejected at the same time.
const EJECTABLE: usize = 2;

/// Number of unhealthy servers: more than may be ejected, and fewer than half, because no server is
/// ejected when the whole service is unhealthy.
const UNHEALTHY: usize = 4;

fn plan(has_fault_proxy: bool) -> fleet::Plan {
    let mut plan = fleet::Plan::new(3, fleet::Service::new("wiredesk", SERVERS));
    plan.services[0].floor = "80%";
    plan.has_fault_proxy = has_fault_proxy;
    plan
}

fn error_mode() -> mode::Mode {
    mode::Mode {
        errors: 1.0,
        ..mode::Mode::default()
    }
}

/// Servers that any daemon reports as ejected, or as returning with a growing share of the load.
async fn ejected_servers(fleet: &fleet::Fleet) -> BTreeSet<String> {
    servers_in_states(fleet, &["ejected", "returning"]).await
}

/// Servers that any daemon reports in one of these states.
async fn servers_in_states(fleet: &fleet::Fleet, states: &[&str]) -> BTreeSet<String> {
    let mut all = BTreeSet::new();
    for daemon in &fleet.daemons {
        let status = daemon.fetch_status().await;
        let servers = status["services"]["wiredesk"].as_array().cloned();
        for server in servers.unwrap_or_default() {
            let state = server["state"].as_str().unwrap_or_default();
            if states.contains(&state) {
                all.extend(server["name"].as_str().map(str::to_owned));
            }
        }
    }
    all
}

/// Sends load through all daemons for `load_time`, and returns the largest number of servers that
/// were out of service at the same time, counted over the whole fleet.
async fn measure_max_ejected(fleet: &fleet::Fleet, load_time: Duration) -> usize {
    let start = Instant::now();
    let load = async {
        let mut number = 0;
        while start.elapsed() < load_time {
            let sends = (0..12).map(|n| {
                let path = format!("/wiredesk/item/{}", number + n);
                let daemon = &fleet.daemons[n % fleet.daemons.len()];
                async move {
                    let _ignored = daemon.get(&path).await;
                }
            });
            futures_util::future::join_all(sends).await;
            number += 12;
        }
    };
    let observe = async {
        let mut max = 0;
        while start.elapsed() < load_time {
            max = max.max(ejected_servers(fleet).await.len());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        max
    };
    tokio::join!(load, observe).1
}

async fn make_servers_unhealthy(fleet: &fleet::Fleet) {
    for backend in fleet.backends.iter().take(UNHEALTHY) {
        backend.set_mode(error_mode()).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unhealthy_server_is_ejected_on_every_daemon() {
    let fleet = fleet::Fleet::start(plan(false)).await;
    fleet.backends[0].set_mode(error_mode()).await;
    let name = &fleet.backends[0].name;

    let load = async {
        loop {
            for daemon in &fleet.daemons {
                let _ignored = daemon.get("/wiredesk/item").await;
            }
        }
    };
    let ejection = wait::until("server is out of service on every daemon", || async {
        let mut states = Vec::new();
        for daemon in &fleet.daemons {
            states.push(daemon.server_state("wiredesk", name).await);
        }
        states.iter().all(|s| s == "ejected" || s == "returning")
    });

    tokio::select! {
        () = load => {}
        () = ejection => {}
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn ejections_stop_at_the_floor() {
    let fleet = fleet::Fleet::start(plan(false)).await;
    make_servers_unhealthy(&fleet).await;

    let max = measure_max_ejected(&fleet, LOAD_TIME).await;

    assert!(max >= 1, "no unhealthy server was ejected");
    assert!(
        max <= EJECTABLE,
        "{max} of {SERVERS} servers were out of service"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn floor_holds_in_a_platform_outage() {
    let fleet = fleet::Fleet::start(plan(false)).await;
    wait::until("daemons hold ejection tokens before the outage", || async {
        let mut free = 0;
        for daemon in &fleet.daemons {
            free += daemon.free_tokens("wiredesk", "wiredesk-01").await;
        }
        free > 0
    })
    .await;
    let faults = platform::Faults {
        outage: platform::Outage::Silent,
        ..platform::Faults::default()
    };
    fleet.set_platform_faults(&faults).await;
    make_servers_unhealthy(&fleet).await;

    let max = measure_max_ejected(&fleet, LOAD_TIME).await;

    assert!(max >= 1, "token holders ejected no server in the outage");
    assert!(
        max <= EJECTABLE,
        "{max} of {SERVERS} servers were out of service"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn floor_holds_with_lost_responses_and_a_killed_token_holder() {
    let mut fleet = fleet::Fleet::start(plan(false)).await;
    let faults = platform::Faults {
        lose_answers: 4,
        ..platform::Faults::default()
    };
    fleet.set_platform_faults(&faults).await;
    make_servers_unhealthy(&fleet).await;

    let max_before_kill = measure_max_ejected(&fleet, LOAD_TIME / 2).await;
    fleet.daemons[2].process.kill();
    fleet.daemons.truncate(2);
    let max_after_kill = measure_max_ejected(&fleet, LOAD_TIME / 2).await;

    assert!(
        max_before_kill.max(max_after_kill) >= 1,
        "no unhealthy server was ejected"
    );
    assert!(
        max_before_kill <= EJECTABLE,
        "{max_before_kill} servers were out of service"
    );
    assert!(
        max_after_kill <= EJECTABLE,
        "{max_after_kill} servers were out of service"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn floor_holds_under_one_way_partitions_and_a_slow_platform() {
    let fleet = fleet::Fleet::start(plan(true)).await;
    let faults = platform::Faults {
        delay_ms: 800,
        ..platform::Faults::default()
    };
    fleet.set_platform_faults(&faults).await;
    // Daemon 0 receives nothing from the others, but they receive its messages.
    let cut = |from: usize| {
        let rule = rule::Rule::one_way(rule::Direction::ToTarget, rule::Fault::Cut);
        rule.for_source(fleet.daemons[from].ip)
    };
    fleet.set_link_rules(0, &[cut(1), cut(2)]).await;
    make_servers_unhealthy(&fleet).await;

    let max = measure_max_ejected(&fleet, LOAD_TIME).await;

    assert!(max >= 1, "no unhealthy server was ejected");
    assert!(
        max <= EJECTABLE,
        "{max} of {SERVERS} servers were out of service"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_concurrent_with_ejections_restores_ejected_servers() {
    let fleet = fleet::Fleet::start(plan(false)).await;
    make_servers_unhealthy(&fleet).await;
    let drained = &fleet.backends[SERVERS - 1].name;
    let text = fleet.configuration();
    let entry = format!("\"name\": \"{drained}\",");
    let text = text.replace(&entry, &format!("{entry} \"leaving\": true,"));

    let load = async {
        loop {
            let sends = fleet.daemons.iter().map(|d| d.get("/wiredesk/item"));
            futures_util::future::join_all(sends).await;
        }
    };
    let drain = async {
        wait::until("a server is ejected", || async {
            !ejected_servers(&fleet).await.is_empty()
        })
        .await;
        let (code, out, error) = fleet.apply_text("anna", &text);
        assert_eq!(code, Some(0), "{out}{error}");
        wait::until("the drain is counted against the floor", || async {
            let mut is_leaving_everywhere = true;
            for daemon in &fleet.daemons {
                is_leaving_everywhere &=
                    daemon.server_state("wiredesk", drained).await == "leaving";
            }
            // A restored server is in service again, with a growing share of the load.
            is_leaving_everywhere && servers_in_states(&fleet, &["ejected"]).await.len() < EJECTABLE
        })
        .await;
        let start = Instant::now();
        let mut max = 0;
        while start.elapsed() < LOAD_TIME / 2 {
            max = max.max(servers_in_states(&fleet, &["ejected"]).await.len());
        }
        max
    };
    let max = tokio::select! {
        () = load => unreachable!("load runs until the drain is observed"),
        max = drain => max,
    };

    assert!(
        max < EJECTABLE,
        "{max} servers were ejected besides the drained one"
    );
}
