//! Guarantee: the burn report shows what spent the error budget, even during a platform outage and
//! after daemons were replaced.

use monsooncart_testbed::{backend::mode, platform};
use rustix::process::Signal;

use crate::fixture::{fleet, process, wait};

/// Requests that succeed.
const GOOD: usize = 30;

/// Unrepeatable requests that fail with an error of the server.
const BAD: usize = 10;

async fn load(fleet: &fleet::Fleet, daemon: usize) {
    for _ in 0..GOOD {
        let reply = fleet.daemons[daemon].get("/wiredesk/item").await;
        assert_eq!(reply.expect("response from the daemon").status, 200);
    }
    let errors = mode::Mode {
        errors: 1.0,
        ..mode::Mode::default()
    };
    fleet.backends[0].set_mode(errors).await;
    for _ in 0..BAD {
        let reply = fleet.daemons[daemon].post("/wiredesk/once", &[], "x").await;
        assert_eq!(reply.expect("response from the daemon").status, 500);
    }
}

fn report(arguments: &[&str]) -> (serde_json::Value, Option<i32>, String) {
    let mut all = vec!["report", "burn", "--json"];
    all.extend_from_slice(arguments);
    let (code, out, error) = process::output(&process::monsooncart(), &all);
    (serde_json::from_str(&out).unwrap_or_default(), code, error)
}

fn assert_burn_is_reported(report: &serde_json::Value) {
    let service = &report["services"][0];
    let windows: Vec<_> = service["burns"].as_array().into_iter().flatten().collect();
    assert_eq!(windows.len(), 4, "{report}");
    for burn in windows {
        assert_eq!(burn["total"], GOOD + BAD, "{burn}");
        assert_eq!(burn["bad"], BAD);
        // A quarter of the requests failed where the objective allows one in a thousand.
        assert_eq!(burn["availability"], 250.0);
    }
    assert_eq!(service["organisations"][0]["name"], "athens-herald");
    let spender = &service["spenders"][0]["cause"];
    assert_eq!(spender["server"], "wiredesk-01");
    assert_eq!(spender["fault"], "error");
    assert_eq!(spender["decision"], "passed");
}

#[tokio::test(flavor = "multi_thread")]
async fn burn_is_reported_in_a_platform_outage_and_after_a_daemon_stopped() {
    let plan = fleet::Plan::new(2, fleet::Service::new("wiredesk", 1));
    let mut fleet = fleet::Fleet::start(plan).await;
    load(&fleet, 0).await;
    fleet
        .set_platform_faults(&platform::Faults {
            outage: platform::Outage::Refused,
            ..platform::Faults::default()
        })
        .await;
    let admin = fleet.daemons[1].admin().to_string();

    let (live, live_code, _) = report(&["--admin", &admin]);
    fleet.daemons[0].process.signal(Signal::TERM);
    let status = fleet.daemons[0].process.wait(wait::TIMEOUT);
    let (after, _, _) = report(&["--admin", &admin]);

    assert!(status.success());
    assert_eq!(live_code, Some(0));
    assert_burn_is_reported(&live);
    assert_burn_is_reported(&after);
}

#[tokio::test(flavor = "multi_thread")]
async fn burn_of_a_stopped_daemon_is_read_from_the_platform_and_rendered() {
    let plan = fleet::Plan::new(2, fleet::Service::new("wiredesk", 1));
    let mut fleet = fleet::Fleet::start(plan).await;
    load(&fleet, 0).await;
    fleet.daemons[0].process.signal(Signal::TERM);
    let status = fleet.daemons[0].process.wait(wait::TIMEOUT);
    let admin = fleet.daemons[1].admin().to_string();
    let platform = fleet.platform.address("listen").to_string();
    let file = fleet.file("burn.html");

    let arguments = ["--admin", &admin, "--platform", &platform, "--html", &file];
    let (reported, _, _) = report(&arguments);
    let page = std::fs::read_to_string(&file).expect("page can be written");

    assert!(status.success());
    assert_burn_is_reported(&reported);
    assert!(page.contains("<svg") && page.contains("wiredesk-01"));
    assert!(!page.contains("<script") && !page.contains("href="));
}

#[test]
fn unreachable_daemon_is_reported_with_step_and_address() {
    // Nothing listens on the port once the listener is dropped.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let silent = listener
        .local_addr()
        .expect("bound listener has an address")
        .to_string();
    drop(listener);

    let (_, code, error) = report(&["--admin", &silent]);

    let named = format!("connect of /v1/status at daemon {silent}");
    assert_eq!(code, Some(1));
    assert!(error.contains(&named), "{error}");
}
