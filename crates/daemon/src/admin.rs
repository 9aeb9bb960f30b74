//! Admin API for operators, as JSON over HTTP.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use http_body_util::Full;
use monsooncart_policy::handle;
use monsooncart_types::id;
use prometheus::Encoder as _;
use tokio::net::TcpListener;

use crate::pages::{self, Request, Response, text};
use crate::{accounts, engine, operator, reports, status};

/// Maximum number of concurrent connections per listener.
const MAX_CONNECTIONS: usize = 64;

/// The admin API of one daemon.
pub struct Admin {
    /// Daemon to report on.
    pub engine: engine::Engine,
}

impl pages::Handler for Admin {
    fn handle<'a>(&'a self, peer: net::IpAddr, request: &'a Request) -> BoxFuture<'a, Response> {
        respond(&self.engine, peer, request).boxed()
    }
}

/// The metrics endpoint alone, for a listener of its own.
pub struct Metrics {
    /// Daemon to report on.
    pub engine: engine::Engine,
}

impl pages::Handler for Metrics {
    fn handle<'a>(&'a self, _peer: net::IpAddr, request: &'a Request) -> BoxFuture<'a, Response> {
        let response = match request.uri().path() {
            "/metrics" => metrics(&self.engine),
            _ => text(http::StatusCode::NOT_FOUND, "no such page\n"),
        };
        std::future::ready(response).boxed()
    }
}

/// Serves metrics until the task is dropped.
pub async fn serve_metrics(listener: TcpListener, engine: engine::Engine) {
    pages::serve(listener, MAX_CONNECTIONS, Arc::new(Metrics { engine })).await;
}

/// Serves the admin API until the task is dropped.
pub async fn serve(listener: TcpListener, engine: engine::Engine) {
    pages::serve(listener, MAX_CONNECTIONS, Arc::new(Admin { engine })).await;
}

async fn respond(engine: &engine::Engine, peer: net::IpAddr, request: &Request) -> Response {
    let path = request.uri().path();
    if path == "/v1/drain" {
        return drain(engine, peer, request.method());
    }
    let query = Query::parse(request.uri().query().unwrap_or_default());
    if request.method() != http::Method::GET {
        return text(http::StatusCode::METHOD_NOT_ALLOWED, "use GET\n");
    }
    match path {
        "/metrics" => metrics(engine),
        "/healthz" => text(http::StatusCode::OK, "ok\n"),
        "/readyz" => ready(engine),
        "/v1/status" => json(&status(engine)),
        "/v1/decisions" => json(&decisions(engine)),
        "/v1/usage" => json(&usage(engine)),
        "/v1/burn" => json(&burn(engine)),
        "/v1/explain/request" => explain_request(engine, &query),
        "/v1/explain/route" => explain_route(engine, &query),
        "/v1/explain/server" => explain_server(engine, &query).await,
        _ => text(http::StatusCode::NOT_FOUND, "no such page\n"),
    }
}

/// Parameters of a request's query string.
struct Query<'a> {
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Query<'a> {
    fn parse(text: &'a str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Self {
            pairs: pairs.collect(),
        }
    }

    fn get<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        let pair = self.pairs.iter().find(|(n, _)| *n == name)?;
        pair.1.parse().ok()
    }
}

fn json(value: &impl serde::Serialize) -> Response {
    match serde_json::to_vec_pretty(value) {
        Ok(body) => pages::json(Bytes::from(body)),
        Err(error) => {
            log::error!(error:%; "admin: failed to encode a response");
            let status = http::StatusCode::INTERNAL_SERVER_ERROR;
            text(status, &format!("{error}\n"))
        }
    }
}

fn metrics(engine: &engine::Engine) -> Response {
    let mut body = Vec::new();
    let families = engine.shared().components.registry.gather();
    if let Err(error) = prometheus::TextEncoder::new().encode(&families, &mut body) {
        return text(
            http::StatusCode::INTERNAL_SERVER_ERROR,
            &format!("{error}\n"),
        );
    }
    http::Response::new(Full::new(Bytes::from(body)))
}

fn ready(engine: &engine::Engine) -> Response {
    match engine.phase() {
        status::Phase::Serving => text(http::StatusCode::OK, "serving\n"),
        phase => text(http::StatusCode::SERVICE_UNAVAILABLE, &format!("{phase}\n")),
    }
}

fn servers(engine: &engine::Engine, service: &id::Service) -> Vec<status::Server> {
    let Some(proxy) = engine.core().proxy() else {
        return Vec::new();
    };
    let server = |(name, view): (id::Server, monsooncart_policy::service::View)| status::Server {
        name,
        state: view.state.to_owned(),
        in_flight: view.in_flight,
        suspicion: view.suspicion,
        median_millis: view.median_millis,
    };
    proxy.views(service).into_iter().map(server).collect()
}

