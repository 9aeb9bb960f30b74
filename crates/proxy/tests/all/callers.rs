//! Load from callers that verify every response, with healthy and gray-failing servers.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_testbed::backend::{mode, server};
use monsooncart_testbed::caller::{options, report, run};

use crate::{fakes, fixture};

const REQUESTS: u64 = 300;

/// Caller timeout for tests that do not depend on it.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn run_callers(
    proxy: &fixture::Proxy,
    backends: &[server::Server],
    count: u64,
    timeout: Duration,
) -> report::Report {
    proxy.fakes.fleet.set_entry(proxy.address);
    let mut report = run::run(options::Options {
        daemons: vec![proxy.address],
        service: "wiredesk".to_owned(),
        key: fixture::KEY.to_owned(),
        get: "/items/".to_owned(),
        post: "/purchase/".to_owned(),
        unrepeatable: 0.3,
        workers: 8,
        count: Some(count),
        duration: fixture::TEST_TIMEOUT,
        timeout,
        ..options::Options::default()
    })
    .await;
    let logs: Vec<_> = backends.iter().map(server::Server::starts).collect();
    report.audit(&logs);
    report
}

#[tokio::test]
async fn every_request_is_answered_once_by_healthy_servers() {
    let backends = [
        fixture::start_backend("server-0").await,
        fixture::start_backend("server-1").await,
    ];
    let addresses = backends.each_ref().map(server::Server::address);
    let proxy = fixture::start_proxy(&addresses).await;

    let report = run_callers(&proxy, &backends, REQUESTS, TIMEOUT).await;

    let starts: u64 = backends.iter().map(|b| b.starts().count).sum();
    assert_eq!(report.sent, REQUESTS);
    assert_eq!(report.answered, REQUESTS, "{report:?}");
    assert_eq!(report.doubled, Some(0));
    assert_eq!(report.falsely_not_run, Some(0));
    assert!(report.works.len() > 30);
    assert_eq!(starts, REQUESTS);
}

#[tokio::test]
async fn gray_servers_cause_no_wrong_duplicated_or_misreported_work() {
    for mode in [
        mode::Mode {
            cut_after: Some(20),
            ..mode::Mode::default()
        },
        mode::Mode {
            shed: true,
            ..mode::Mode::default()
        },
        mode::Mode {
            errors: 0.5,
            ..mode::Mode::default()
        },
        mode::Mode {
            refuse: true,
            ..mode::Mode::default()
        },
    ] {
        let backends = [
            fixture::start_exclusive_backend("server-0").await,
            fixture::start_backend("server-1").await,
        ];
        backends[0].set_mode(mode.clone());
        let addresses = backends.each_ref().map(server::Server::address);
        let proxy = fixture::start_proxy(&addresses).await;

        let report = run_callers(&proxy, &backends, REQUESTS, TIMEOUT).await;

        assert_eq!(report.sent, REQUESTS, "{mode:?}");
        assert_eq!(report.wrong, 0, "{mode:?}");
        assert_eq!(report.doubled, Some(0), "{mode:?}");
        assert_eq!(report.falsely_not_run, Some(0), "{mode:?}");
    }
}

#[tokio::test]
async fn balancer_causes_no_wrong_duplicated_or_misreported_work_with_stalling_servers() {
    const COUNT: u64 = 100;
    let stall = mode::Mode {
        stall: true,
        ..mode::Mode::default()
    };
    let flapping = mode::Mode {
        flap_millis: 100,
        ..stall.clone()
    };
    let crossed = mode::Mode {
        crossed: true,
        ..mode::Mode::default()
    };
    let without_echo = mode::Mode {
        cut_after: Some(20),
        echo: false,
        ..mode::Mode::default()
    };
    for mode in [stall, flapping, crossed, without_echo] {
        let backends = [
            fixture::start_backend("server-0").await,
            fixture::start_backend("server-1").await,
            fixture::start_backend("server-2").await,
        ];
        backends[0].set_mode(mode.clone());
        let addresses = backends.each_ref().map(server::Server::address);
        let policies = Arc::new(fakes::Balanced);
        let proxy = fixture::start_proxy_with(&addresses, fixture::limits(), policies).await;

        let report = run_callers(&proxy, &backends, COUNT, Duration::from_secs(1)).await;

        assert_eq!(report.sent, COUNT, "{mode:?}");
        assert_eq!(report.wrong, 0, "{mode:?}");
        assert_eq!(report.doubled, Some(0), "{mode:?}");
        assert_eq!(report.falsely_not_run, Some(0), "{mode:?}");
    }
}
