//! Fixtures: an engine with backend servers, and callers.

use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use monsooncart_config::routing::access;
use monsooncart_config::{
    object, objective, organisation, route, rules, server as spec, service, settings, snapshot,
};
use monsooncart_proxy::{config, engine, interface, pool};
use monsooncart_testbed::backend::{options, server};
use monsooncart_types::{share, size, span};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

use crate::fakes;

/// Key of the organisation with access to every service.
pub const KEY: &str = "gazette-key";

/// Key of an organisation with access only to another service.
pub const OTHER_KEY: &str = "council-key";

/// Maximum time for which a test waits for a condition.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub async fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Binds a listener to an IP address that no other test uses, so that its port is not reused.
pub async fn bind_exclusive_listener() -> TcpListener {
    TcpListener::bind("127.0.0.3:0").await.unwrap()
}

/// Returns an address that refuses connections: no other test listens on its IP address.
pub async fn closed_address() -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.2:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Starts a healthy backend server.
pub async fn start_backend(name: &str) -> server::Server {
    server::Server::start(bind_listener().await, server_options(name)).unwrap()
}

/// Options of a server with a slot for every request of a test.
fn server_options(name: &str) -> options::Options {
    options::Options {
        name: name.to_owned(),
        slots: 64,
        queue: 64,
        ..options::Options::default()
    }
}

/// Starts a backend server on an IP address of its own, so that no other test reuses its port
/// while it refuses connections.
pub async fn start_exclusive_backend(name: &str) -> server::Server {
    let listener = TcpListener::bind("127.0.0.4:0").await.unwrap();
    server::Server::start(listener, server_options(name)).unwrap()
}

pub fn route(methods: &[&str], path: &str, repeatable: bool) -> route::Route {
    route::Route {
        methods: methods.iter().map(|m| (*m).to_owned()).collect(),
        path: Bytes::copy_from_slice(path.as_bytes()),
        repeatable,
        ticket: route::Ticket::None,
        timeout: span::Span(TEST_TIMEOUT),
        body_limit: None,
    }
}

/// Routes of the service `wiredesk`.
pub fn routes() -> Vec<route::Route> {
    let mut purchase = route(&["POST"], "/purchase/**", false);
    purchase.ticket = route::Ticket::Accepted;
    let mut release = route(&["POST"], "/release", false);
    release.ticket = route::Ticket::Required;
    let mut small = route(&["POST"], "/small", true);
    small.body_limit = Some(size::Size(100 << 10));
    let mut quick = route(&[], "/quick", true);
    quick.timeout = span::Span(Duration::from_millis(300));
    vec![
        route(&["GET"], "/items/**", true),
        route(&[], "/documents/**", true),
        route(&["POST"], "/upload", false),
        route(&["POST"], "/order/**", false),
        purchase,
        release,
        small,
        quick,
    ]
}

pub fn server_spec(name: &str, address: net::SocketAddr) -> spec::Server {
    spec::Server {
        name: name.parse().unwrap(),
        address,
        data_centre: "attica-a".parse().unwrap(),
        slots: 64,
        connections: 330,
        leaving: false,
        remaining_warm_up: span::Span::default(),
        started_millis: 0,
    }
}

pub fn service(servers: Vec<spec::Server>) -> service::Service {
    service::Service {
        name: "wiredesk".parse().unwrap(),
        floor: "50%".parse().unwrap(),
        detection: rules::Detection::Balanced,
        objective: objective::Objective {
            availability: share::Share::default(),
            fast: share::Share::default(),
            latency: span::Span(Duration::from_millis(200)),
        },
        health_path: Some("/health".to_owned()),
        routes: routes(),
        servers,
    }
}

fn organisation(name: &str, key: &str, services: &[&str]) -> organisation::Organisation {
    organisation::Organisation {
        name: name.parse().unwrap(),
        keys: vec![organisation::Digest::of(key.as_bytes())],
        services: services.iter().map(|s| s.parse().unwrap()).collect(),
        weight: 1,
    }
}

pub fn snapshot(service: &service::Service) -> snapshot::Snapshot {
    let key = object::Key::Service(service.name.clone());
    let value = object::Value::Service(Some(Box::new(service.clone())));
    let organisations = vec![
        organisation("gazette", KEY, &[]),
        organisation("council", OTHER_KEY, &["purse-api"]),
    ];
    snapshot::Snapshot::default()
        .with_object(&key, 1, value)
        .unwrap()
        .with_object(
            &object::Key::Organisations(0),
            1,
            object::Value::Organisations(organisations),
        )
        .unwrap()
}

/// An engine that serves a listener, with its fakes.
pub struct Proxy {
    pub engine: engine::Engine,
    pub address: net::SocketAddr,
    pub fakes: fakes::Fakes,
    pub registry: prometheus::Registry,
    stop: Option<oneshot::Sender<()>>,
    serve_task: tokio::task::JoinHandle<()>,
}

