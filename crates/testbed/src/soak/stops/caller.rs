//! Callers that send a mix of requests on kept connections.

use std::convert::Infallible;
use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::client::conn::{http1, http2};
use hyper_util::rt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom as _;
use rand::{RngExt as _, SeedableRng as _};
use serde_json::{Value, json};
use tokio::net::TcpSocket;
use tokio_util::sync::CancellationToken;

use super::super::{caller, fleet};
use super::{Plan, check};
use crate::{site, worker};

/// Maximum size of an uploaded body.
pub const MAX_BODY_BYTES: u64 = 4 << 20;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time for which resolved addresses are cached.
const MAX_CACHE_TIME: Duration = Duration::from_secs(3);

/// Mean time between two requests of a caller, in seconds.
const MEAN_INTERVAL_SECONDS: f64 = 0.25;

/// Share of callers that use a connection until it closes, whatever the directory lists.
const LOYAL_SHARE: f64 = 0.5;

/// Share of requests whose response is read slowly.
const SLOW_READER_SHARE: f64 = 0.3;

/// Pauses of a slow reader between two reads.
const READ_PAUSE: Duration = Duration::from_millis(60);

/// Range of the pace of readers that are as slow as some networks, in bytes per second.
const READ_PACE: std::ops::Range<f64> = 40_000.0..400_000.0;

/// Receive buffer of those readers.
const PACED_BUFFER_BYTES: u32 = 32 << 10;

/// Time after the time budget for which a caller still waits.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);

type Body = BoxBody<Bytes, Infallible>;

/// A kind of request.
#[derive(Debug)]
pub struct Kind {
    prefix: &'static str,
    route_type: &'static str,
    /// Time budget of callers.
    pub budget: Duration,
    /// Timeout of the route.
    pub timeout: Duration,
    max_body_bytes: u64,
    /// Range of the server's work, in milliseconds.
    work_millis: [u64; 2],
    max_response_bytes: u64,
}

/// The kinds of the mix.
pub const KINDS: [Kind; 4] = [
    Kind {
        prefix: "/read/",
        route_type: "safe",
        budget: Duration::from_secs(4),
        timeout: Duration::from_secs(3),
        max_body_bytes: 0,
        work_millis: [20, 700],
        max_response_bytes: 300_000,
    },
    Kind {
        prefix: "/buy/",
        route_type: "unsafe",
        budget: Duration::from_secs(10),
        timeout: Duration::from_secs(8),
        max_body_bytes: 20_000,
        work_millis: [50, 2600],
        max_response_bytes: 20_000,
    },
    Kind {
        prefix: "/upload/",
        route_type: "upload",
        budget: Duration::from_secs(12),
        timeout: Duration::from_secs(10),
        max_body_bytes: 360_000,
        work_millis: [50, 2000],
        max_response_bytes: 2_000,
    },
    Kind {
        prefix: "/pull/",
        route_type: "download",
        budget: Duration::from_secs(8),
        timeout: Duration::from_secs(6),
        max_body_bytes: 0,
        work_millis: [20, 800],
        max_response_bytes: 3_000_000,
    },
];

impl Kind {
    /// The route of the requests.
    pub fn rule(&self) -> Value {
        let mut rule = site::rule(self.prefix, self.route_type, site::SERVICE);
        rule["action"]["timeout_s"] = json!(self.timeout.as_secs_f64());
        rule
    }

    pub fn is_repeatable(&self) -> bool {
        matches!(self.route_type, "safe" | "download")
    }
}

/// How fast a response is read.
#[derive(Clone, Copy, Debug)]
enum Pace {
    Unlimited,
    /// Pauses between reads.
    Pauses,
    BytesPerSecond(f64),
}

/// A connection of either version.
enum Sender {
    Http1(http1::SendRequest<Body>),
    Http2(http2::SendRequest<Body>),
}

