//! Callers that leave while their requests wait, whatever they wait for.

use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use monsooncart_config::routing::access;
use monsooncart_policy::{action, allowance, event, handle};
use monsooncart_types::rate;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};

use crate::policy_actions::ScriptedPolicies;
use crate::{fixture, host, keys};

/// Seeds in CI; `DEPARTURE_SEEDS=FIRST-LAST` has others played.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=24;

/// Timeout of the routes, which no departure waits for.
const TIMEOUT: Duration = Duration::from_secs(120);

/// Longest time until a departure is noticed, also beside load.
const NOTICE_TIME: Duration = Duration::from_secs(30);

const KEY: &str = "key-of-paper";

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// Room at the servers.
    Room,
    /// The allowance of its organisation.
    Allowance,
    /// A connection to its server.
    Connection,
}

#[derive(Clone, Debug)]
struct Plan {
    wait: Wait,
    method: &'static str,
    body_bytes: usize,
    chunked: bool,
    /// Share of the body that the caller sends before it leaves.
    sent_share: f64,
    /// Whether it resets its connection.
    resets: bool,
    stays_for: Duration,
}

impl Plan {
    fn draw(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let sizes = [0, 0, 1000, 60_000, 70_000, 150_000, 200_000];
        let body_bytes = sizes[rng.random_range(0..sizes.len())];
        Self {
            wait: [Wait::Room, Wait::Allowance, Wait::Connection][rng.random_range(0..3)],
            method: if body_bytes == 0 { "GET" } else { "POST" },
            body_bytes,
            chunked: body_bytes > 0 && rng.random(),
            sent_share: [0.1, 0.7, 1.0, 1.0][rng.random_range(0..4)],
            resets: rng.random_bool(0.3),
            stays_for: Duration::from_millis(rng.random_range(0..300)),
        }
    }

    fn sent_bytes(&self) -> usize {
        (self.body_bytes as f64 * self.sent_share) as usize
    }

    /// Whether the daemon has received enough to look for a server.
    fn arrives(&self) -> bool {
        let known_bytes = match self.chunked {
            true => self.sent_bytes(),
            false => self.body_bytes,
        };
        self.sent_share >= 1.0 || known_bytes > 64 << 10
    }

    fn bytes(&self) -> Vec<u8> {
        let framing = match self.chunked {
            true => "transfer-encoding: chunked".to_owned(),
            false => format!("content-length: {}", self.body_bytes),
        };
        let mut bytes = format!(
            "{} /orders/1 HTTP/1.1\r\nhost: wires.example\r\nx-request: 1\r\nx-key: {KEY}\r\n{framing}\r\n\r\n",
            self.method
        )
        .into_bytes();
        let sent = self.sent_bytes();
        if !self.chunked {
            bytes.resize(bytes.len() + sent, b'a');
            return bytes;
        }
        for chunk in vec![b'a'; sent].chunks(9000) {
            bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
        }
        if self.sent_share >= 1.0 {
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        bytes
    }
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    let Ok(text) = std::env::var("DEPARTURE_SEEDS") else {
        return SEEDS;
    };
    let (first, last) = text.split_once('-').unwrap();
    first.parse().unwrap()..=last.parse().unwrap()
}

/// An address at which connections hang, with what keeps it so.
async fn hanging_address() -> (net::SocketAddr, impl Sized) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.6:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut waiting = Vec::new();
    let patience = Duration::from_millis(100);
    while let Ok(Ok(stream)) = tokio::time::timeout(patience, TcpStream::connect(address)).await {
        waiting.push(stream);
    }
    (address, (listener, waiting))
}

/// Policies that send a request to the only server again and again, or never.
fn policies(sends: bool) -> Arc<ScriptedPolicies> {
    let count = std::sync::atomic::AtomicU64::new(0);
    let arrived = std::sync::Mutex::new(handle::Request(0));
    ScriptedPolicies::new(move |event, _| {
        let is_sent = match event {
            event::Event::Arrive(arrival) => {
                *arrived.lock().unwrap() = arrival.request;
                true
            }
            event::Event::Finish { replayable, .. } => *replayable,
            _ => false,
        };
        if !is_sent || !sends {
            return Vec::new();
        }
        let number = count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        vec![action::Action::Send {
            request: *arrived.lock().unwrap(),
            attempt: handle::Attempt(number),
            server: handle::Server(0),
            fresh_connection: false,
            grounds: action::Grounds::default(),
        }]
    })
}

async fn start(server: net::SocketAddr, policies: &Arc<ScriptedPolicies>) -> fixture::Proxy {
    let mut paper = keys::organisation("paper", KEY);
    paper.allowance = Some(access::Allowance {
        rate: rate::Rate(1.0),
        burst: 1.0,
    });
    let access = keys::keys(vec![paper]);
    host::start_with_access(&[server], TIMEOUT, policies.clone(), access).await
}