pub fn limits() -> settings::Limits {
    settings::Limits::default()
}

/// Starts an engine with servers at the given addresses.
pub async fn start_proxy(addresses: &[net::SocketAddr]) -> Proxy {
    start_proxy_with(addresses, limits(), Arc::new(fakes::Naive)).await
}

pub async fn start_proxy_with(
    addresses: &[net::SocketAddr],
    limits: settings::Limits,
    policies: Arc<dyn interface::Policies>,
) -> Proxy {
    start_proxy_at(bind_listener().await, addresses, limits, policies)
}

pub fn start_proxy_at(
    listener: TcpListener,
    addresses: &[net::SocketAddr],
    limits: settings::Limits,
    policies: Arc<dyn interface::Policies>,
) -> Proxy {
    let servers = addresses.iter().enumerate();
    let servers = servers.map(|(i, address)| server_spec(&format!("server-{i}"), *address));
    let service = service(servers.collect());
    let config = config::Config::new("entry-1".parse().unwrap(), "attica-a".parse().unwrap());
    start_engine(
        listener,
        config.limits(limits).policies(policies),
        snapshot(&service),
    )
}

/// Starts an engine that has no configuration yet.
pub async fn start_unconfigured_proxy(policies: Arc<dyn interface::Policies>) -> Proxy {
    let config = config::Config::new("entry-1".parse().unwrap(), "attica-a".parse().unwrap());
    start_engine(
        bind_listener().await,
        config.policies(policies),
        snapshot::Snapshot::default(),
    )
}

pub fn start_engine(
    listener: TcpListener,
    config: config::Config,
    snapshot: snapshot::Snapshot,
) -> Proxy {
    let fakes = fakes::Fakes::default();
    let registry = prometheus::Registry::new();
    let engine = config
        .pool(pool::Limits::default())
        .fleet(fakes.fleet.clone())
        .claims(fakes.claims.clone())
        .meter(fakes.meter.clone())
        .registry(&registry)
        .build()
        .unwrap();
    engine.configure(Arc::new(snapshot));
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel::<()>();
    let serve_task = tokio::spawn(engine.serve(listener, async move {
        let _ = stopped.await;
    }));
    Proxy {
        engine,
        address,
        fakes,
        registry,
        stop: Some(stop),
        serve_task,
    }
}

impl Proxy {
    /// The metrics as an operator reads them.
    pub fn metrics(&self) -> String {
        let families = self.registry.gather();
        let encoder = prometheus::TextEncoder::new();
        encoder.encode_to_string(&families).unwrap()
    }

    /// Configures the next version of the routing, with this access.
    pub fn set_access(&self, access: access::Access) {
        let snapshot = self.engine.snapshot();
        let mut routing = snapshot.routing().unwrap().as_ref().clone();
        routing.access = access;
        let version = snapshot.version(&object::Key::Routing).unwrap() + 1;
        let routing = object::Value::Routing(Box::new(routing));
        let next = snapshot.with_object(&object::Key::Routing, version, routing);
        self.engine.configure(Arc::new(next.unwrap()));
    }

    /// Starts a planned stop of the listener.
    pub fn stop(&mut self) {
        self.stop = None;
    }

    /// Whether the listener has stopped and all requests have completed.
    pub fn is_finished(&self) -> bool {
        self.serve_task.is_finished()
    }

    /// Waits until the listener has stopped and all requests have completed.
    pub async fn join(self) {
        tokio::time::timeout(TEST_TIMEOUT, self.serve_task)
            .await
            .unwrap()
            .unwrap();
    }
}

/// A complete response as received by a caller.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.map_or("", |value| value.to_str().unwrap())
    }

    pub fn echo(&self) -> server::Echo {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// Builds a request with the key that has access to every service.
pub fn request(method: &str, target: &str, body: impl Into<Bytes>) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(target)
        .header("host", "wires.example")
        .header("authorization", format!("Bearer {KEY}"))
        .header("x-request-id", target)
        .body(Full::new(body.into()))
        .unwrap()
}

pub async fn connect<B>(address: net::SocketAddr) -> http1::SendRequest<B>
where
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends a request on a new connection; fails if the response is truncated.
pub async fn try_send<B>(
    address: net::SocketAddr,
    request: Request<B>,
) -> Result<Response, hyper::Error>
where
    B: http_body::Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut sender = connect(address).await;
    let response = sender.send_request(request).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body,
    })
}

pub async fn send(address: net::SocketAddr, request: Request<Full<Bytes>>) -> Response {
    let response = tokio::time::timeout(TEST_TIMEOUT, try_send(address, request));
    response.await.unwrap().unwrap()
}

/// Waits until a condition is met.
pub async fn wait_until(event: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "{event} did not happen within the test timeout"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
