//! Servers that turn a request away and ask to be sent nothing for a time (`Retry-After`).

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;

use crate::scripted::{ScriptedServer, host_response};
use crate::{fakes, fixture, host};

/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a server that responds with this status line and these further header lines, and a proxy.
async fn start(status: &str, headers: &str) -> (ScriptedServer, fixture::Proxy) {
    let server = ScriptedServer::start(host_response(status, headers)).await;
    let policies = Arc::new(fakes::Selector);
    let proxy = host::start_with(&[server.address], TIMEOUT, policies).await;
    (server, proxy)
}

#[tokio::test]
async fn server_that_asks_for_a_pause_is_sent_nothing_and_callers_learn_how_long() {
    for (status, headers) in [
        (
            "503 Service Unavailable",
            "x-not-run: 1\r\nretry-after: 900\r\n",
        ),
        (
            "503 Service Unavailable",
            "x-not-run: 1\r\nretry-after: 900.5\r\n",
        ),
        ("503 Service Unavailable", "retry-after: 900\r\n"),
        (
            "429 Too Many Requests",
            "x-not-run: 1\r\nretry-after: 1e300\r\n",
        ),
    ] {
        let (server, proxy) = start(status, headers).await;
        fixture::send(proxy.address, host::request("POST", "/orders/1")).await;

        let second = fixture::send(proxy.address, host::request("POST", "/orders/1")).await;

        assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE, "{headers}");
        assert_eq!(server.heads(), 1, "{status} {headers}");
        let retry_after: u64 = second.header("retry-after").parse().unwrap();
        assert!(retry_after > 800, "{headers}: {retry_after}");
    }
}

#[tokio::test]
async fn invalid_delays_and_other_statuses_delay_nothing() {
    for (status, headers) in [
        (
            "503 Service Unavailable",
            "x-not-run: 1\r\nretry-after: -900\r\n",
        ),
        (
            "503 Service Unavailable",
            "x-not-run: 1\r\nretry-after: NaN\r\n",
        ),
        (
            "503 Service Unavailable",
            "x-not-run: 1\r\nretry-after: soon\r\n",
        ),
        ("200 OK", "retry-after: 900\r\n"),
        (
            "421 Misdirected Request",
            "x-not-run: 1\r\nretry-after: 900\r\n",
        ),
    ] {
        let (server, proxy) = start(status, headers).await;
        fixture::send(proxy.address, host::request("POST", "/orders/1")).await;

        let second = fixture::send(proxy.address, host::request("POST", "/orders/1")).await;

        let retry_after = second.header("retry-after").parse::<u64>();
        let is_delayed = server.heads() == 1 && retry_after.is_ok_and(|seconds| seconds > 800);
        assert!(!is_delayed, "{status} {headers}");
    }
}
