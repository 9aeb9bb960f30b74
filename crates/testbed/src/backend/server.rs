//! The HTTP server.

use std::io;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use sha2::Digest as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::{arrivals, body, crossing, mode, options, pattern, slots, socket, starts};

/// Header of a poison request, which crashes the server that executes it.
pub const POISON: &str = "x-poison";

/// Header with the request id of the caller.
pub const ID: &str = "x-request-id";

/// Path of the health endpoint.
pub const HEALTH: &str = "/health";

/// Factor on the service time during a cold start.
const COLD_FACTOR: f64 = 10.0;

/// Time for which a crashed server accepts no connections.
const CRASH_DOWNTIME: Duration = Duration::from_millis(500);

/// Retry delay of binding the listener again.
const REBIND_DELAY: Duration = Duration::from_millis(5);

/// Body of a small response: the request as the server received it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Echo {
    /// Name of the server.
    pub server: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Id of the request.
    pub id: String,
    /// Organisation set by the fleet.
    pub organisation: String,
    /// Size of the request body in bytes.
    pub length: u64,
    /// SHA-256 of the request body, in hexadecimal digits.
    pub sha256: String,
}

struct Shared {
    options: options::Options,
    slots: slots::Slots,
    log: starts::Log,
    arrivals: arrivals::Arrivals,
    crossing: crossing::Crossing,
    mode: watch::Sender<mode::Mode>,
    mode_since: Mutex<Instant>,
    started: Mutex<Instant>,
    random: Mutex<StdRng>,
    connections: AtomicU64,
    silent_below: Arc<AtomicU64>,
    /// Number of crashes; each change breaks all connections.
    crashes: watch::Sender<u64>,
}

/// A running backend server; stopped when the last clone is dropped.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
    address: net::SocketAddr,
    _running: Arc<watch::Sender<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    /// Serves a bound listener.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no local address.
    pub fn start(listener: TcpListener, options: options::Options) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            slots: slots::Slots::new(options.slots, options.queue),
            log: starts::Log::default(),
            arrivals: arrivals::Arrivals::default(),
            crossing: crossing::Crossing::default(),
            mode: watch::Sender::new(mode::Mode::default()),
            mode_since: Mutex::new(Instant::now()),
            started: Mutex::new(Instant::now()),
            random: Mutex::new(StdRng::seed_from_u64(options.seed)),
            connections: AtomicU64::new(0),
            silent_below: Arc::default(),
            crashes: watch::Sender::new(0),
            options,
        });
        let (running, stop) = watch::channel(());
        tokio::spawn(listen(shared.clone(), listener, address, stop));
        Ok(Self {
            shared,
            address,
            _running: Arc::new(running),
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the fault mode.
    #[must_use]
    pub fn mode(&self) -> mode::Mode {
        self.shared.mode.borrow().clone()
    }

    /// Sets the fault mode.
    pub fn set_mode(&self, mode: mode::Mode) {
        *lock(&self.shared.mode_since) = Instant::now();
        if mode.silent && !self.mode().silent {
            let opened = self.shared.connections.load(Ordering::Acquire);
            self.shared.silent_below.store(opened, Ordering::Release);
        }
        self.shared.mode.send_replace(mode);
    }

    /// Returns the log of started requests.
    #[must_use]
    pub fn starts(&self) -> starts::Starts {
        self.shared.log.all()
    }

    /// Returns the arrival times since a time, including rejected and waiting requests, in order.
    #[must_use]
    pub fn arrivals(&self, since: Instant) -> Vec<Instant> {
        self.shared.arrivals.since(since)
    }

    /// Returns the number of accepted connections.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Acquire)
    }

    /// Breaks all connections and accepts none until the down time has passed.
    pub fn crash(&self) {
        self.shared.crash();
    }
}

async fn listen(
    shared: Arc<Shared>,
    listener: TcpListener,
    address: net::SocketAddr,
    mut stop: watch::Receiver<()>,
) {
    let mut listener = Some(listener);
    let mut modes = shared.mode.subscribe();
    let mut crashes = shared.crashes.subscribe();
    loop {
        let refuse = modes.borrow_and_update().refuse;
        if refuse {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let Some(open) = &listener else {
            tokio::select! {
                _ = stop.changed() => return,
                _ = modes.changed() => {}
                () = tokio::time::sleep(REBIND_DELAY) => {}
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(connection(shared.clone(), stream, stop.clone()));
                }
            }
            _ = crashes.changed() => {
                listener = None;
                tokio::time::sleep(CRASH_DOWNTIME).await;
                *lock(&shared.started) = Instant::now();
            }
            _ = modes.changed() => {}
            _ = stop.changed() => return,
        }
    }
}

