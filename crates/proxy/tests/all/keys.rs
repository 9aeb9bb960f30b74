//! Requests with keys of organisations, with host routing.

use std::time::Duration;

use http::StatusCode;
use monsooncart_config::routing::{access, digest};

use crate::scripted::{ScriptedServer, host_response};
use crate::{fixture, host};

const TIMEOUT: Duration = Duration::from_secs(30);

const KEY: &str = "key-of-paper";

pub fn organisation(name: &str, key: &str) -> access::Organisation {
    access::Organisation {
        name: name.parse().unwrap(),
        keys: vec![digest::Digest::of(key.as_bytes())],
        priority: None,
        allowance: None,
    }
}

pub fn keys(organisations: Vec<access::Organisation>) -> access::Access {
    access::Access::Keys(organisations)
}

async fn server() -> ScriptedServer {
    ScriptedServer::start(host_response("200 OK", "")).await
}

/// A request with these keys and the name of an organisation that the caller made up.
fn request(path: &str, keys: &[&str]) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let mut request = host::request("POST", path);
    let headers = request.headers_mut();
    headers.insert("x-organisation", "made-up".parse().unwrap());
    for key in keys {
        headers.append("x-key", key.parse().unwrap());
    }
    request
}

/// Guards against keys that reach servers, and against organisations that callers make up
/// (UNASKED).
#[tokio::test]
async fn a_server_receives_the_organisation_and_not_the_key() {
    let server = server().await;
    let access = keys(vec![organisation("paper", KEY)]);
    let proxy = host::start_for(&[server.address], TIMEOUT, access).await;

    let response = fixture::send(proxy.address, request("/orders/1", &[KEY])).await;

    assert_eq!(response.status, StatusCode::OK);
    let received = server.received_text();
    assert!(received.contains("x-organisation: paper"), "{received}");
    assert!(!received.contains("made-up"), "{received}");
    assert!(!received.contains(KEY), "{received}");
}

/// Guards against requests that run without a valid key (ROUTE).
#[tokio::test]
async fn requests_without_a_valid_key_are_refused_before_they_reach_a_server() {
    let server = server().await;
    let access = keys(vec![
        organisation("paper", KEY),
        organisation("radio", "other"),
    ]);
    let proxy = host::start_for(&[server.address], TIMEOUT, access).await;

    for keys in [&[][..], &["unknown"], &[""], &[KEY, "other"]] {
        let response = fixture::send(proxy.address, request("/orders/1", keys)).await;

        assert_eq!(response.status, StatusCode::UNAUTHORIZED, "{keys:?}");
        assert_eq!(response.header("monsooncart-outcome"), "not-run");
    }
    let response = fixture::send(proxy.address, request("/none/1", &["unknown"])).await;
    assert_eq!(response.status, StatusCode::NOT_FOUND);
    assert_eq!(server.heads(), 0);
}

/// Guards against a key that is still in use after its withdrawal, on an open connection too.
#[tokio::test]
async fn a_withdrawn_key_is_refused_on_an_open_connection() {
    let server = server().await;
    let with_key = keys(vec![organisation("paper", KEY)]);
    let proxy = host::start_for(&[server.address], TIMEOUT, with_key).await;
    let mut connection = fixture::connect(proxy.address).await;
    let first = connection
        .send_request(request("/orders/1", &[KEY]))
        .await
        .unwrap();
    let first_status = first.status();
    http_body_util::BodyExt::collect(first.into_body())
        .await
        .unwrap();

    proxy.set_access(keys(vec![organisation("paper", "another")]));

    let second = connection
        .send_request(request("/orders/2", &[KEY]))
        .await
        .unwrap();
    assert_eq!(first_status, StatusCode::OK);
    assert_eq!(second.status(), StatusCode::UNAUTHORIZED);
    assert_eq!(server.heads(), 1);
}

/// Guards against callers that are kept out of routes which need no key.
#[tokio::test]
async fn an_open_route_needs_no_key_and_forwards_none() {
    let server = server().await;
    let access = keys(vec![organisation("paper", KEY)]);
    let proxy = host::start_for(&[server.address], TIMEOUT, access).await;

    for keys in [&[][..], &[KEY], &["unknown"]] {
        let response = fixture::send(proxy.address, request("/open/1", keys)).await;

        assert_eq!(response.status, StatusCode::OK, "{keys:?}");
    }
    let received = server.received_text();
    for absent in ["x-organisation", "x-key", KEY] {
        assert!(!received.contains(absent), "{received}");
    }
}

/// Guards against a daemon that takes a routing without organisations, from a daemon of an earlier
/// release, for one without keys.
#[tokio::test]
async fn a_request_with_a_key_waits_for_a_daemon_that_knows_the_organisations() {
    let server = server().await;
    let access = access::Access::Unknown;
    let proxy = host::start_for(&[server.address], TIMEOUT, access).await;

    let response = fixture::send(proxy.address, request("/orders/1", &[KEY])).await;

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(server.heads(), 0);
}

/// Guards against a key that is passed on to the daemon that relays a request, and against a relay
/// that takes the organisation from a caller.
#[tokio::test]
async fn a_relay_receives_the_organisation_and_not_the_key() {
    let server = server().await;
    let access = || keys(vec![organisation("paper", KEY)]);
    let relay = host::start_for(&[server.address], TIMEOUT, access()).await;
    let closed = [
        fixture::closed_address().await,
        fixture::closed_address().await,
    ];
    let proxy = host::start_for(&closed, TIMEOUT, access()).await;
    proxy.fakes.fleet.set_relay(relay.engine.clone());
    proxy.engine.refresh_daemons();

    let relayed = fixture::send(proxy.address, request("/orders/1", &[KEY])).await;
    let made_up = fixture::send(relay.address, request("/orders/1", &[])).await;

    assert_eq!(relayed.status, StatusCode::OK);
    assert_eq!(made_up.status, StatusCode::UNAUTHORIZED);
    let received = server.received_text();
    assert!(received.contains("x-organisation: paper"), "{received}");
    assert!(!received.contains(KEY), "{received}");
    assert_eq!(server.heads(), 1);
}
