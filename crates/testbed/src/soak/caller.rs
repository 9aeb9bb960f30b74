//! Callers, which resolve daemon addresses, cache the response and reuse their connections.

use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::client::conn::http1;
use hyper_util::rt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::{Options, daemon, fleet, ledger, operator};
use crate::{site, worker};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of each request, which its `x-deadline-ms` header announces.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after the timeout for which a caller still waits for the response.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);

/// Maximum time for which resolved addresses are cached: three times their lifetime.
const MAX_CACHE_TIME: Duration = Duration::from_secs(3);

/// Mean time between two requests of a caller, in seconds.
const MEAN_INTERVAL_SECONDS: f64 = 0.15;

/// Share of unrepeatable requests.
const UNREPEATABLE_SHARE: f64 = 0.6;

/// Shares of requests with the key of a limited organisation, and with a key of nobody.
const LIMITED_SHARE: f64 = 0.3;
const UNKNOWN_SHARE: f64 = 0.02;

/// Share of requests after which a caller closes its connection.
const CLOSE_SHARE: f64 = 0.1;

type Sender = http1::SendRequest<Full<Bytes>>;

pub struct Callers {
    stop: CancellationToken,
    tasks: TaskTracker,
}

pub fn start(fleet: &Arc<fleet::Fleet>, options: &Options) -> Callers {
    let callers = Callers {
        stop: CancellationToken::new(),
        tasks: TaskTracker::new(),
    };
    for number in 0..options.callers {
        let seed = options.seed.wrapping_mul(1000).wrapping_add(number as u64);
        let caller = Caller {
            fleet: fleet.clone(),
            rng: StdRng::seed_from_u64(seed),
            addresses: Vec::new(),
            refresh_at: Instant::now(),
            connection: None,
        };
        let run = caller.run(callers.stop.clone());
        callers.tasks.spawn(run);
    }
    callers
}

impl Callers {
    /// Stops the callers after their requests in flight have completed.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// A connection to one run of a daemon.
struct Connection {
    sender: Sender,
    /// Address and run number.
    daemon: (net::IpAddr, u32),
}

struct Caller {
    fleet: Arc<fleet::Fleet>,
    rng: StdRng,
    addresses: Vec<net::SocketAddr>,
    refresh_at: Instant,
    connection: Option<Connection>,
}

impl Caller {
    async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let draw: f64 = self.rng.random_range(1e-9..1.0);
            tokio::time::sleep(Duration::from_secs_f64(-draw.ln() * MEAN_INTERVAL_SECONDS)).await;
            let Some(connection) = self.take_or_open_connection().await else {
                continue;
            };
            self.send_request(connection).await;
        }
    }

    /// Returns the open connection, or a new one to an address that the directory lists.
    async fn take_or_open_connection(&mut self) -> Option<Connection> {
        if let Some(connection) = self
            .connection
            .take_if(|connection| !connection.sender.is_closed())
        {
            return Some(connection);
        }
        if Instant::now() >= self.refresh_at {
            let daemon = self.fleet.daemons.choose(&mut self.rng)?;
            if let Some(addresses) = resolve(daemon).await {
                self.addresses = addresses;
                self.refresh_at =
                    Instant::now() + MAX_CACHE_TIME.mul_f64(self.rng.random_range(0.3..1.0));
            }
        }
        let address = *self.addresses.choose(&mut self.rng)?;
        let mut daemons = self.fleet.daemons.iter();
        let daemon = daemons.find(|daemon| daemon.caller_address() == address)?;
        let run_number = daemon.run_number();
        let sender = connect(address).await?;
        Some(Connection {
            sender,
            daemon: (daemon.ip, run_number),
        })
    }

    fn choose_key(&mut self) -> &'static str {
        let [unlimited, limited] = operator::ORGANISATIONS;
        let draw: f64 = self.rng.random();
        match () {
            () if draw < UNKNOWN_SHARE => operator::UNKNOWN_KEY,
            () if draw < UNKNOWN_SHARE + LIMITED_SHARE => limited.key,
            () => unlimited.key,
        }
    }

    async fn send_request(&mut self, mut connection: Connection) {
        let id = self.fleet.ledger.next_id();
        let repeatable = !self.rng.random_bool(UNREPEATABLE_SHARE);
        let key = self.choose_key();
        let request = build_request(&id, repeatable, key);
        if connection.sender.ready().await.is_err() {
            return;
        }
        let sent_at = Instant::now();
        let (outcome, reusable) = exchange(&mut connection.sender, request, &id).await;
        self.fleet.ledger.record_request(ledger::Request {
            id,
            repeatable,
            key,
            daemon: connection.daemon,
            sent_at,
            completed_at: Instant::now(),
            outcome,
        });
        if reusable && !self.rng.random_bool(CLOSE_SHARE) {
            self.connection = Some(connection);
        }
    }
}