impl Sender {
    async fn connect(address: net::SocketAddr, plan: Plan) -> Option<Self> {
        let open = async {
            let socket = match address {
                net::SocketAddr::V4(_) => TcpSocket::new_v4().ok()?,
                net::SocketAddr::V6(_) => TcpSocket::new_v6().ok()?,
            };
            if plan.paced {
                socket.set_recv_buffer_size(PACED_BUFFER_BYTES).ok()?;
            }
            let stream = socket.connect(address).await.ok()?;
            let io = rt::TokioIo::new(stream);
            if plan.http2 {
                let executor = rt::TokioExecutor::new();
                let (sender, connection) = http2::handshake(executor, io).await.ok()?;
                tokio::spawn(connection);
                return Some(Self::Http2(sender));
            }
            let (sender, connection) = http1::handshake(io).await.ok()?;
            tokio::spawn(connection);
            Some(Self::Http1(sender))
        };
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, open).await;
        opened.ok().flatten()
    }

    async fn is_usable(&mut self) -> bool {
        match self {
            Self::Http1(sender) => sender.ready().await.is_ok(),
            Self::Http2(sender) => sender.ready().await.is_ok(),
        }
    }

    async fn send(
        &mut self,
        request: http::Request<Body>,
    ) -> Option<http::Response<hyper::body::Incoming>> {
        match self {
            Self::Http1(sender) => sender.send_request(request).await.ok(),
            Self::Http2(sender) => sender.send_request(request).await.ok(),
        }
    }
}

/// A connection to one run of a daemon.
struct Connection {
    sender: Sender,
    /// Address and run number.
    daemon: (net::IpAddr, u32),
}

/// A caller, which sends one request at a time.
pub struct Caller {
    fleet: Arc<fleet::Fleet>,
    rng: StdRng,
    plan: Plan,
    is_loyal: bool,
    addresses: Vec<net::SocketAddr>,
    refresh_at: Instant,
    connection: Option<Connection>,
}

impl Caller {
    pub fn new(fleet: Arc<fleet::Fleet>, seed: u64, plan: Plan) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let is_loyal = rng.random_bool(LOYAL_SHARE);
        Self {
            fleet,
            rng,
            plan,
            is_loyal,
            addresses: Vec::new(),
            refresh_at: Instant::now(),
            connection: None,
        }
    }

    pub async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let draw: f64 = self.rng.random_range(1e-9..1.0);
            tokio::time::sleep(Duration::from_secs_f64(-draw.ln() * MEAN_INTERVAL_SECONDS)).await;
            if let Some(connection) = self.take_or_open_connection().await {
                self.send_request(connection).await;
            }
        }
    }

    async fn refresh(&mut self) {
        if Instant::now() < self.refresh_at {
            return;
        }
        let Some(daemon) = self.fleet.daemons.choose(&mut self.rng) else {
            return;
        };
        if let Some(addresses) = caller::resolve(daemon).await {
            self.addresses = addresses;
            let time = MAX_CACHE_TIME.mul_f64(self.rng.random_range(0.3..1.0));
            self.refresh_at = Instant::now() + time;
        }
    }

    async fn take_or_open_connection(&mut self) -> Option<Connection> {
        self.refresh().await;
        if let Some(mut connection) = self.connection.take() {
            let ip = connection.daemon.0;
            let is_listed = self.addresses.iter().any(|address| address.ip() == ip);
            if (self.is_loyal || is_listed) && connection.sender.is_usable().await {
                return Some(connection);
            }
        }
        let address = *self.addresses.choose(&mut self.rng)?;
        let mut daemons = self.fleet.daemons.iter();
        let daemon = daemons.find(|daemon| daemon.caller_address() == address)?;
        let daemon = (daemon.ip, daemon.run_number());
        let sender = Sender::connect(address, self.plan).await?;
        Some(Connection { sender, daemon })
    }

    async fn send_request(&mut self, mut connection: Connection) {
        let kind = self.rng.random_range(0..KINDS.len());
        let id = self.fleet.ledger.next_id();
        let sent_at = Instant::now();
        let body_sent_at = Arc::new(Mutex::new(None));
        let request = self.build_request(&KINDS[kind], &id, &body_sent_at);
        let reads_slowly = self.rng.random_bool(SLOW_READER_SHARE);
        let pace = match (reads_slowly, self.plan.paced) {
            (false, _) => Pace::Unlimited,
            (true, false) => Pace::Pauses,
            (true, true) => Pace::BytesPerSecond(self.rng.random_range(READ_PACE)),
        };
        let limit = KINDS[kind].budget + RESPONSE_GRACE;
        let response = exchange(&mut connection.sender, request, pace);
        let outcome = tokio::time::timeout(limit, response).await;
        let outcome = outcome.unwrap_or(check::Outcome::GaveUp);
        let body_sent_at = *body_sent_at.lock().unwrap_or_else(PoisonError::into_inner);
        check::record(
            &self.fleet.ledger,
            check::Request {
                id,
                kind,
                daemon: connection.daemon,
                sent_at,
                body_sent_at,
                ended_at: Instant::now(),
                outcome,
            },
        );
        if let check::Outcome::Answered { closes: false, .. } = outcome {
            self.connection = Some(connection);
        }
    }

    fn build_request(
        &mut self,
        kind: &Kind,
        id: &str,
        sent_at: &Arc<Mutex<Option<Instant>>>,
    ) -> http::Request<Body> {
        let [least, most] = kind.work_millis;
        let work = worker::Work {
            time: Duration::from_millis(self.rng.random_range(least..most)),
            response_bytes: self.rng.random_range(0..=kind.max_response_bytes),
            pieces: self.rng.random_range(1..8),
        };
        let path = format!("{}{id}?{work}", kind.prefix);
        let body = match kind.max_body_bytes {
            0 => {
                *sent_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
                Full::default().boxed()
            }
            max => self.build_body(max, sent_at.clone()),
        };
        let mut request = http::Request::new(body);
        if kind.max_body_bytes > 0 {
            *request.method_mut() = http::Method::POST;
        }
        let authority = if self.plan.http2 {
            "http://wires.example"
        } else {
            ""
        };
        let authority = authority.replace("wires.example", site::HOST);
        match format!("{authority}{path}").parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(error) => log::error!(path:%, error:%; "stops: could not build target of request"),
        }
        let headers = request.headers_mut();
        headers.insert("host", http::HeaderValue::from_static(site::HOST));
        headers.insert("x-deadline-ms", (kind.budget.as_millis() as u64).into());
        if let Ok(id) = http::HeaderValue::from_str(id) {
            headers.insert("x-attempt-id", id);
        }
        request
    }

    /// A body in pieces, with pauses between them.
    fn build_body(&mut self, max_bytes: u64, sent_at: Arc<Mutex<Option<Instant>>>) -> Body {
        let bytes = self.rng.random_range(1..=max_bytes);
        let pieces = self.rng.random_range(1..10);
        let pause = Duration::from_millis(self.rng.random_range(0..200));
        let piece = Bytes::from(vec![b'b'; (bytes / pieces + 1) as usize]);
        let frames = stream::unfold((0, sent_at), move |(number, sent_at)| {
            let piece = piece.clone();
            async move {
                if number == pieces {
                    return None;
                }
                if number > 0 {
                    tokio::time::sleep(pause).await;
                }
                if number + 1 == pieces {
                    *sent_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
                }
                let frame = http_body::Frame::data(piece);
                Some((Ok::<_, Infallible>(frame), (number + 1, sent_at)))
            }
        });
        StreamBody::new(SyncStream(Mutex::new(Box::pin(frames)))).boxed()
    }
}

