//! Servers that announce in a response that they are leaving.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_proxy::report;

use crate::scripted::{ScriptedServer, host_response};
use crate::{fakes, fixture, host};

/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn server_that_announces_its_leaving_is_reported_once_and_receives_no_further_request() {
    for status in ["200 OK", "500 Internal Server Error"] {
        let server = ScriptedServer::start(host_response(status, "x-leaving: 1\r\n")).await;
        let policies = Arc::new(fakes::Selector);
        let proxy = host::start_with(&[server.address], TIMEOUT, policies).await;
        fixture::send(proxy.address, host::request("POST", "/orders/1")).await;

        let second = fixture::send(proxy.address, host::request("POST", "/orders/1")).await;

        assert_eq!(second.status, http::StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(server.heads(), 1, "{status}");
        assert_eq!(proxy.fakes.fleet.leaving().len(), 1, "{status}");
    }
}

#[tokio::test]
async fn other_values_and_other_servers_announce_nothing() {
    for (status, headers) in [
        ("200 OK", "x-leaving: 0\r\n"),
        ("200 OK", "x-leaving:\r\n"),
        ("421 Misdirected Request", "x-leaving: 1\r\n"),
    ] {
        let server = ScriptedServer::start(host_response(status, headers)).await;
        let policies = Arc::new(fakes::Selector);
        let proxy = host::start_with(&[server.address], TIMEOUT, policies).await;

        fixture::send(proxy.address, host::request("POST", "/orders/1")).await;

        assert_eq!(proxy.fakes.fleet.leaving(), [], "{status} {headers}");
    }
}

/// Requests that reach the server after a peer has reported that the run with this start is leaving,
/// under a policy that does not know leaving servers: the request path itself keeps them back.
async fn requests_after_report_of(started_millis: u64) -> u64 {
    let server = ScriptedServer::start(host_response("200 OK", "")).await;
    let proxy = host::start(&[server.address], TIMEOUT).await;
    let (service, name) = ("wiredesk".parse().unwrap(), "server-0".parse().unwrap());
    let leaving = report::Report::Leaving {
        server: name,
        started_millis,
    };
    proxy.engine.report(&service, leaving);
    fixture::send(proxy.address, host::request("POST", "/orders/1")).await;
    server.heads()
}

#[tokio::test]
async fn chosen_server_that_is_known_to_be_leaving_receives_no_request() {
    assert_eq!(requests_after_report_of(host::SERVER_RUN).await, 0);
}

#[tokio::test]
async fn later_run_of_a_server_receives_requests() {
    assert_eq!(requests_after_report_of(host::SERVER_RUN - 1).await, 1);
}
