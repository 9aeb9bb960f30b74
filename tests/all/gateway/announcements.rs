//! Servers that announce something about themselves in their responses.

use std::time::{Duration, Instant};

use monsooncart_testbed::{registry, worker};

use crate::fixture::gateway::Gateway;
use crate::fixture::wait;

/// Guards against servers that announce a rate limit and receive more requests than that.
#[tokio::test(flavor = "multi_thread")]
async fn server_that_announces_a_rate_limit_receives_no_more_from_all_daemons_together() {
    const LIMIT: f64 = 1.0;
    /// Time after which the limit holds.
    const STABILITY_WINDOW: Duration = Duration::from_secs(3);
    const COUNTED_WINDOW: Duration = Duration::from_secs(4);
    /// Requests in a counted window beyond one and a half times the limit.
    const SLACK: f64 = 5.0;
    let gateway = Gateway::start(3, 3).await;
    gateway.servers[0].set_rate_limit(Some(LIMIT));
    let announced_at = Instant::now();

    let mut number = 0;
    while announced_at.elapsed() < STABILITY_WINDOW + 2 * COUNTED_WINDOW {
        for daemon in &gateway.daemons {
            number += 1;
            let method_and_path = [("GET", "/read/x"), ("POST", "/buy/x")][number % 2];
            let id = format!("limit-{number}");
            let reply = daemon.send(method_and_path.0, method_and_path.1, &id).await;
            assert_eq!(reply.expect("response").status, 200);
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }

    let mut arrivals = gateway.servers[0].arrivals();
    arrivals.retain(|at| *at >= announced_at + STABILITY_WINDOW);
    let in_window_from = |start: &Instant| {
        let in_window = |at: &&Instant| **at >= *start && **at - *start < COUNTED_WINDOW;
        arrivals.iter().filter(in_window).count()
    };
    let most = arrivals.iter().map(in_window_from).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT * COUNTED_WINDOW.as_secs_f64() + SLACK;
    assert!(most as f64 <= allowed, "{most} requests, {allowed} allowed");
}

/// Guards against requests to a server that has announced in a response that it is leaving (DRAIN).
#[tokio::test(flavor = "multi_thread")]
async fn server_that_announces_its_leaving_in_a_response_receives_no_work() {
    let gateway = Gateway::start(3, 3).await;
    gateway.servers[0].announce_leaving();
    wait::until("it has responded to a request", || async {
        let before = gateway.executions_by(0);
        for daemon in &gateway.daemons {
            let reply = daemon.send("GET", "/read/x", "announced").await;
            assert_eq!(reply.expect("response").status, 200);
        }
        gateway.executions_by(0) > before
    })
    .await;
    // The platform does not know of it, nor does it respond.
    gateway.register(0, "ready");
    gateway.registry.set_fault(registry::Fault::Busy);
    tokio::time::sleep(Gateway::PROPAGATION_TIME).await;
    let before = gateway.executions_by(0);

    for number in 0..60 {
        let daemon = &gateway.daemons[number % 3];
        let reply = daemon.send("GET", "/read/x", &format!("l{number}")).await;
        assert_eq!(reply.expect("response").status, 200);
    }

    assert_eq!(gateway.executions_by(0), before);
}

/// Guards against requests to a server within the time for which it asked to be sent nothing (BUDGET).
#[tokio::test(flavor = "multi_thread")]
async fn server_that_asks_for_a_pause_receives_one_request_of_each_daemon() {
    let gateway = Gateway::start(3, 3).await;
    gateway.servers[0].set_mode(worker::Mode::Sheds);
    gateway.servers[0].set_retry_after(Some(600.5));
    let before = gateway.servers[0].arrivals().len();

    for number in 0..90 {
        let daemon = &gateway.daemons[number % 3];
        let reply = daemon.send("GET", "/read/x", &format!("p{number}")).await;
        assert_eq!(reply.expect("response").status, 200);
    }

    let received = gateway.servers[0].arrivals().len() - before;
    assert!(received <= gateway.daemons.len(), "{received} requests");
}

/// Guards against a server that has left and is in use again at a daemon that was restarted.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemon_sends_no_work_to_a_server_that_announced_its_leaving_to_others() {
    let mut gateway = Gateway::start(3, 3).await;
    gateway.servers[0].announce_leaving();
    wait::until("it has responded to a request", || async {
        let before = gateway.executions_by(0);
        for daemon in &gateway.daemons {
            let reply = daemon.send("GET", "/read/x", "announced").await;
            assert_eq!(reply.expect("response").status, 200);
        }
        gateway.executions_by(0) > before
    })
    .await;
    tokio::time::sleep(Gateway::PROPAGATION_TIME).await;

    gateway.daemons[2].kill_and_restart();
    wait::until("the daemon serves again", || async {
        let reply = gateway.daemons[2].readiness_status().await;
        reply == Some(200)
    })
    .await;
    tokio::time::sleep(Gateway::PROPAGATION_TIME).await;
    let before = gateway.executions_by(0);
    for number in 0..60 {
        let id = format!("k{number}");
        let reply = gateway.daemons[2].send("GET", "/read/x", &id);
        assert_eq!(reply.await.expect("response").status, 200);
    }

    assert_eq!(gateway.executions_by(0), before);
}
