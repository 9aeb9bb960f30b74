//! Daemons on the users' platform, where servers register themselves and callers use a directory.

mod announcements;
mod organisations;
mod partition;
mod poison;
mod severed;
mod stopping;
mod store_epochs;

use std::time::{Duration, Instant};

use monsooncart_testbed::{registry, worker};
use rustix::process::Signal;
use serde_json::json;

use crate::fixture::gateway::{self, Gateway};
use crate::fixture::{process, wait};

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_forwarded_unchanged_to_a_registered_server() {
    let gateway = Gateway::start(2, 2).await;

    let reply = gateway.daemons[1]
        .send("GET", "/read/x?y=1", "a1")
        .await
        .expect("response");

    assert_eq!(
        (reply.status, &reply.body[..]),
        (200, worker::BODY.as_bytes())
    );
    assert_eq!(reply.header("x-server-seal"), "s");
    assert_eq!(gateway.executions("a1"), 1);
    let heads = gateway.servers.iter().flat_map(|s| s.heads());
    let head = heads
        .into_iter()
        .find(|head| head.contains("a1"))
        .expect("a server received the request");
    assert!(head.starts_with("GET /read/x?y=1 HTTP/1.1"), "{head}");
    assert!(head.contains("x-expect-instance: i-"), "{head}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_get_404_and_new_ones_apply_on_every_daemon() {
    let gateway = Gateway::start(3, 2).await;
    let missing = gateway.daemons[0]
        .send("GET", "/new/x", "m1")
        .await
        .expect("response");

    gateway.add_route("/new/").await;

    assert_eq!(missing.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn unreadable_entries_affect_no_other_entry() {
    let gateway = Gateway::start(1, 2).await;
    for (name, entry) in [
        ("i-text", json!("not an entry")),
        ("i-null", json!(null)),
        (
            "i-state",
            json!({"address": "127.0.0.1:1", "born": 1, "info": {}, "status": {}}),
        ),
        ("bad name!", json!({"address": 7})),
    ] {
        gateway.registry.put("servers", name, &entry);
    }
    gateway.registry.compact();
    tokio::time::sleep(Gateway::PROPAGATION_TIME).await;

    for number in 0..20 {
        let id = format!("e{number}");
        let reply = gateway.daemons[0]
            .send("GET", "/read/x", &id)
            .await
            .expect("response");
        assert_eq!(reply.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_server_receives_no_work_after_the_store_lost_its_history() {
    let gateway = Gateway::start(3, 3).await;
    gateway.register(0, "draining");
    gateway.registry.compact();
    tokio::time::sleep(Gateway::PROPAGATION_TIME).await;
    let before = gateway.executions_by(0);

    for number in 0..60 {
        let daemon = &gateway.daemons[number % 3];
        let reply = daemon.send("GET", "/read/x", &format!("d{number}")).await;
        assert_eq!(reply.expect("response").status, 200);
    }

    assert_eq!(gateway.executions_by(0), before);
}

/// Guards against requests to a server that was removed just after the store cut off the watches
/// (DRAIN).
#[tokio::test(flavor = "multi_thread")]
async fn removed_server_receives_no_work_after_the_store_cut_off_the_watches() {
    let gateway = Gateway::start(1, 3).await;
    // A daemon that knows no other one waits for some time before it watches.
    tokio::time::sleep(Duration::from_secs(3)).await;
    gateway.reset_store_connections();
    tokio::time::sleep(Duration::from_millis(100)).await;
    gateway.registry.delete("servers", gateway.servers[0].id());
    tokio::time::sleep(Gateway::PROPAGATION_TIME).await;
    let before = gateway.executions_by(0);

    for number in 0..60 {
        let daemon = &gateway.daemons[0];
        let reply = daemon.send("GET", "/read/x", &format!("d{number}")).await;
        assert_eq!(reply.expect("response").status, 200);
    }

    assert_eq!(gateway.executions_by(0), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_requests_run_at_most_once_and_rejected_ones_never() {
    let gateway = Gateway::start(2, 3).await;
    let modes = [
        worker::Mode::Reset,
        worker::Mode::Sheds,
        worker::Mode::Cut,
        worker::Mode::Foreign,
        worker::Mode::Errors,
        worker::Mode::Misdirected,
        worker::Mode::Extra,
    ];
    for (round, mode) in modes.into_iter().enumerate() {
        // Two servers fail, each in a different way; the third one is healthy.
        gateway.servers[0].set_mode(mode);
        gateway.servers[1].set_mode(modes[(round + 1) % modes.len()]);
        for number in 0..12 {
            let id = format!("u{round}-{number}");
            let reply = gateway.daemons[number % 2]
                .send("POST", "/buy/x", &id)
                .await;

            let executions = gateway.executions(&id);
            assert!(
                executions <= 1,
                "{mode:?}: {id} was executed {executions} times"
            );
            let status = reply.expect("a response, not a broken connection").status;
            if [408, 421, 429, 503].contains(&status) {
                assert_eq!(
                    executions, 0,
                    "{mode:?}: {id} got {status} and was executed"
                );
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeatable_requests_succeed_while_one_server_fails() {
    let gateway = Gateway::start(1, 3).await;
    for mode in [
        worker::Mode::Errors,
        worker::Mode::Reset,
        worker::Mode::Cut,
        worker::Mode::Foreign,
        worker::Mode::Unframed,
        worker::Mode::Sheds,
    ] {
        gateway.servers[0].set_mode(mode);
        for number in 0..15 {
            let id = format!("r{mode:?}{number}");
            let reply = gateway.daemons[0]
                .send("GET", "/read/x", &id)
                .await
                .expect("response");
            assert_eq!(reply.status, 200, "{mode:?}");
            assert_eq!(&reply.body[..], worker::BODY.as_bytes(), "{mode:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_in_a_store_outage_and_expired_entries_are_removed_after_it() {
    let gateway = Gateway::start(2, 2).await;
    gateway.registry.set_fault(registry::Fault::Busy);
    gateway.registry.delete("servers", gateway.servers[0].id());
    gateway.registry.delete("servers", gateway.servers[1].id());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let during_outage = gateway.daemons[0]
        .send("GET", "/read/x", "o1")
        .await
        .expect("response");

    gateway.registry.set_fault(registry::Fault::None);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let after_outage = gateway.daemons[0]
        .send("GET", "/read/x", "o2")
        .await
        .expect("response");
    gateway.register(0, "ready");

    assert_eq!((during_outage.status, after_outage.status), (200, 200));
    wait::until(
        "a server that did not register again is removed",
        || async {
            let before = gateway.executions_by(1);
            for number in 0..10 {
                let id = format!("o3-{number}");
                let reply = gateway.daemons[0].send("GET", "/read/x", &id).await;
                assert_eq!(reply.expect("response").status, 200);
            }
            gateway.executions_by(1) == before
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_that_reloads_its_settings_in_a_store_outage_serves_requests() {
    let mut gateway = Gateway::start(3, 2).await;
    gateway.registry.set_fault(registry::Fault::Silent);
    let last = gateway.daemons.pop().expect("three daemons");
    last.process.signal(Signal::HUP);

    let reply = last.send("GET", "/read/x", "h1").await.expect("response");

    assert_eq!(reply.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn hangup_signal_aborts_no_request() {
    let mut gateway = Gateway::start(1, 1).await;
    for _ in 0..3 {
        gateway.daemons[0].process.signal(Signal::HUP);
    }

    let reply = gateway.daemons[0]
        .send("GET", "/read/x", "g1")
        .await
        .expect("response");

    assert_eq!(reply.status, 200);
    // The signals may be handled after the request.
    wait::until("the settings are read again", || async {
        let log = gateway.daemons[0].process.log();
        log.contains("settings read again")
    })
    .await;
    let later = gateway.daemons[0].send("GET", "/read/x", "g2").await;
    assert_eq!(later.expect("response").status, 200);
    assert!(gateway.daemons[0].process.is_running());
}

#[tokio::test(flavor = "multi_thread")]
async fn request_past_its_timeout_gets_504_without_waiting_for_the_server() {
    let gateway = Gateway::start(1, 1).await;
    gateway.servers[0].set_delay(Duration::from_secs(30));
    let start = Instant::now();

    let reply = gateway.daemons[0]
        .send("POST", "/buy/x", "t1")
        .await
        .expect("response");

    assert_eq!(reply.status, 504);
    // The route's timeout is 3 s; the wide bound only excludes a wait for the server's 30 s delay.
    assert!(start.elapsed() < wait::TIMEOUT / 2);
}

/// Output of `explain log` for a request that daemon 0 has logged.
async fn explain_logged(gateway: &Gateway, id: &str) -> String {
    let logged = format!("request={id} ");
    wait::until("the request is logged", || async {
        gateway.daemons[0].process.log().contains(&logged)
    })
    .await;
    let name = format!("monsooncart-{id}-{}.log", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, gateway.daemons[0].process.log()).expect("log can be written");
    let path_text = path.to_string_lossy().into_owned();
    let arguments = ["explain", "log", "--request", id, &path_text];
    let (code, out, error) = process::run_to_exit(&process::monsooncart(), &arguments);
    // A file left behind in the temporary directory is harmless.
    let _ignored = std::fs::remove_file(path);
    assert_eq!(code, Some(0), "{error}");
    out
}

#[tokio::test(flavor = "multi_thread")]
async fn log_explains_the_lost_response_of_an_unrepeatable_request() {
    let gateway = Gateway::start(1, 1).await;
    gateway.servers[0].set_mode(worker::Mode::Reset);

    let reply = gateway.daemons[0].send("POST", "/buy/x", "why-lost").await;

    assert_eq!(reply.expect("response").status, 502);
    let out = explain_logged(&gateway, "why-lost").await;
    assert!(
        out.contains("refusal=unknown") && out.contains("run=unknown"),
        "{out}"
    );
    assert!(out.contains("i-0000@") && out.contains(":broken("), "{out}");
}

#[tokio::test(flavor = "multi_thread")]
async fn log_explains_a_rejection_by_servers_without_capacity() {
    let gateway = Gateway::start(1, 2).await;
    gateway
        .servers
        .iter()
        .for_each(|s| s.set_mode(worker::Mode::Sheds));

    let reply = gateway.daemons[0]
        .send("POST", "/buy/x", "why-refused")
        .await;

    let reply = reply.expect("response");
    assert_eq!(reply.status, 503);
    assert_ne!(reply.header("retry-after"), "");
    let out = explain_logged(&gateway, "why-refused").await;
    assert!(
        out.contains("refusal=overload") && out.contains("run=not-run"),
        "{out}"
    );
    assert_eq!(out.matches(":shed(").count(), 2, "{out}");
}

#[tokio::test(flavor = "multi_thread")]
async fn log_explains_a_misdirected_request() {
    let gateway = Gateway::start(1, 1).await;
    gateway.servers[0].set_mode(worker::Mode::Misdirected);

    let reply = gateway.daemons[0]
        .send("POST", "/buy/x", "why-another")
        .await;

    assert_eq!(reply.expect("response").status, 503);
    let out = explain_logged(&gateway, "why-another").await;
    assert!(out.contains(":misdirected("), "{out}");
    let log = gateway.daemons[0].process.log();
    assert!(log.contains("turn=replaced"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_standard_output_delays_no_request() {
    let gateway = Gateway::start(1, 1).await;
    gateway.daemons[0].process.stall_output();
    let mut statuses = Vec::new();

    // More lines than fit into the log queue and the pipe.
    for number in 0..6000 {
        let reply = gateway.daemons[0]
            .send("GET", "/none", &format!("stall-{number}"))
            .await;
        statuses.push(reply.expect("response").status);
    }

    assert!(statuses.iter().all(|status| *status == 404));
    let reply = gateway.daemons[0].send("GET", "/read/x", "after").await;
    assert_eq!(reply.expect("response").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn error_withheld_for_a_retry_reaches_the_caller_before_its_deadline() {
    let gateway = Gateway::start(1, 2).await;
    let mut route = gateway::route("/pull/", "download", gateway::SERVICE);
    route["action"] = json!({"backend": gateway::SERVICE, "attempts": 2});
    let mut rules = gateway::rules();
    rules.push(route);
    gateway
        .registry
        .put("config", "main", &gateway::configuration(5, &rules));
    wait::until("new route is in force", || async {
        let reply = gateway.daemons[0].send("GET", "/pull/x", "first").await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
    // One server stops responding and the other one fails.
    gateway.servers[0].set_delay(Duration::from_secs(60));
    gateway.servers[1].set_mode(worker::Mode::Errors);
    // The deadline that the fixture sends with each request.
    let deadline = Duration::from_millis(4000);

    for number in 0..4 {
        let id = format!("held-{number}");
        let send = gateway.daemons[0].send("GET", "/pull/x", &id);
        let reply = tokio::time::timeout(deadline, send).await;

        let reply = reply.expect("a response before the deadline");
        let status = reply.expect("a complete response").status;
        assert!(status >= 500, "{status}");
    }
}
