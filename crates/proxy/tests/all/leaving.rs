//! Servers that announce in a response that they are leaving.

use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use monsooncart_config::{object, registration};
use monsooncart_policy::leaving;
use monsooncart_proxy::report;
use monsooncart_types::version;

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

/// Starts an engine whose only server was registered in epoch 1 of the platform and removed, and in which
/// the run with this start is registered in `epoch` then.
async fn start_with_returned(
    server: &ScriptedServer,
    started_millis: u64,
    epoch: u64,
) -> fixture::Proxy {
    let policies = Arc::new(fakes::Selector);
    let proxy = host::start_with(&[server.address], TIMEOUT, policies).await;
    set_registration(
        &proxy,
        server.address,
        Some(host::SERVER_RUN),
        version::Version::new(1, 5),
    );
    fixture::send(proxy.address, host::request("POST", "/orders/1")).await;
    set_registration(&proxy, server.address, None, version::Version::new(1, 9));
    set_registration(
        &proxy,
        server.address,
        Some(started_millis),
        version::Version::new(epoch, 10),
    );
    proxy
}

/// Registers the run of the server with this start, or removes the server.
fn set_registration(
    proxy: &fixture::Proxy,
    address: net::SocketAddr,
    run: Option<u64>,
    version: version::Version,
) {
    let snapshot = proxy.engine.snapshot();
    let key = object::Key::Registration("server-0".parse().unwrap());
    let registration = run.map(|started_millis| {
        let first = host::registration(address);
        Box::new(registration::Registration {
            started_millis,
            ..first
        })
    });
    let value = object::Value::Registration(registration);
    let next = snapshot.with_object(&key, version.0, value).unwrap();
    proxy.engine.configure(Arc::new(next));
}

/// Guards against a server that has left and is used again, as a backup of the platform has its entry
/// (DRAIN).
#[tokio::test]
async fn removed_run_in_a_later_epoch_gets_no_request_until_its_removal_is_written_again() {
    let server = ScriptedServer::start(host_response("200 OK", "")).await;
    let proxy = start_with_returned(&server, host::SERVER_RUN, 2).await;

    let held = fixture::send(proxy.address, host::request("POST", "/orders/2")).await;
    set_registration(&proxy, server.address, None, version::Version::new(2, 20));
    tokio::time::sleep(leaving::RETURN_TIME).await;
    let removed = fixture::send(proxy.address, host::request("POST", "/orders/3")).await;

    for response in [held, removed] {
        assert_eq!(response.status, http::StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(server.heads(), 1);
}

/// Guards against servers that are kept out of use, though they only were cut off from the platform, or
/// were started again (LOST, FLOOR).
#[tokio::test]
async fn run_that_registers_again_and_a_later_run_are_used_at_once() {
    for (started_millis, epoch) in [
        (host::SERVER_RUN, 1),
        (host::SERVER_RUN + 1, 1),
        (host::SERVER_RUN + 1, 2),
    ] {
        let server = ScriptedServer::start(host_response("200 OK", "")).await;
        let proxy = start_with_returned(&server, started_millis, epoch).await;

        let response = fixture::send(proxy.address, host::request("POST", "/orders/2")).await;

        assert_eq!(response.status, http::StatusCode::OK, "epoch {epoch}");
    }
}

/// Guards against the same for a server that is still listed when removals have been written again.
#[tokio::test]
async fn run_that_stays_listed_in_a_later_epoch_is_used_again() {
    let server = ScriptedServer::start(host_response("200 OK", "")).await;
    let proxy = start_with_returned(&server, host::SERVER_RUN, 2).await;

    let deadline = Instant::now() + fixture::TEST_TIMEOUT;
    let mut status = http::StatusCode::SERVICE_UNAVAILABLE;
    while status != http::StatusCode::OK && Instant::now() < deadline {
        let request = host::request("POST", "/orders/2");
        status = fixture::send(proxy.address, request).await.status;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    assert_eq!(status, http::StatusCode::OK);
}
