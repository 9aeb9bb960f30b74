//! Requests of organisations with an allowance, with host routing.

use std::time::{Duration, Instant};

use http::StatusCode;
use monsooncart_config::routing::{access, digest};
use monsooncart_policy::allowance::Decision;
use monsooncart_types::rate;

use crate::scripted::{ScriptedServer, host_response};
use crate::{fixture, host};

const TIMEOUT: Duration = Duration::from_secs(30);

const KEY: &str = "key-of-paper";

/// Access of one organisation with an allowance.
fn keys() -> access::Access {
    access::Access::Keys(vec![access::Organisation {
        name: "paper".parse().unwrap(),
        keys: vec![digest::Digest::of(KEY.as_bytes())],
        priority: None,
        allowance: Some(access::Allowance {
            rate: rate::Rate(10.0),
            burst: 5.0,
        }),
    }])
}

async fn start(server: &ScriptedServer) -> fixture::Proxy {
    host::start_for(&[server.address], TIMEOUT, keys()).await
}

async fn send(proxy: &fixture::Proxy) -> fixture::Response {
    let mut request = host::request("POST", "/orders/1");
    request.headers_mut().insert("x-key", KEY.parse().unwrap());
    fixture::send(proxy.address, request).await
}

/// Guards against requests beyond the allowance that reach a server (QUOTA).
#[tokio::test]
async fn a_request_beyond_the_allowance_is_refused_with_the_time_of_its_turn() {
    let server = ScriptedServer::start(host_response("200 OK", "")).await;
    let proxy = start(&server).await;
    let retry_after = Duration::from_secs(2);
    proxy
        .fakes
        .fleet
        .decide(&[Decision::Refuse { retry_after }]);

    let response = send(&proxy).await;

    assert_eq!(response.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(response.header("retry-after"), "2");
    assert_eq!(response.header("monsooncart-outcome"), "not-run");
    assert_eq!(server.heads(), 0);
    let line = "monsooncart_allowance_decisions_total{decision=\"refused\"} 1";
    assert!(proxy.metrics().contains(line));
}

/// Guards against callers within their allowance that are refused while a token is on its way.
#[tokio::test]
async fn a_request_waits_for_its_token() {
    let server = ScriptedServer::start(host_response("200 OK", "")).await;
    let proxy = start(&server).await;
    let after = Duration::from_millis(80);
    let decisions = [Decision::Undecided, Decision::Admit { after }];
    proxy.fakes.fleet.decide(&decisions);
    let sent_at = Instant::now();

    let response = send(&proxy).await;

    assert_eq!(response.status, StatusCode::OK);
    assert!(sent_at.elapsed() >= after);
    assert_eq!(proxy.fakes.fleet.admitted().len(), 1);
    assert!(proxy.fakes.fleet.refunded().is_empty());
    let line = "monsooncart_allowance_decisions_total{decision=\"delayed\"} 1";
    assert!(proxy.metrics().contains(line));
}

/// Guards against an allowance that is spent by requests which have not run, and against one that is
/// given back for requests which have.
#[tokio::test]
async fn the_token_of_a_request_that_has_not_run_is_given_back() {
    let shedding = host_response("503 Service Unavailable", "x-not-run: 1\r\n");
    let failing = host_response("500 Internal Server Error", "");
    for (script, refunds) in [(shedding, 1), (failing, 0)] {
        let server = ScriptedServer::start(script).await;
        let proxy = start(&server).await;

        let response = send(&proxy).await;

        assert!(response.status.is_server_error());
        let refunded = || proxy.fakes.fleet.refunded().len();
        fixture::wait_until("completion", || proxy.engine.in_flight() == 0).await;
        assert_eq!(refunded(), refunds);
    }
}
