//! Fixtures: engines with host routing.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use monsooncart_config::routing::access;
use monsooncart_config::{object, registration, routing, settings, snapshot};
use monsooncart_proxy::{config, host_routing, interface};
use monsooncart_types::{id, rate, span};

use crate::fakes;
use crate::fixture::{self, Proxy};

/// Start of the run of all servers with host routing, in milliseconds.
pub const SERVER_RUN: u64 = 1000;

/// Slots of each server with host routing.
pub const SLOTS: u32 = 64;

/// Names of headers with host routing.
pub fn header_names() -> host_routing::HeaderNames {
    host_routing::HeaderNames {
        request: "x-request".parse().unwrap(),
        deadline: "x-deadline".parse().unwrap(),
        server: "x-server".parse().unwrap(),
        not_run: "x-not-run".parse().unwrap(),
        leaving: "x-leaving".parse().unwrap(),
        rate_limit: "x-rate-limit".parse().unwrap(),
        key: "x-key".parse().unwrap(),
        organisation: "x-organisation".parse().unwrap(),
    }
}

/// A request with host routing, whose id the scripted servers echo.
pub fn request(method: &str, path: &str) -> Request<Full<Bytes>> {
    let mut request = fixture::request(method, path, "");
    let headers = request.headers_mut();
    headers.insert("x-request", "1".parse().unwrap());
    request
}

/// Starts an engine with host routing. `wires.example` has the repeatable route `/items/` and the
/// unrepeatable route `/orders/`, both with this timeout.
pub async fn start(addresses: &[net::SocketAddr], timeout: Duration) -> Proxy {
    start_with(addresses, timeout, Arc::new(fakes::Naive)).await
}

/// As [`start`], with these policies.
pub async fn start_with(
    addresses: &[net::SocketAddr],
    timeout: Duration,
    policies: Arc<dyn interface::Policies>,
) -> Proxy {
    let access = access::Access::Open;
    start_with_access(addresses, timeout, policies, access).await
}

/// As [`start`], for callers with this access. `/open/` needs no key.
pub async fn start_for(
    addresses: &[net::SocketAddr],
    timeout: Duration,
    access: access::Access,
) -> Proxy {
    let policies = Arc::new(fakes::Selector);
    start_with_access(addresses, timeout, policies, access).await
}

/// As [`start`], for a daemon that holds at most this many bytes of bodies.
pub async fn start_bounded(
    addresses: &[net::SocketAddr],
    timeout: Duration,
    max_body_bytes: u64,
) -> Proxy {
    let config = config(Arc::new(fakes::Selector)).max_body_bytes(Some(max_body_bytes));
    start_configured(addresses, timeout, config).await
}

/// As [`start`], for a VM with a link of this rate, in bytes per second.
pub async fn start_linked(
    addresses: &[net::SocketAddr],
    timeout: Duration,
    link_rate: rate::Rate,
) -> Proxy {
    let config = config(Arc::new(fakes::Selector)).link_rate(Some(link_rate));
    start_configured(addresses, timeout, config).await
}

/// As [`start`], with these limits of the listener for callers.
pub async fn start_limited(
    addresses: &[net::SocketAddr],
    timeout: Duration,
    limits: settings::Limits,
) -> Proxy {
    let config = config(Arc::new(fakes::Naive)).limits(limits);
    start_configured(addresses, timeout, config).await
}

/// Configuration of an engine with host routing.
pub fn config(policies: Arc<dyn interface::Policies>) -> config::Config {
    let config = config::Config::new("entry-1".parse().unwrap(), "attica-a".parse().unwrap());
    config.host_routing(Some(header_names())).policies(policies)
}

/// As [`start`], with this configuration of the engine.
pub async fn start_configured(
    addresses: &[net::SocketAddr],
    timeout: Duration,
    config: config::Config,
) -> Proxy {
    let snapshot = snapshot(addresses, timeout, access::Access::Open);
    fixture::start_engine(fixture::bind_listener().await, config, snapshot)
}

/// As [`start_with`], for callers with this access.
pub async fn start_with_access(
    addresses: &[net::SocketAddr],
    timeout: Duration,
    policies: Arc<dyn interface::Policies>,
    access: access::Access,
) -> Proxy {
    let config = config(policies);
    fixture::start_engine(
        fixture::bind_listener().await,
        config,
        snapshot(addresses, timeout, access),
    )
}

fn route(prefix: &str, repeatable: bool, timeout: Duration) -> routing::Route {
    routing::Route {
        name: prefix.to_owned(),
        host: "wires.example".to_owned(),
        prefix: prefix.to_owned(),
        repeatable,
        timeout: Some(span::Span(timeout)),
        objective: None,
        attempts: 3,
        priority: 1,
        targets: vec![routing::Target {
            service: "wiredesk".parse().unwrap(),
            weight: 1.0,
        }],
        open: false,
    }
}

/// Registration of a server at an address.
pub fn registration(address: net::SocketAddr) -> registration::Registration {
    registration::Registration {
        service: "wiredesk".parse().unwrap(),
        address,
        data_centre: "attica-a".parse().unwrap(),
        slots: SLOTS,
        leaving: false,
        cold: span::Span::default(),
        started_millis: SERVER_RUN,
    }
}

fn snapshot(
    addresses: &[net::SocketAddr],
    timeout: Duration,
    access: access::Access,
) -> snapshot::Snapshot {
    let service: id::Service = "wiredesk".parse().unwrap();
    let routing = routing::Routing {
        version: 1,
        limits: routing::Limits::default(),
        routes: vec![
            route("/items/", true, timeout),
            route("/orders/", false, timeout),
            routing::Route {
                open: true,
                ..route("/open/", true, timeout)
            },
        ],
        services: vec![routing::Service {
            name: service.clone(),
            health_path: None,
            connections: 330,
        }],
        access,
    };
    let routing = object::Value::Routing(Box::new(routing));
    let mut snapshot = snapshot::Snapshot::default()
        .with_object(&object::Key::Routing, 1, routing)
        .unwrap();
    for (number, address) in addresses.iter().enumerate() {
        let registration = registration(*address);
        let key = object::Key::Registration(format!("server-{number}").parse().unwrap());
        let value = object::Value::Registration(Some(Box::new(registration)));
        snapshot = snapshot.with_object(&key, 1, value).unwrap();
    }
    snapshot
}
