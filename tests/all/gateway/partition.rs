//! Daemons that are partitioned from all servers, while callers, the store and other daemons reach them.

use std::time::{Duration, Instant};

use monsooncart_testbed::fault::{link, rule};

use crate::fixture::gateway::Gateway;

/// Time after the start of a partition from which its daemons must serve their callers.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Requests sent to each partitioned daemon after that.
const COUNTED_REQUESTS: usize = 40;

/// Sends a repeatable or an unrepeatable request by turns; returns whether it was served.
async fn is_served(gateway: &Gateway, daemon: usize, number: usize, id: &str) -> bool {
    let (method, path) = [("GET", "/read/x"), ("POST", "/buy/x")][number % 2];
    let reply = gateway.daemons[daemon].send(method, path, id).await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Partitions two of three daemons and checks that their callers are served through the third one.
async fn assert_partitioned_daemons_serve(fault: rule::Fault) {
    let gateway = Gateway::start(3, 3).await;
    let partitioned = [0, 1];
    gateway.partition(&partitioned, fault);
    if fault == rule::Fault::Refuse {
        let reset = |link: &std::sync::Arc<link::Link>| link.end(rule::End::Reset);
        gateway.links.iter().for_each(reset);
    }
    let partitioned_at = Instant::now();
    let mut number = 0;
    while partitioned_at.elapsed() < STABILITY_WINDOW {
        for daemon in 0..gateway.daemons.len() {
            number += 1;
            is_served(&gateway, daemon, number, &format!("before-{number}")).await;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }

    for number in 0..COUNTED_REQUESTS {
        for daemon in partitioned {
            let id = format!("counted-{daemon}-{number}");
            assert!(is_served(&gateway, daemon, number, &id).await, "{id}");
            assert_eq!(gateway.executions(&id), 1, "{id}");
        }
    }
}

/// Guards against callers that are refused at daemons whose connections to all servers hang (RECOVER).
#[tokio::test(flavor = "multi_thread")]
async fn daemons_whose_connections_to_all_servers_hang_serve_their_callers() {
    assert_partitioned_daemons_serve(rule::Fault::Cut).await;
}

/// Guards against callers that are refused at daemons whose connections to all servers are reset
/// (RECOVER).
#[tokio::test(flavor = "multi_thread")]
async fn daemons_whose_connections_to_all_servers_are_reset_serve_their_callers() {
    assert_partitioned_daemons_serve(rule::Fault::Refuse).await;
}
