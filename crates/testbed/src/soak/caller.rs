//! Callers: they ask for addresses, keep the answer, and keep their connections.

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

use super::{Options, daemon, fleet, ledger};
use crate::{site, worker};

/// Time for a connection to be established.
const CONNECT: Duration = Duration::from_secs(1);

/// Deadline of requests.
const DEADLINE: Duration = Duration::from_secs(4);

/// Time beyond the deadline after which a caller gives up on an answer.
const PATIENCE: Duration = Duration::from_secs(1);

/// Longest time for which an answer about addresses is kept: three times its lifetime.
const KEEP: Duration = Duration::from_secs(3);

/// Mean pause between two requests of a caller, in seconds.
const PAUSE: f64 = 0.15;

/// Share of requests that may not run twice.
const ONCE: f64 = 0.6;

/// Share of requests after which a caller closes its connection.
const CLOSES: f64 = 0.1;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Callers at work.
pub struct Callers {
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// Starts the callers.
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
            until: Instant::now(),
            open: None,
        };
        let work = caller.work(callers.stop.clone());
        callers.tasks.spawn(work);
    }
    callers
}

impl Callers {
    /// Ends the callers once their requests have ended.
    pub async fn stop(self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

/// A connection to a run of a daemon.
struct Open {
    sender: Sender,
    daemon: (net::IpAddr, u32),
}

struct Caller {
    fleet: Arc<fleet::Fleet>,
    rng: StdRng,
    addresses: Vec<net::SocketAddr>,
    until: Instant,
    open: Option<Open>,
}

impl Caller {
    async fn work(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let draw: f64 = self.rng.random_range(1e-9..1.0);
            tokio::time::sleep(Duration::from_secs_f64(-draw.ln() * PAUSE)).await;
            let Some(open) = self.connection().await else {
                continue;
            };
            self.request(open).await;
        }
    }

    /// The open connection, or a new one to an address that the directory names.
    async fn connection(&mut self) -> Option<Open> {
        if let Some(open) = self.open.take_if(|open| !open.sender.is_closed()) {
            return Some(open);
        }
        if Instant::now() >= self.until {
            let asked = self.fleet.daemons.choose(&mut self.rng)?;
            if let Some(addresses) = resolve(asked).await {
                self.addresses = addresses;
                self.until = Instant::now() + KEEP.mul_f64(self.rng.random_range(0.3..1.0));
            }
        }
        let address = *self.addresses.choose(&mut self.rng)?;
        let mut daemons = self.fleet.daemons.iter();
        let daemon = daemons.find(|daemon| daemon.callers() == address)?;
        let run = daemon.run();
        let sender = connect(address).await?;
        Some(Open {
            sender,
            daemon: (daemon.ip, run),
        })
    }

    async fn request(&mut self, mut open: Open) {
        let id = self.fleet.ledger.next();
        let repeatable = !self.rng.random_bool(ONCE);
        let asked = request(&id, repeatable);
        if open.sender.ready().await.is_err() {
            return;
        }
        let (end, keep) = exchange(&mut open.sender, asked, &id).await;
        self.fleet.ledger.ended(ledger::Entry {
            id,
            repeatable,
            daemon: open.daemon,
            ended: Instant::now(),
            end,
        });
        if keep && !self.rng.random_bool(CLOSES) {
            self.open = Some(open);
        }
    }
}

fn request(id: &str, repeatable: bool) -> http::Request<Full<Bytes>> {
    let (method, path, body) = match repeatable {
        true => ("GET", format!("/read/{id}"), ""),
        false => ("POST", format!("/buy/{id}"), "pay"),
    };
    let mut request = http::Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method.parse().unwrap_or_default();
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert("host", http::HeaderValue::from_static(site::HOST));
    headers.insert("x-deadline-ms", (DEADLINE.as_millis() as u64).into());
    if let Ok(id) = http::HeaderValue::from_str(id) {
        headers.insert("x-attempt-id", id);
    }
    request
}

/// Sends a request; gives how it ended, and whether its connection may be used again.
async fn exchange(
    sender: &mut Sender,
    request: http::Request<Full<Bytes>>,
    id: &str,
) -> (ledger::End, bool) {
    let answered = async {
        let answer = sender.send_request(request).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let own = head.headers.get("x-attempt-id").is_some_and(|v| v == id);
        let whole = body == worker::BODY;
        let closes = head.headers.get("connection").is_some_and(|v| v == "close");
        let status = head.status.as_u16();
        Some((ledger::End::Answered(status, own && whole), !closes))
    };
    let answered = tokio::time::timeout(DEADLINE + PATIENCE, answered).await;
    answered.ok().flatten().unwrap_or((ledger::End::Cut, false))
}

async fn connect(address: net::SocketAddr) -> Option<Sender> {
    let open = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    };
    tokio::time::timeout(CONNECT, open).await.ok().flatten()
}

/// The addresses that a daemon's directory names.
async fn resolve(daemon: &daemon::Daemon) -> Option<Vec<net::SocketAddr>> {
    let path = format!("/api/resolve?name={}&zone={}", site::HOST, site::ZONE);
    let answer = get(daemon.directory(), &path).await?;
    let answer: serde_json::Value = serde_json::from_slice(&answer.1).ok()?;
    let named = answer["addresses"].as_array()?.iter();
    let named = named.filter_map(|a| a.as_str()?.parse().ok());
    Some(named.collect())
}

/// The status and body of a path, on a connection of its own.
pub async fn get(address: net::SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let mut sender = connect(address).await?;
    let mut request = request("", true);
    *request.uri_mut() = path.parse().ok()?;
    let asked = async {
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        Some((status, answer.into_body().collect().await.ok()?.to_bytes()))
    };
    tokio::time::timeout(DEADLINE + PATIENCE, asked)
        .await
        .ok()
        .flatten()
}

/// Whether a daemon serves a request.
pub async fn try_once(daemon: &daemon::Daemon, id: &str) -> bool {
    let Some(mut sender) = connect(daemon.callers()).await else {
        return false;
    };
    let (end, _) = exchange(&mut sender, request(id, true), id).await;
    end == ledger::End::Answered(200, true)
}
