//! The request path over real processes: entry addresses, requests, rejections, planned stop.

use std::time::Duration;

use monsooncart_testbed::backend::pattern;
use rustix::process::Signal;

use crate::fixture::{daemon, fleet, http, wait};

/// Size of the transferred package.
const PACKAGE_BYTES: u64 = 64 << 20;

#[tokio::test(flavor = "multi_thread")]
async fn request_succeeds_through_a_listed_entry_address() {
    let plan = fleet::Plan::new(3, fleet::Service::new("wiredesk", 3));
    let fleet = fleet::Fleet::start(plan).await;

    let entries = fleet.daemons[0].get("/v1/entries?service=wiredesk").await;
    let entries = entries.expect("response from the daemon");
    let address = entries.json()["entries"][0]["address"]
        .as_str()
        .and_then(|a| a.parse().ok());
    let address = address.expect("response lists an address");
    let reply = http::get(
        address,
        "/wiredesk/headlines",
        &[("authorization", daemon::AUTHORIZATION)],
    );
    let reply = reply.await.expect("response from the daemon");

    assert_eq!(entries.header("cache-control"), "max-age=1");
    assert_eq!(entries.json()["entries"].as_array().map(Vec::len), Some(3));
    assert_eq!(reply.status, 200);
    assert!(reply.header("monsooncart-server").starts_with("wiredesk-"));
}

#[tokio::test(flavor = "multi_thread")]
async fn rejections_report_that_the_request_was_not_run() {
    let plan = fleet::Plan::new(1, fleet::Service::new("wiredesk", 1));
    let fleet = fleet::Fleet::start(plan).await;
    let daemon = &fleet.daemons[0];
    let address = daemon.caller_address();

    let unknown_key = http::get(address, "/wiredesk/a", &[("authorization", "Bearer no")]).await;
    let no_key = http::get(address, "/wiredesk/a", &[]).await;
    let unknown_route = daemon.get("/nowhere").await;
    let no_ticket = daemon.post("/wiredesk/purchase", &[], "x").await;

    for (reply, status) in [
        (unknown_key, 401),
        (no_key, 401),
        (unknown_route, 404),
        (no_ticket, 428),
    ] {
        let reply = reply.expect("response from the daemon");
        assert_eq!(reply.status, status);
        assert_eq!(reply.header("monsooncart-outcome"), "not-run");
        assert_eq!(reply.header("content-type"), "application/problem+json");
    }
    assert_eq!(fleet.backends[0].fetch_starts().await.count, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_completes_a_transfer() {
    let plan = fleet::Plan::new(2, fleet::Service::new("mediavault", 2));
    let mut fleet = fleet::Fleet::start(plan).await;
    let path = format!("/mediavault/package?bytes={PACKAGE_BYTES}");
    let address = fleet.daemons[0].caller_address();
    let request = ::http::Request::get(&path)
        .header("host", address.to_string())
        .header("authorization", daemon::AUTHORIZATION)
        .header("x-request-id", "package")
        .body(http_body_util::Full::default())
        .expect("request is valid");

    let response = http::send_streaming(address, request)
        .await
        .expect("response head arrives");
    fleet.daemons[0].process.signal(Signal::TERM);
    wait::until("daemon is draining", || async {
        fleet.daemons[0].fetch_status().await["phase"] == "draining"
    })
    .await;
    let body = http_body_util::BodyExt::collect(response.into_body()).await;
    let status = fleet.daemons[0].process.wait(Duration::from_secs(60));

    let body = body.expect("complete body").to_bytes();
    assert_eq!(body.len() as u64, PACKAGE_BYTES);
    assert!(pattern::Pattern::new("package").matches(0, &body));
    assert!(status.success());
}
