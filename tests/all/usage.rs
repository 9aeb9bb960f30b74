//! Guarantee: every request is accounted for exactly once, even if a response of the store is lost
//! or a daemon is stopped as planned; a crash loses only what was counted after the last copy that
//! a peer stored.

use monsooncart_testbed::platform;
use rustix::process::Signal;

use crate::fixture::{fleet, process, wait};

/// Number of requests that a call of [`send_requests`] sends.
const REQUESTS: u64 = 20;

/// Size of each response body.
const RESPONSE_BYTES: u64 = 1000;

/// Size of each request body.
const REQUEST_BYTES: usize = 300;

fn plan(daemons: usize) -> fleet::Plan {
    fleet::Plan::new(daemons, fleet::Service::new("wiredesk", 3))
}

/// Sends requests through a daemon and checks that each succeeds.
async fn send_requests(fleet: &fleet::Fleet, daemon: usize) {
    for _ in 0..REQUESTS {
        let path = format!("/wiredesk/item?bytes={RESPONSE_BYTES}");
        let reply = fleet.daemons[daemon].get(&path).await;
        let reply = reply.expect("response from the daemon");
        assert_eq!(
            (reply.status, reply.body.len() as u64),
            (200, RESPONSE_BYTES)
        );
    }
}

/// Row that the command line prints for the only organisation and service, and the exit code.
fn run_usage(arguments: &[&str]) -> (serde_json::Value, Option<i32>) {
    let mut all_arguments = vec!["usage", "--json"];
    all_arguments.extend_from_slice(arguments);
    let (code, out, _) = process::run_to_exit(&process::monsooncart(), &all_arguments);
    let rows: serde_json::Value = serde_json::from_str(&out).unwrap_or_default();
    (rows[0].clone(), code)
}

fn stored_usage(fleet: &fleet::Fleet) -> serde_json::Value {
    let platform = fleet.platform.address("listen").to_string();
    run_usage(&["--platform", &platform]).0
}

fn usage_reported_by(fleet: &fleet::Fleet, daemon: usize) -> serde_json::Value {
    let admin = fleet.daemons[daemon].admin_address().to_string();
    run_usage(&["--admin", &admin]).0
}

