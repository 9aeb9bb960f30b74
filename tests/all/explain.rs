//! Guarantee: operators see the state of the fleet and the evidence behind its decisions.

use std::time::Duration;

use monsooncart_testbed::backend::mode;

use crate::fixture::{daemon, fleet, http, process, wait};

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    process::run_to_exit(&process::monsooncart(), arguments)
}

fn run_json(arguments: &[&str]) -> serde_json::Value {
    let (code, out, error) = run(arguments);
    assert_eq!(code, Some(0), "{arguments:?}: {error}");
    serde_json::from_str(&out).expect("output is JSON")
}

#[tokio::test(flavor = "multi_thread")]
async fn status_through_one_daemon_covers_the_fleet() {
    let plan = fleet::Plan::new(3, fleet::Service::new("wiredesk", 2));
    let fleet = fleet::Fleet::start(plan).await;
    let admin = fleet.daemons[1].admin_address().to_string();

    let status = run_json(&["status", "--json", "--admin", &admin]);
    let (code, table, _) = run(&["status", "--admin", &admin]);

    let daemons = status["daemons"].as_array().cloned().unwrap_or_default();
    assert_eq!(daemons.len(), 3);
    assert!(daemons.iter().all(|d| d["phase"] == "serving"));
    assert_eq!(status["differences"], serde_json::json!([]));
    assert_eq!(code, Some(0));
    assert!(table.contains("entry-00") && table.contains("servers: all active"));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_explained_by_the_daemon_that_served_it() {
    let plan = fleet::Plan::new(2, fleet::Service::new("wiredesk", 2));
    let fleet = fleet::Fleet::start(plan).await;
    let reply = fleet.daemons[0].get("/wiredesk/item").await;
    let reply = reply.expect("response from the daemon");
    let request = reply.header("monsooncart-request").to_owned();
    let admin = fleet.daemons[1].admin_address().to_string();

    let explained = wait::for_value("the request trace is stored", || async {
        let arguments = ["explain", "request", &request, "--json", "--admin", &admin];
        let (code, out, _) = run(&arguments);
        (code == Some(0)).then_some(out)
    })
    .await;
    let explained: serde_json::Value = serde_json::from_str(&explained).expect("output is JSON");
    let (unknown_code, _, error) = run(&["explain", "request", "1", "--admin", &admin]);

    let trace = &explained["entry-00"]["trace"];
    assert_eq!(trace["status"], 200);
    assert_eq!(trace["organisation"], "athens-herald");
    assert_eq!(unknown_code, Some(1));
    assert!(error.contains("none of 2 daemons"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn ejection_is_explained_with_evidence_and_tokens() {
    let plan = fleet::Plan::new(2, fleet::Service::new("wiredesk", 4));
    let fleet = fleet::Fleet::start(plan).await;
    let admin = fleet.daemons[1].admin_address().to_string();
    let errors = mode::Mode {
        errors: 1.0,
        ..mode::Mode::default()
    };
    fleet.backends[0].set_mode(errors).await;
    wait::until("the server is ejected", || async {
        let sends = (0..8).map(|_| fleet.daemons[0].get("/wiredesk/item"));
        futures_util::future::join_all(sends).await;
        fleet.daemons[0]
            .server_state("wiredesk", "wiredesk-01")
            .await
            == "ejected"
    })
    .await;

    let ejection = wait::for_value("the ejection is recorded", || async {
        let arguments = [
            "explain", "ejection", "wiredesk", "--json", "--admin", &admin,
        ];
        let explained = run_json(&arguments);
        (explained["ejected"][0]["server"] == "wiredesk-01").then_some(explained)
    })
    .await;
    let arguments = ["explain", "server", "wiredesk", "wiredesk-01", "--json"];
    let server = run_json(&[&arguments[..], &["--admin", &admin]].concat());
    let (_, table, _) = run(&["status", "--admin", &admin]);

    assert!(
        ejection["ejected"][0]["evidence"]
            .as_str()
            .is_some_and(|e| !e.is_empty())
    );
    assert_eq!(ejection["tokens"]["floor"], 4);
    assert_eq!(ejection["tokens"]["serving"], 6);
    assert!(ejection["decisions"]["entry-00"].is_array(), "{ejection}");
    assert_eq!(server["entry-00"]["view"]["state"], "ejected");
    assert!(table.contains("wiredesk wiredesk-01: ejected"), "{table}");
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_command_stops_a_daemon_and_aborts_no_request() {
    let mut plan = fleet::Plan::new(2, fleet::Service::new("wiredesk", 1));
    plan.services[0].service_time = "20ms";
    let mut fleet = fleet::Fleet::start(plan).await;
    let admin = fleet.daemons[0].admin_address().to_string();
    let address = fleet.daemons[0].caller_address();
    let slow = mode::Mode {
        slow: 100.0,
        ..mode::Mode::default()
    };
    fleet.backends[0].set_mode(slow).await;
    let request = tokio::spawn(async move {
        let headers = [("authorization", daemon::AUTHORIZATION)];
        http::get(address, "/wiredesk/item", &headers).await
    });
    wait::until("the request is in flight", || async {
        fleet.daemons[0].fetch_status().await["in_flight"] == 1
    })
    .await;

    let (code, out, error) = run(&["drain", "--admin", &admin]);
    let reply = request.await.expect("request completes");
    let status = fleet.daemons[0].process.wait(Duration::from_secs(60));

    assert_eq!(code, Some(0), "{error}");
    assert!(
        out.contains("entry-00 drains: 1 requests in flight"),
        "{out}"
    );
    assert_eq!(reply.expect("response from the daemon").status, 200);
    assert!(status.success());
}