async fn connection(shared: Arc<Shared>, stream: TcpStream, mut stop: watch::Receiver<()>) {
    let number = shared.connections.fetch_add(1, Ordering::AcqRel);
    let mut crashes = shared.crashes.subscribe();
    let _ = stream.set_nodelay(true);
    let socket = socket::Socket::new(stream, number, shared.silent_below.clone());
    let service = service_fn(|request| {
        let shared = shared.clone();
        async move { Ok::<_, std::convert::Infallible>(shared.respond(request).await) }
    });
    let serving = http1::Builder::new()
        .timer(hyper_util::rt::TokioTimer::new())
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        result = serving => {
            if let Err(error) = result {
                log::debug!(error:%; "backend: connection failed");
            }
        }
        _ = crashes.changed() => {}
        _ = stop.changed() => {}
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

impl Shared {
    fn crash(&self) {
        self.log.crash();
        if self.options.crash_exits {
            log::error!("backend: poison request received; exiting");
            std::process::exit(101);
        }
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<body::Body> {
        let mode = self.mode.borrow().clone();
        let active = mode.is_active(lock(&self.mode_since).elapsed());
        let health = request.uri().path() == HEALTH;
        if !health {
            self.arrivals.add();
        }
        let mut response = if health {
            self.health(&mode, active).await
        } else if mode.shed {
            self.reject()
        } else {
            match self.slots.take().await {
                Some(slot) => self.execute(request, &mode, active, slot).await,
                None => self.reject(),
            }
        };
        if mode.leaving {
            let value = HeaderValue::from_static("true");
            response.headers_mut().insert("monsooncart-leaving", value);
        }
        response
    }

    async fn health(&self, mode: &mode::Mode, active: bool) -> Response<body::Body> {
        let mut response = Response::new(body::Body::text(Bytes::from_static(b"{}")));
        if active && !mode.lying {
            if mode.stall {
                std::future::pending::<()>().await;
            }
            if mode.errors > 0.0 || mode.slow > 1.0 || mode.shed {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            }
        }
        response
    }

    /// Returns the response to a request that is not run.
    fn reject(&self) -> Response<body::Body> {
        self.log.shed();
        let mut response = Response::new(body::Body::text(Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        let outcome = HeaderValue::from_static("not-run");
        headers.insert("monsooncart-outcome", outcome);
        headers.insert(http::header::RETRY_AFTER, HeaderValue::from_static("1"));
        response
    }

    async fn execute(
        &self,
        request: Request<Incoming>,
        mode: &mode::Mode,
        active: bool,
        slot: slots::Slot,
    ) -> Response<body::Body> {
        let (head, body) = request.into_parts();
        let identity = self.log_start(&head);
        if head.headers.contains_key(POISON) {
            self.crash();
            std::future::pending::<()>().await;
        }
        let Some((length, sha256)) = read(body).await else {
            // The connection to the caller broke, so that no response can be sent.
            return std::future::pending().await;
        };
        let slow = if active { mode.slow } else { 1.0 };
        tokio::time::sleep(self.service_time(slow)).await;
        if active && mode.stall {
            std::future::pending::<()>().await;
        }
        let failed = active && lock(&self.random).random::<f64>() < mode.errors;
        let identity = if mode.crossed {
            self.crossing.swap(identity).await
        } else {
            identity
        };
        let echo = Echo {
            server: self.options.name.clone(),
            method: head.method.to_string(),
            target: identity.target.clone(),
            id: identity.id.clone(),
            organisation: text(&head.headers, "monsooncart-organisation"),
            length,
            sha256,
        };
        let body = match body_size(&identity.target).filter(|_| !failed) {
            Some(total) => body::Body::pattern(pattern::Pattern::new(&identity.id), total),
            None => body::Body::text(serde_json::to_vec(&echo).unwrap_or_default().into()),
        };
        let body = body.cut_after(mode.cut_after).holding(slot);
        let mut response = Response::new(body);
        if failed {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        let attempt = HeaderValue::from_str(&identity.attempt);
        if let Some(attempt) = attempt.ok().filter(|a| mode.echo && !a.is_empty()) {
            response
                .headers_mut()
                .insert("monsooncart-attempt", attempt);
        }
        response
    }

    /// Logs the start of a request.
    fn log_start(&self, head: &http::request::Parts) -> crossing::Identity {
        let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut id = text(&head.headers, ID);
        if id.is_empty() {
            id = text(&head.headers, "monsooncart-ticket");
        }
        let identity = crossing::Identity {
            id,
            attempt: text(&head.headers, "monsooncart-attempt"),
            target: target.to_owned(),
        };
        let at = lock(&self.started).elapsed();
        self.log.start(starts::Start {
            id: identity.id.clone(),
            attempt: identity.attempt.clone(),
            method: head.method.to_string(),
            target: identity.target.clone(),
            at_millis: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
        });
        identity
    }

    fn service_time(&self, slow: f64) -> Duration {
        let options = &self.options;
        let noise = lock(&self.random).random::<f64>() * 2.0 - 1.0;
        let cold = lock(&self.started).elapsed() < options.cold_start;
        let cold = if cold { COLD_FACTOR } else { 1.0 };
        let factor = (1.0 + noise * options.noise) * slow * cold;
        options.service_time.mul_f64(factor.max(0.0))
    }
}

/// Returns the length and SHA-256 of a body; `None` if it was truncated.
async fn read(mut body: Incoming) -> Option<(u64, String)> {
    let mut length = 0;
    let mut digest = sha2::Sha256::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.ok()?.data_ref() {
            length += data.len() as u64;
            digest.update(data);
        }
    }
    Some((length, hex::encode(digest.finalize())))
}

/// Returns the `bytes` parameter of the query.
fn body_size(target: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == "bytes")?.1.parse().ok()
}
