//! Rate limits that servers announce in their responses.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_types::{id, rate};

use crate::scripted::{ScriptedServer, Step, host_response};
use crate::{fakes, fixture, host};

/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Number of requests in a row, far more than the limit of zero allows in a second.
const REQUESTS: usize = 8;

/// Limits that the proxy reports to the fleet after one request to a server that responds so.
async fn reported_limits(status: &str, headers: &str) -> Vec<(id::Server, Option<rate::Rate>)> {
    let server = ScriptedServer::start(host_response(status, headers)).await;
    let policies = Arc::new(fakes::Selector);
    let proxy = host::start_with(&[server.address], TIMEOUT, policies).await;
    fixture::send(proxy.address, host::request("POST", "/orders/1")).await;
    proxy.fakes.fleet.rate_limits()
}

#[tokio::test]
async fn rate_limit_of_any_response_of_the_server_is_reported_to_the_fleet() {
    for (status, headers) in [
        ("200 OK", "x-rate-limit: 1.5\r\n"),
        ("500 Internal Server Error", "x-rate-limit: 1.5\r\n"),
        (
            "503 Service Unavailable",
            "x-not-run: 1\r\nx-rate-limit: 1.5\r\n",
        ),
    ] {
        let reported = reported_limits(status, headers).await;

        let expected = ("server-0".parse().unwrap(), Some(rate::Rate(1.5)));
        assert_eq!(reported, [expected], "{status}");
    }
}

#[tokio::test]
async fn responses_without_a_valid_rate_limit_of_the_server_report_none() {
    for (status, headers) in [
        ("200 OK", ""),
        ("200 OK", "x-rate-limit: few\r\n"),
        ("200 OK", "x-rate-limit: -1\r\n"),
        ("200 OK", "x-rate-limit: NaN\r\n"),
        ("200 OK", "x-rate-limit: inf\r\n"),
        ("200 OK", "x-rate-limit:\r\n"),
        ("421 Misdirected Request", "x-rate-limit: 1.5\r\n"),
    ] {
        let reported = reported_limits(status, headers).await;

        assert_eq!(reported, [], "{status} {headers}");
    }
}

#[tokio::test]
async fn server_with_a_rate_limit_of_zero_is_not_sent_every_request() {
    let server = ScriptedServer::start(host_response("200 OK", "x-rate-limit: 0\r\n")).await;
    let policies = Arc::new(fakes::Selector);
    let proxy = host::start_with(&[server.address], TIMEOUT, policies).await;
    let mut refused = 0;

    for _ in 0..REQUESTS {
        let answer = fixture::send(proxy.address, host::request("POST", "/orders/1")).await;
        refused += usize::from(answer.status == http::StatusCode::SERVICE_UNAVAILABLE);
    }

    assert!(refused > 0);
}

/// Limits that are reported after a response with a limit and a later one with this status line and
/// none, both on one connection.
async fn reported_after_response_without_limit(status: &str) -> Vec<Option<rate::Rate>> {
    let text = |status: &str, headers: &str| {
        let head =
            format!("HTTP/1.1 {status}\r\nx-request: 1\r\n{headers}content-length: 0\r\n\r\n");
        Step::Write(head.into_bytes())
    };
    let steps = vec![
        Step::ReadHead,
        text("200 OK", "x-rate-limit: 50\r\n"),
        Step::ReadHead,
        text(status, "x-not-run: 1\r\n"),
    ];
    let server = ScriptedServer::start(steps).await;
    let policies = Arc::new(fakes::Selector);
    let proxy = host::start_with(&[server.address], TIMEOUT, policies).await;
    for _ in 0..2 {
        fixture::send(proxy.address, host::request("GET", "/items/1")).await;
    }
    assert_eq!(server.connections(), 1);
    let reported = proxy.fakes.fleet.rate_limits().into_iter();
    reported.map(|(_, limit)| limit).collect()
}

/// Guards against a limit that a failing or refusing server seems to have ended.
#[tokio::test]
async fn only_a_success_without_a_limit_ends_the_limit() {
    let limit = Some(rate::Rate(50.0));

    assert_eq!(
        reported_after_response_without_limit("200 OK").await,
        [limit, None]
    );
    for status in ["503 Service Unavailable", "500 Internal Server Error"] {
        assert_eq!(
            reported_after_response_without_limit(status).await,
            [limit],
            "{status}"
        );
    }
}
