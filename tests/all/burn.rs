//! Guarantee: the burn report shows what spent the error budget, even during a platform outage and
//! after daemons were replaced.

use monsooncart_testbed::{backend::mode, platform};
use rustix::process::Signal;

use crate::fixture::{fleet, process, wait};

/// Number of requests that succeed.
const GOOD_REQUESTS: usize = 30;

/// Number of unrepeatable requests that fail with an error of the server.
const BAD_REQUESTS: usize = 10;

async fn send_load(fleet: &fleet::Fleet, daemon: usize) {
    for _ in 0..GOOD_REQUESTS {
        let reply = fleet.daemons[daemon].get("/wiredesk/item").await;
        assert_eq!(reply.expect("response from the daemon").status, 200);
    }
    let errors = mode::Mode {
        errors: 1.0,
        ..mode::Mode::default()
    };
    fleet.backends[0].set_mode(errors).await;
    for _ in 0..BAD_REQUESTS {
        let reply = fleet.daemons[daemon].post("/wiredesk/once", &[], "x").await;
        assert_eq!(reply.expect("response from the daemon").status, 500);
    }
}

fn run_report(arguments: &[&str]) -> (serde_json::Value, Option<i32>, String) {
    let mut all_arguments = vec!["report", "burn", "--json"];
    all_arguments.extend_from_slice(arguments);
    let (code, out, error) = process::run_to_exit(&process::monsooncart(), &all_arguments);
    (serde_json::from_str(&out).unwrap_or_default(), code, error)
}

fn assert_burn_is_reported(report: &serde_json::Value) {
    let service = &report["services"][0];
    let windows: Vec<_> = service["burns"].as_array().into_iter().flatten().collect();
    assert_eq!(windows.len(), 4, "{report}");
    for burn in windows {
        assert_eq!(burn["total"], GOOD_REQUESTS + BAD_REQUESTS, "{burn}");
        assert_eq!(burn["bad"], BAD_REQUESTS);
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
    send_load(&fleet, 0).await;
    fleet
        .set_platform_faults(&platform::Faults {
            outage: platform::Outage::Refused,
            ..platform::Faults::default()
        })
        .await;
    let admin = fleet.daemons[1].admin_address().to_string();

    let (before_stop, code, _) = run_report(&["--admin", &admin]);
    fleet.daemons[0].process.signal(Signal::TERM);
    let status = fleet.daemons[0].process.wait(wait::TIMEOUT);
    let (after_stop, _, _) = run_report(&["--admin", &admin]);

    assert!(status.success());
    assert_eq!(code, Some(0));
    assert_burn_is_reported(&before_stop);
    assert_burn_is_reported(&after_stop);
}

#[tokio::test(flavor = "multi_thread")]
async fn burn_of_a_stopped_daemon_is_read_from_the_platform_and_rendered() {
    let plan = fleet::Plan::new(2, fleet::Service::new("wiredesk", 1));
    let mut fleet = fleet::Fleet::start(plan).await;
    send_load(&fleet, 0).await;
    fleet.daemons[0].process.signal(Signal::TERM);
    let status = fleet.daemons[0].process.wait(wait::TIMEOUT);
    let admin = fleet.daemons[1].admin_address().to_string();
    let platform = fleet.platform.address("listen").to_string();
    let file = fleet.file_path("burn.html");

    let arguments = ["--admin", &admin, "--platform", &platform, "--html", &file];
    let (reported, _, _) = run_report(&arguments);
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
    let unreachable = listener
        .local_addr()
        .expect("bound listener has an address")
        .to_string();
    drop(listener);

    let (_, code, error) = run_report(&["--admin", &unreachable]);

    let named = format!("connect of /v1/status at daemon {unreachable}");
    assert_eq!(code, Some(1));
    assert!(error.contains(&named), "{error}");
}