fn status(engine: &engine::Engine) -> status::Status {
    let core = engine.core();
    let cluster = core.cluster();
    let snapshot = cluster.map(|c| c.replica().snapshot()).unwrap_or_default();
    let members = cluster.map(|c| c.members()).unwrap_or_default();
    let versions = snapshot.versions();
    let names = snapshot.services().map(|s| s.name.clone());
    let services: BTreeMap<_, _> = names
        .map(|name| (name.clone(), servers(engine, &name)))
        .collect();
    status::Status {
        vm: core.settings.name.clone(),
        instance: core.instance,
        phase: engine.phase(),
        in_flight: engine.in_flight(),
        configuration: versions.map(|(k, v)| (k.to_string(), v)).collect(),
        members: members.iter().map(status::Member::from).collect(),
        services,
    }
}

fn decisions(engine: &engine::Engine) -> Vec<monsooncart_proxy::decision::Decision> {
    let proxy = engine.core().proxy();
    proxy.map_or_else(Vec::new, monsooncart_proxy::engine::Engine::decisions)
}

fn usage(engine: &engine::Engine) -> reports::Usage {
    let accounts = engine.shared().components.accounts.as_ref();
    reports::Usage {
        instance: engine.core().instance,
        pages: accounts.map(|a| a.pages()).unwrap_or_default(),
    }
}

fn burn(engine: &engine::Engine) -> reports::Burn {
    let cluster = engine.core().cluster();
    let snapshot = cluster.map(|c| c.replica().snapshot()).unwrap_or_default();
    let accounts = engine.shared().components.accounts.as_ref();
    let objectives = snapshot.services().map(|s| (s.name.clone(), s.objective));
    reports::Burn {
        seconds: accounts::unix_seconds(),
        objectives: objectives.collect(),
        snapshots: accounts.map(|a| a.history_parts()).unwrap_or_default(),
    }
}

/// Starts a planned stop; allowed for operators on this VM or on that of another live daemon.
fn drain(engine: &engine::Engine, peer: net::IpAddr, method: &http::Method) -> Response {
    if method != http::Method::POST {
        return text(http::StatusCode::METHOD_NOT_ALLOWED, "use POST\n");
    }
    let members = engine.core().cluster().map(|c| c.members());
    if !operator::may_drain(peer, &members.unwrap_or_default()) {
        log::warn!(peer:% = peer; "admin: drain request refused");
        return text(
            http::StatusCode::FORBIDDEN,
            "drain is taken from loopback and from the VMs of live daemons only\n",
        );
    }
    log::info!(peer:% = peer; "admin: drain requested");
    engine.shared().drain_request.notify_one();
    let mut response = json(&status(engine));
    *response.status_mut() = http::StatusCode::ACCEPTED;
    response
}

fn explain_request(engine: &engine::Engine, query: &Query<'_>) -> Response {
    let Some(number) = query.get::<u64>("request") else {
        return text(http::StatusCode::BAD_REQUEST, "request is not a number\n");
    };
    let proxy = engine.core().proxy();
    match proxy.and_then(|p| p.trace(handle::Request(number))) {
        Some(trace) => json(&trace),
        None => text(http::StatusCode::NOT_FOUND, "request is not remembered\n"),
    }
}

fn explain_route(engine: &engine::Engine, query: &Query<'_>) -> Response {
    let (Some(host), Some(path)) = (query.get::<String>("host"), query.get::<String>("path"))
    else {
        return text(http::StatusCode::BAD_REQUEST, "host or path is missing\n");
    };
    let organisation = query.get::<String>("organisation");
    let organisation = organisation.map(|name| name.parse::<id::Organisation>());
    let Ok(organisation) = organisation.transpose() else {
        return text(
            http::StatusCode::BAD_REQUEST,
            "organisation is not a name\n",
        );
    };
    let proxy = engine.core().proxy();
    match proxy.and_then(|p| p.explain_route(&host, &path, organisation.as_ref())) {
        Some(route) => json(&route),
        None => text(http::StatusCode::NOT_FOUND, "no route matches\n"),
    }
}

/// Response body of `/v1/explain/server`.
#[derive(serde::Serialize)]
struct ServerExplanation {
    view: Option<monsooncart_policy::service::View>,
    ledger: Option<crate::floors::View>,
    decisions: Vec<monsooncart_proxy::decision::Decision>,
}

async fn explain_server(engine: &engine::Engine, query: &Query<'_>) -> Response {
    let service = query.get::<id::Service>("service");
    let server = query.get::<id::Server>("server");
    let (Some(service), Some(server)) = (service, server) else {
        return text(
            http::StatusCode::BAD_REQUEST,
            "service or server is missing\n",
        );
    };
    let views = engine.core().proxy().map(|p| p.views(&service));
    let mut views = views.unwrap_or_default().into_iter();
    let view = views.find(|(name, _)| *name == server).map(|(_, v)| v);
    let concerns_server = |d: &monsooncart_proxy::decision::Decision| {
        d.service == service && d.server.as_ref() == Some(&server)
    };
    let decisions = decisions(engine)
        .into_iter()
        .filter(concerns_server)
        .collect();
    let ledger = match &engine.shared().components.floors {
        Some(floors) => floors.view(service.clone()).await,
        None => None,
    };
    json(&ServerExplanation {
        view,
        ledger,
        decisions,
    })
}