fn stop_daemon(fleet: &mut fleet::Fleet, daemon: usize) {
    fleet.daemons[daemon].process.signal(Signal::TERM);
    let status = fleet.daemons[daemon].process.wait(wait::TIMEOUT);
    assert!(status.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_bytes_and_outcomes_are_reported_by_organisation_and_service() {
    let fleet = fleet::Fleet::start(plan(2)).await;
    send_requests(&fleet, 0).await;
    send_requests(&fleet, 1).await;
    let body = vec![b'x'; REQUEST_BYTES];
    let posted = fleet.daemons[0].post("/wiredesk/once", &[], body).await;
    let refused = fleet.daemons[0].post("/wiredesk/purchase", &[], "x").await;

    let posted = posted.expect("response from the daemon");
    assert_eq!(posted.status, 200);
    assert_eq!(refused.expect("response from the daemon").status, 428);
    let row = wait::for_value("requests of both daemons are reported", || async {
        let row = usage_reported_by(&fleet, 0);
        (row["requests"]["answered"] == 2 * REQUESTS + 1).then_some(row)
    })
    .await;

    assert_eq!(row["organisation"], "athens-herald");
    assert_eq!(row["service"], "wiredesk");
    assert_eq!(
        row["sent"],
        2 * REQUESTS * RESPONSE_BYTES + posted.body.len() as u64
    );
    assert_eq!(row["received"], REQUEST_BYTES);
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_is_exact_after_a_lost_store_response_and_a_planned_stop() {
    let mut fleet = fleet::Fleet::start(plan(2)).await;
    send_requests(&fleet, 0).await;
    send_requests(&fleet, 1).await;

    fleet
        .set_platform_faults(&platform::Faults {
            lose_answers: 2,
            ..platform::Faults::default()
        })
        .await;
    stop_daemon(&mut fleet, 0);
    stop_daemon(&mut fleet, 1);

    let logs = fleet.daemons.iter().map(|daemon| daemon.process.log());
    let lost = logs.filter(|log| log.contains("usage: call of the platform failed"));
    assert!(lost.count() > 0, "no response to a usage write was lost");
    let row = stored_usage(&fleet);
    assert_eq!(row["requests"]["answered"], 2 * REQUESTS, "{row}");
    assert_eq!(row["total"], 2 * REQUESTS);
    assert_eq!(row["sent"], 2 * REQUESTS * RESPONSE_BYTES);
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_of_a_daemon_stopped_in_a_platform_outage_is_written_later_by_a_peer() {
    let mut fleet = fleet::Fleet::start(plan(3)).await;
    send_requests(&fleet, 0).await;
    fleet
        .set_platform_faults(&platform::Faults {
            outage: platform::Outage::Refused,
            ..platform::Faults::default()
        })
        .await;

    stop_daemon(&mut fleet, 0);
    let during_outage = usage_reported_by(&fleet, 1);
    fleet
        .set_platform_faults(&platform::Faults::default())
        .await;
    let after_outage = wait::for_value("a peer writes the usage", || async {
        let row = stored_usage(&fleet);
        row.is_object().then_some(row)
    })
    .await;

    assert_eq!(
        during_outage["requests"]["answered"], REQUESTS,
        "{during_outage}"
    );
    assert_eq!(
        after_outage["requests"]["answered"], REQUESTS,
        "{after_outage}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_loses_at_most_requests_after_the_last_copy() {
    let mut fleet = fleet::Fleet::start(plan(3)).await;
    send_requests(&fleet, 0).await;
    // What the platform has confirmed is not copied.
    wait::until(
        "a peer or the platform stores the first requests",
        || async {
            let copied = requests_in_peer_copies(&fleet).await;
            let written = stored_usage(&fleet)["requests"]["answered"].as_u64();
            [copied, written].contains(&Some(REQUESTS))
        },
    )
    .await;
    send_requests(&fleet, 0).await;

    fleet.daemons[0].process.kill();
    list_first_vm_as_gone(&fleet).await;
    let row = wait::for_value("a peer writes the usage", || async {
        let row = stored_usage(&fleet);
        row.is_object().then_some(row)
    })
    .await;

    let answered = row["requests"]["answered"].as_u64().unwrap_or_default();
    assert!((REQUESTS..=2 * REQUESTS).contains(&answered), "{row}");
}

async fn list_first_vm_as_gone(fleet: &fleet::Fleet) {
    let vms = fleet.daemons.iter().enumerate().map(|(number, daemon)| {
        serde_json::json!({
            "name": daemon.name,
            "peers": daemon.process.address("advertised"),
            "data_centre": "attica-a",
            "state": if number == 0 { "gone" } else { "live" },
        })
    });
    let vms: Vec<_> = vms.collect();
    fleet.put_vms(serde_json::json!(vms)).await;
}

/// Answered requests in the copies that other daemons store of the first daemon's pages.
async fn requests_in_peer_copies(fleet: &fleet::Fleet) -> Option<u64> {
    let instance = fleet.daemons[0].fetch_status().await["instance"].clone();
    for daemon in &fleet.daemons[1..] {
        let reply = crate::fixture::http::get(daemon.admin_address(), "/v1/usage", &[]).await;
        let copies = reply.expect("response from the daemon").json();
        let pages = copies["pages"].as_array().cloned().unwrap_or_default();
        let page = pages.iter().find(|p| p["name"]["instance"] == instance);
        let answered = page.and_then(|p| p["lines"][0]["tally"]["requests"]["answered"].as_u64());
        if answered.is_some() {
            return answered;
        }
    }
    None
}
