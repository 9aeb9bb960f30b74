//! Daemons on the users' platform: servers register themselves, callers ask a directory.

use std::time::{Duration, Instant};

use monsooncart_testbed::{registry, worker};
use rustix::process::Signal;
use serde_json::json;

use crate::fixture::gateway::{self, Gateway};
use crate::fixture::{process, until};

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_to_a_registered_server_as_they_came() {
    let gateway = Gateway::start(2, 2).await;

    let reply = gateway.daemons[1]
        .send("GET", "/read/x?y=1", "a1")
        .await
        .expect("answered");

    assert_eq!(
        (reply.status, &reply.body[..]),
        (200, worker::BODY.as_bytes())
    );
    assert_eq!(reply.header("x-server-seal"), "s");
    assert_eq!(gateway.runs("a1"), 1);
    let heads = gateway.workers.iter().flat_map(|w| w.heads());
    let head = heads
        .into_iter()
        .find(|head| head.contains("a1"))
        .expect("arrived");
    assert!(head.starts_with("GET /read/x?y=1 HTTP/1.1"), "{head}");
    assert!(head.contains("x-expect-instance: i-"), "{head}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_routes_get_404_and_new_ones_hold_on_every_daemon() {
    let gateway = Gateway::start(3, 2).await;
    let missing = gateway.daemons[0]
        .send("GET", "/new/x", "m1")
        .await
        .expect("answered");
    let mut rules = gateway::rules();
    rules.push(gateway::rule("/new/", "safe", gateway::SERVICE));

    gateway
        .registry
        .put("config", "main", &gateway::configuration(9, &rules));

    assert_eq!(missing.status, 404);
    for daemon in &gateway.daemons {
        until::holds("new route holds", || async {
            let reply = daemon.send("GET", "/new/x", "m2").await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_cannot_be_read_harm_no_other_entry() {
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
    tokio::time::sleep(Gateway::SPREAD).await;

    for number in 0..20 {
        let id = format!("e{number}");
        let reply = gateway.daemons[0]
            .send("GET", "/read/x", &id)
            .await
            .expect("answered");
        assert_eq!(reply.status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_gets_no_work_even_where_the_history_is_forgotten() {
    let gateway = Gateway::start(3, 3).await;
    gateway.enter(0, "draining");
    gateway.registry.compact();
    tokio::time::sleep(Gateway::SPREAD).await;
    let before = gateway.work(0);

    for number in 0..60 {
        let daemon = &gateway.daemons[number % 3];
        let reply = daemon.send("GET", "/read/x", &format!("d{number}")).await;
        assert_eq!(reply.expect("answered").status, 200);
    }

    assert_eq!(gateway.work(0), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_requests_run_once_at_most_and_refusals_are_true() {
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
        // One server fails in another way than the next.
        gateway.workers[0].set(mode);
        gateway.workers[1].set(modes[(round + 1) % modes.len()]);
        for number in 0..12 {
            let id = format!("u{round}-{number}");
            let reply = gateway.daemons[number % 2]
                .send("POST", "/buy/x", &id)
                .await;

            let runs = gateway.runs(&id);
            assert!(runs <= 1, "{mode:?}: {id} ran {runs} times");
            let status = reply.expect("an answer, not a broken connection").status;
            if [408, 421, 429, 503].contains(&status) {
                assert_eq!(runs, 0, "{mode:?}: {id} got {status} and ran");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeatable_requests_are_answered_whole_while_one_server_fails() {
    let gateway = Gateway::start(1, 3).await;
    for mode in [
        worker::Mode::Errors,
        worker::Mode::Reset,
        worker::Mode::Cut,
        worker::Mode::Foreign,
        worker::Mode::Unframed,
        worker::Mode::Sheds,
    ] {
        gateway.workers[0].set(mode);
        for number in 0..15 {
            let id = format!("r{mode:?}{number}");
            let reply = gateway.daemons[0]
                .send("GET", "/read/x", &id)
                .await
                .expect("answered");
            assert_eq!(reply.status, 200, "{mode:?}");
            assert_eq!(&reply.body[..], worker::BODY.as_bytes(), "{mode:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn with_the_store_away_requests_are_served_and_what_lapsed_comes_back() {
    let gateway = Gateway::start(2, 2).await;
    gateway.registry.set(registry::Fault::Busy);
    gateway.registry.delete("servers", gateway.workers[0].id());
    gateway.registry.delete("servers", gateway.workers[1].id());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let during = gateway.daemons[0]
        .send("GET", "/read/x", "o1")
        .await
        .expect("answered");

    gateway.registry.set(registry::Fault::None);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let lapsed = gateway.daemons[0]
        .send("GET", "/read/x", "o2")
        .await
        .expect("answered");
    gateway.enter(0, "ready");

    assert_eq!((during.status, lapsed.status), (200, 200));
    until::holds(
        "a server that did not come back is taken as gone",
        || async {
            let before = gateway.work(1);
            for number in 0..10 {
                let id = format!("o3-{number}");
                let reply = gateway.daemons[0].send("GET", "/read/x", &id).await;
                assert_eq!(reply.expect("answered").status, 200);
            }
            gateway.work(1) == before
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_loses_the_store_hears_of_changes_by_the_others() {
    // The only store refuses everyone; a daemon that starts now learns all from its peers.
    let mut gateway = Gateway::start(3, 2).await;
    gateway.registry.set(registry::Fault::Silent);
    let last = gateway.daemons.pop().expect("three daemons");
    last.process.signal(Signal::HUP);

    let reply = last.send("GET", "/read/x", "h1").await.expect("answered");

    assert_eq!(reply.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_was_read_and_leaves_the_directory() {
    let mut gateway = Gateway::start(3, 2).await;
    for worker in &gateway.workers {
        worker.delay(Duration::from_millis(1500));
    }
    let mut leaving = gateway.daemons.remove(0);
    let callers = leaving.callers().to_string();
    let flight = async { leaving.send("POST", "/buy/x", "s1").await };
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        leaving.process.signal(Signal::TERM);
        until::holds("stopping daemon is not ready", || async {
            leaving.ready().await == Some(503)
        })
        .await;
    };

    let (reply, ()) = tokio::join!(flight, stop);

    assert_eq!(reply.expect("answered").status, 200);
    until::holds("others name it no more", || async {
        !gateway.daemons[0].resolve().await.contains(&callers)
    })
    .await;
    let status = leaving.process.wait(Duration::from_secs(30));
    assert!(status.success(), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn hangup_ends_nothing() {
    let mut gateway = Gateway::start(1, 1).await;
    for _ in 0..3 {
        gateway.daemons[0].process.signal(Signal::HUP);
    }

    let reply = gateway.daemons[0]
        .send("GET", "/read/x", "g1")
        .await
        .expect("answered");

    assert_eq!(reply.status, 200);
    assert!(gateway.daemons[0].process.runs());
    let log = gateway.daemons[0].process.log();
    assert!(log.contains("settings read again"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_past_its_deadline_is_answered_at_once() {
    let gateway = Gateway::start(1, 1).await;
    gateway.workers[0].delay(Duration::from_secs(30));
    let start = Instant::now();

    let reply = gateway.daemons[0]
        .send("POST", "/buy/x", "t1")
        .await
        .expect("answered");

    assert_eq!(reply.status, 504);
    // The route's time is 3 s; the bound only tells an answer from none.
    assert!(start.elapsed() < until::LIMIT / 2);
}

/// What `explain log` prints of a request that daemon 0 has logged.
async fn explained(gateway: &Gateway, id: &str) -> String {
    let logged = format!("request={id} ");
    until::holds("the request's line is logged", || async {
        gateway.daemons[0].process.log().contains(&logged)
    })
    .await;
    let name = format!("monsooncart-{id}-{}.log", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, gateway.daemons[0].process.log()).expect("log is written");
    let text = path.to_string_lossy().into_owned();
    let arguments = ["explain", "log", "--request", id, &text];
    let (code, out, error) = process::output(&process::monsooncart(), &arguments);
    // A file that is left in the temporary directory does no harm.
    let _left = std::fs::remove_file(path);
    assert_eq!(code, Some(0), "{error}");
    out
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_lead_from_the_id_of_an_unrepeatable_request_to_its_lost_answer() {
    let gateway = Gateway::start(1, 1).await;
    gateway.workers[0].set(worker::Mode::Reset);

    let reply = gateway.daemons[0].send("POST", "/buy/x", "why-lost").await;

    assert_eq!(reply.expect("answered").status, 502);
    let out = explained(&gateway, "why-lost").await;
    assert!(
        out.contains("refusal=unknown") && out.contains("run=unknown"),
        "{out}"
    );
    assert!(out.contains("i-0000@") && out.contains(":broken("), "{out}");
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_lead_from_the_id_of_a_refused_request_to_the_servers_without_room() {
    let gateway = Gateway::start(1, 2).await;
    gateway
        .workers
        .iter()
        .for_each(|w| w.set(worker::Mode::Sheds));

    let reply = gateway.daemons[0]
        .send("POST", "/buy/x", "why-refused")
        .await;

    let reply = reply.expect("answered");
    assert_eq!(reply.status, 503);
    assert_ne!(reply.header("retry-after"), "");
    let out = explained(&gateway, "why-refused").await;
    assert!(
        out.contains("refusal=overload") && out.contains("run=not-run"),
        "{out}"
    );
    assert_eq!(out.matches(":shed(").count(), 2, "{out}");
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_lead_from_the_id_of_a_request_to_the_server_that_was_another() {
    let gateway = Gateway::start(1, 1).await;
    gateway.workers[0].set(worker::Mode::Misdirected);

    let reply = gateway.daemons[0]
        .send("POST", "/buy/x", "why-another")
        .await;

    assert_eq!(reply.expect("answered").status, 503);
    let out = explained(&gateway, "why-another").await;
    assert!(out.contains(":misdirected("), "{out}");
    let log = gateway.daemons[0].process.log();
    assert!(log.contains("turn=replaced"), "{log}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_standard_output_delays_no_request() {
    let gateway = Gateway::start(1, 1).await;
    gateway.daemons[0].process.stall_output();
    let mut statuses = Vec::new();

    // More lines than the queue and the pipe hold.
    for number in 0..6000 {
        let reply = gateway.daemons[0]
            .send("GET", "/none", &format!("stall-{number}"))
            .await;
        statuses.push(reply.expect("answered").status);
    }

    assert!(statuses.iter().all(|status| *status == 404));
    let reply = gateway.daemons[0].send("GET", "/read/x", "after").await;
    assert_eq!(reply.expect("answered").status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_error_that_is_held_reaches_the_caller_before_its_deadline() {
    let gateway = Gateway::start(1, 2).await;
    let mut slow = gateway::rule("/pull/", "download", gateway::SERVICE);
    slow["action"] = json!({"backend": gateway::SERVICE, "attempts": 2});
    let mut rules = gateway::rules();
    rules.push(slow);
    gateway
        .registry
        .put("config", "main", &gateway::configuration(5, &rules));
    until::holds("new route holds", || async {
        let reply = gateway.daemons[0].send("GET", "/pull/x", "first").await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
    // One server falls silent and the other one fails.
    gateway.workers[0].delay(Duration::from_secs(60));
    gateway.workers[1].set(worker::Mode::Errors);
    // The deadline that the fixture's callers state.
    let deadline = Duration::from_millis(4000);

    for number in 0..4 {
        let id = format!("held-{number}");
        let send = gateway.daemons[0].send("GET", "/pull/x", &id);
        let reply = tokio::time::timeout(deadline, send).await;

        let reply = reply.expect("an answer before the caller leaves");
        let status = reply.expect("a whole answer").status;
        assert!(status >= 500, "{status}");
    }
}