fn build_request(id: &str, repeatable: bool, key: &'static str) -> http::Request<Full<Bytes>> {
    let (method, path, body) = match repeatable {
        true => ("GET", format!("/read/{id}"), ""),
        false => ("POST", format!("/buy/{id}"), "pay"),
    };
    let mut request = http::Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method.parse().unwrap_or_default();
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert("host", http::HeaderValue::from_static(site::HOST));
    headers.insert("x-credential", http::HeaderValue::from_static(key));
    headers.insert("x-deadline-ms", (REQUEST_TIMEOUT.as_millis() as u64).into());
    if let Ok(id) = http::HeaderValue::from_str(id) {
        headers.insert("x-attempt-id", id);
    }
    request
}

/// Sends a request; returns its outcome and whether its connection can be reused.
async fn exchange(
    sender: &mut Sender,
    request: http::Request<Full<Bytes>>,
    id: &str,
) -> (ledger::Outcome, bool) {
    let response = async {
        let response = sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let is_own = head.headers.get("x-attempt-id").is_some_and(|v| v == id);
        let is_complete = body == worker::BODY;
        let is_closing = head.headers.get("connection").is_some_and(|v| v == "close");
        let status = head.status.as_u16();
        Some((
            ledger::Outcome::Answered(status, is_own && is_complete),
            !is_closing,
        ))
    };
    let outcome = tokio::time::timeout(REQUEST_TIMEOUT + RESPONSE_GRACE, response).await;
    outcome
        .ok()
        .flatten()
        .unwrap_or((ledger::Outcome::Aborted, false))
}

async fn connect(address: net::SocketAddr) -> Option<Sender> {
    let open = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    };
    tokio::time::timeout(CONNECT_TIMEOUT, open)
        .await
        .ok()
        .flatten()
}

/// Returns the addresses of daemons that a daemon's directory lists.
pub async fn resolve(daemon: &daemon::Daemon) -> Option<Vec<net::SocketAddr>> {
    let path = format!("/api/resolve?name={}&zone={}", site::HOST, site::ZONE);
    let response = get(daemon.directory_address(), &path).await?;
    let response: serde_json::Value = serde_json::from_slice(&response.1).ok()?;
    let addresses = response["addresses"].as_array()?.iter();
    let addresses = addresses.filter_map(|a| a.as_str()?.parse().ok());
    Some(addresses.collect())
}

/// Sends a GET request on a new connection; returns status and body.
pub async fn get(address: net::SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let mut sender = connect(address).await?;
    let mut request = build_request("", true, operator::ORGANISATIONS[0].key);
    *request.uri_mut() = path.parse().ok()?;
    let response = async {
        let response = sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        Some((
            status,
            response.into_body().collect().await.ok()?.to_bytes(),
        ))
    };
    tokio::time::timeout(REQUEST_TIMEOUT + RESPONSE_GRACE, response)
        .await
        .ok()
        .flatten()
}

/// Sends one request; returns whether the daemon served it.
pub async fn is_served(daemon: &daemon::Daemon, id: &str) -> bool {
    let Some(mut sender) = connect(daemon.caller_address()).await else {
        return false;
    };
    let request = build_request(id, true, operator::ORGANISATIONS[0].key);
    let (outcome, _) = exchange(&mut sender, request, id).await;
    outcome == ledger::Outcome::Answered(200, true)
}