type Frames = std::pin::Pin<
    Box<dyn stream::Stream<Item = Result<http_body::Frame<Bytes>, Infallible>> + Send>,
>;

/// Makes a stream shareable between threads.
struct SyncStream(Mutex<Frames>);

impl stream::Stream for SyncStream {
    type Item = Result<http_body::Frame<Bytes>, Infallible>;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        let frames = self.get_mut().0.get_mut();
        let frames = frames.unwrap_or_else(PoisonError::into_inner);
        frames.as_mut().poll_next(cx)
    }
}

async fn exchange(sender: &mut Sender, request: http::Request<Body>, pace: Pace) -> check::Outcome {
    let Some(response) = sender.send(request).await else {
        return check::Outcome::Closed;
    };
    let (head, mut body) = response.into_parts();
    let is_servers = head.headers.contains_key("x-server-seal");
    let closes = head.headers.get("connection").is_some_and(|v| v == "close");
    let status = head.status.as_u16();
    let mut last_pause = Instant::now();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return check::Outcome::Truncated { status };
        };
        match pace {
            Pace::Unlimited => {}
            Pace::Pauses if last_pause.elapsed() > READ_PAUSE / 20 => {
                tokio::time::sleep(READ_PAUSE).await;
                last_pause = Instant::now();
            }
            Pace::Pauses => {}
            Pace::BytesPerSecond(pace) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                tokio::time::sleep(Duration::from_secs_f64(bytes as f64 / pace)).await;
            }
        }
    }
    check::Outcome::Answered {
        status,
        is_servers,
        closes,
    }
}