/// Plays a plan, and returns whether the departure was noticed.
async fn play(plan: &Plan) -> bool {
    let (server, _kept) = hanging_address().await;
    let policies = policies(plan.wait == Wait::Connection);
    let proxy = start(server, &policies).await;
    if plan.wait == Wait::Allowance {
        let after = TIMEOUT / 2;
        proxy
            .fakes
            .fleet
            .decide(&[allowance::Decision::Admit { after }]);
    }
    let mut caller = TcpStream::connect(proxy.address).await.unwrap();
    let bytes = plan.bytes();
    let sending = caller.write_all(&bytes);
    // Not all of it may be taken before the request is sent to a server.
    let _ = tokio::time::timeout(Duration::from_millis(500), sending).await;
    let waits = || match plan.wait {
        Wait::Allowance => !proxy.fakes.fleet.admitted().is_empty(),
        Wait::Room | Wait::Connection => policies.events().iter().any(is_arrival),
    };
    if plan.arrives() || plan.wait == Wait::Allowance {
        fixture::wait_until("wait", waits).await;
    }
    tokio::time::sleep(plan.stays_for).await;

    if plan.resets {
        socket2::SockRef::from(&caller)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }
    drop(caller);

    let left_at = Instant::now();
    while left_at.elapsed() < NOTICE_TIME {
        if proxy.engine.in_flight() == 0 {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    false
}

fn is_arrival(event: &event::Event) -> bool {
    matches!(event, event::Event::Arrive(_))
}

/// Guards against requests that reach servers long after their callers have left (GONE).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_that_leave_while_their_requests_wait_are_noticed() {
    let mut faults = Vec::new();
    for seed in seeds() {
        let plan = Plan::draw(seed);

        let is_noticed = play(&plan).await;

        if !is_noticed {
            faults.push(format!("seed {seed}: {plan:?}"));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against the same for streams that are reset (HTTP/2).
#[tokio::test]
async fn streams_that_are_reset_while_their_requests_wait_are_noticed() {
    for body_bytes in [0, 1000, 150_000] {
        for wait in [Wait::Room, Wait::Allowance] {
            let policies = policies(false);
            let proxy = start(fixture::closed_address().await, &policies).await;
            if wait == Wait::Allowance {
                let after = TIMEOUT / 2;
                proxy
                    .fakes
                    .fleet
                    .decide(&[allowance::Decision::Admit { after }]);
            }
            let stream = TcpStream::connect(proxy.address).await.unwrap();
            let io = TokioIo::new(stream);
            let (mut sender, connection) =
                http2::handshake(TokioExecutor::new(), io).await.unwrap();
            tokio::spawn(connection);
            let request = http::Request::builder()
                .method("POST")
                .uri("http://wires.example/orders/1")
                .header("x-request", "1")
                .header("x-key", KEY)
                .body(Full::new(Bytes::from(vec![b'a'; body_bytes])))
                .unwrap();

            let sending = tokio::spawn(sender.send_request(request));
            let waits = || proxy.engine.in_flight() == 1;
            fixture::wait_until("request", waits).await;
            sending.abort();

            let noticed = || proxy.engine.in_flight() == 0;
            fixture::wait_until("departure", noticed).await;
        }
    }
}

/// Guards against requests of callers that stay and are dropped, or lose a part of their body, as it is read
/// before they are sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_that_stay_are_served_with_their_whole_body() {
    for (body_bytes, pause) in [(70_000, 20), (150_000, 0), (150_000, 30), (3_000_000, 0)] {
        let backend = fixture::start_backend("server-0").await;
        let arrived = std::sync::Mutex::new(None);
        let policies = ScriptedPolicies::new(move |event, now| {
            let mut arrived = arrived.lock().unwrap();
            if let event::Event::Arrive(arrival) = event {
                *arrived = Some((arrival.request, now));
            }
            let is_due = |(_, at): &(handle::Request, _)| now.since(*at).as_millis() >= 400;
            let send = |(request, _)| action::Action::Send {
                request,
                attempt: handle::Attempt(1),
                server: handle::Server(0),
                fresh_connection: false,
                grounds: action::Grounds::default(),
            };
            arrived
                .take_if(|a| is_due(a))
                .map(send)
                .into_iter()
                .collect()
        });
        let addresses = [backend.address()];
        let limits = fixture::limits();
        let proxy = fixture::start_proxy_with(&addresses, limits, policies).await;
        let pattern = monsooncart_testbed::backend::pattern::Pattern::new("/upload");
        let body = pattern.bytes(0, body_bytes);
        let digest = <sha2::Sha256 as sha2::Digest>::digest(&body);
        let mut caller = TcpStream::connect(proxy.address).await.unwrap();
        let head = format!(
            "POST /upload HTTP/1.1\r\nhost: wires.example\r\nauthorization: Bearer {}\r\nconnection: close\r\ncontent-length: {body_bytes}\r\n\r\n",
            fixture::KEY
        );
        caller.write_all(head.as_bytes()).await.unwrap();

        for part in body.chunks(16 << 10) {
            caller.write_all(part).await.unwrap();
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        let mut response = String::new();
        let reading = caller.read_to_string(&mut response);
        let read = tokio::time::timeout(fixture::TEST_TIMEOUT, reading).await;

        read.unwrap().unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.contains(&hex::encode(digest)), "{body_bytes}");
    }
}

/// Guards against memory that requests which wait take for their bodies.
#[tokio::test]
async fn little_of_a_long_body_is_read_while_its_request_waits() {
    const BODY_BYTES: usize = 64 << 20;
    const MAX_TAKEN_BYTES: usize = 32 << 20;
    let policies = policies(false);
    let proxy = start(fixture::closed_address().await, &policies).await;
    let mut caller = TcpStream::connect(proxy.address).await.unwrap();
    let head = format!(
        "POST /orders/1 HTTP/1.1\r\nhost: wires.example\r\nx-request: 1\r\nx-key: {KEY}\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.unwrap();

    let part = vec![b'a'; 64 << 10];
    let mut taken_bytes = 0;
    let patience = Duration::from_millis(500);
    while let Ok(Ok(count)) = tokio::time::timeout(patience, caller.write(&part)).await {
        taken_bytes += count;
        if taken_bytes >= MAX_TAKEN_BYTES {
            break;
        }
    }

    assert!(policies.events().iter().any(is_arrival));
    assert!(taken_bytes < MAX_TAKEN_BYTES, "{taken_bytes}");
}
