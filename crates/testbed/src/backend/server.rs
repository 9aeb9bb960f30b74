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
pub const POISON_HEADER: &str = "x-poison";

/// Header with the request id of the caller.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Path of the health endpoint.
pub const HEALTH_PATH: &str = "/health";

/// Factor by which the service time is multiplied during a cold start.
const COLD_FACTOR: f64 = 10.0;

/// Time for which a crashed server accepts no connections.
const CRASH_DOWNTIME: Duration = Duration::from_millis(500);

/// Delay between attempts to bind the listener again.
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
    mode_set_at: Mutex<Instant>,
    started_at: Mutex<Instant>,
    random: Mutex<StdRng>,
    connections: AtomicU64,
    /// Connections with a number below this are silent.
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
            mode_set_at: Mutex::new(Instant::now()),
            started_at: Mutex::new(Instant::now()),
            random: Mutex::new(StdRng::seed_from_u64(options.seed)),
            connections: AtomicU64::new(0),
            silent_below: Arc::default(),
            crashes: watch::Sender::new(0),
            options,
        });
        let (running, stop) = watch::channel(());
        tokio::spawn(accept_connections(shared.clone(), listener, address, stop));
        Ok(Self {
            shared,
            address,
            _running: Arc::new(running),
        })
    }

    /// Listen address.
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
        *lock(&self.shared.mode_set_at) = Instant::now();
        if mode.silent && !self.mode().silent {
            let opened = self.shared.connections.load(Ordering::Acquire);
            self.shared.silent_below.store(opened, Ordering::Release);
        }
        self.shared.mode.send_replace(mode);
    }

    /// Returns the log of started requests.
    #[must_use]
    pub fn starts(&self) -> starts::Starts {
        self.shared.log.contents()
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

    /// Breaks all connections and accepts none for a short time; exits the process instead if
    /// [`options::Options::crash_exits`] is set.
    pub fn crash(&self) {
        self.shared.crash();
    }
}

async fn accept_connections(
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
        let Some(bound) = &listener else {
            tokio::select! {
                _ = stop.changed() => return,
                _ = modes.changed() => {}
                () = tokio::time::sleep(REBIND_DELAY) => {}
            }
            continue;
        };
        tokio::select! {
            accepted = bound.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_connection(shared.clone(), stream, stop.clone()));
                }
            }
            _ = crashes.changed() => {
                listener = None;
                tokio::time::sleep(CRASH_DOWNTIME).await;
                *lock(&shared.started_at) = Instant::now();
            }
            _ = modes.changed() => {}
            _ = stop.changed() => return,
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, mut stop: watch::Receiver<()>) {
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

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

impl Shared {
    fn crash(&self) {
        self.log.record_crash();
        if self.options.crash_exits {
            log::error!("backend: crashed by a poison or control request; exiting with code 101");
            std::process::exit(101);
        }
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<body::Body> {
        let mode = self.mode.borrow().clone();
        let is_active = mode.is_active(lock(&self.mode_set_at).elapsed());
        let is_health_check = request.uri().path() == HEALTH_PATH;
        if !is_health_check {
            self.arrivals.add();
        }
        let mut response = if is_health_check {
            self.respond_to_health_check(&mode, is_active).await
        } else if mode.shed {
            self.reject()
        } else {
            match self.slots.take().await {
                Some(slot) => self.execute(request, &mode, is_active, slot).await,
                None => self.reject(),
            }
        };
        if mode.leaving {
            let value = HeaderValue::from_static("true");
            response.headers_mut().insert("monsooncart-leaving", value);
        }
        response
    }

    async fn respond_to_health_check(
        &self,
        mode: &mode::Mode,
        is_active: bool,
    ) -> Response<body::Body> {
        let mut response = Response::new(body::Body::text(Bytes::from_static(b"{}")));
        if is_active && !mode.lying {
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
        self.log.record_shed();
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
        is_active: bool,
        slot: slots::Slot,
    ) -> Response<body::Body> {
        let (head, body) = request.into_parts();
        let identity = self.log_start(&head);
        if head.headers.contains_key(POISON_HEADER) {
            self.crash();
            std::future::pending::<()>().await;
        }
        let Some((length, sha256)) = read_and_hash(body).await else {
            // The connection to the caller broke, so that no response can be sent.
            return std::future::pending().await;
        };
        let slow_factor = if is_active { mode.slow } else { 1.0 };
        tokio::time::sleep(self.service_time(slow_factor)).await;
        if is_active && mode.stall {
            std::future::pending::<()>().await;
        }
        let is_failed = is_active && lock(&self.random).random::<f64>() < mode.errors;
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
            organisation: header_text(&head.headers, "monsooncart-organisation"),
            length,
            sha256,
        };
        let body = match requested_body_bytes(&identity.target).filter(|_| !is_failed) {
            Some(total) => body::Body::pattern(pattern::Pattern::new(&identity.id), total),
            None => body::Body::text(serde_json::to_vec(&echo).unwrap_or_default().into()),
        };
        let body = body.cut_after(mode.cut_after).holding(slot);
        let mut response = Response::new(body);
        if is_failed {
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
        let mut id = header_text(&head.headers, REQUEST_ID_HEADER);
        if id.is_empty() {
            id = header_text(&head.headers, "monsooncart-ticket");
        }
        let identity = crossing::Identity {
            id,
            attempt: header_text(&head.headers, "monsooncart-attempt"),
            target: target.to_owned(),
        };
        let since_start = lock(&self.started_at).elapsed();
        self.log.record_start(starts::Start {
            id: identity.id.clone(),
            attempt: identity.attempt.clone(),
            method: head.method.to_string(),
            target: identity.target.clone(),
            at_millis: u64::try_from(since_start.as_millis()).unwrap_or(u64::MAX),
        });
        identity
    }

    fn service_time(&self, slow_factor: f64) -> Duration {
        let options = &self.options;
        let noise = lock(&self.random).random::<f64>() * 2.0 - 1.0;
        let is_cold = lock(&self.started_at).elapsed() < options.cold_start;
        let cold_factor = if is_cold { COLD_FACTOR } else { 1.0 };
        let factor = (1.0 + noise * options.noise) * slow_factor * cold_factor;
        options.service_time.mul_f64(factor.max(0.0))
    }
}

/// Returns the length and SHA-256 of a body; `None` if it was truncated.
async fn read_and_hash(mut body: Incoming) -> Option<(u64, String)> {
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
fn requested_body_bytes(target: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == "bytes")?.1.parse().ok()
}
