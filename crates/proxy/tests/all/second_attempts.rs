//! Second attempts of a request beside the first one: each server that runs it has its whole body.

use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt as _, Full, StreamBody};
use hyper::body::Incoming;
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use monsooncart_policy::{action, event, handle, outcome};
use monsooncart_types::instance;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::policy_actions::ScriptedPolicies;
use crate::{fakes, fixture, host};

/// Number of seeds in CI; `SECOND_ATTEMPT_SEEDS=FIRST-LAST` has others played.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=40;

/// Time after which a response counts as missing.
const MAX_TIME: Duration = Duration::from_secs(20);

/// Largest body that the daemon holds whole.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Time within which a further attempt is asked for well before the first one ends.
const PROMPT: Duration = Duration::from_millis(100);

/// Header with the id of a request, with host routing.
const ID: http::HeaderName = http::HeaderName::from_static("x-request");

/// How the first server that a request is sent to behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    /// It works for long.
    Slow,
    /// It reads the body slowly.
    SlowReader,
    /// It answers before it has the body, and reads on.
    Early,
    /// It breaks the connection in the middle of the body.
    Breaks,
    /// It accepts no connection.
    Unreachable,
}

/// What a run consists of.
#[derive(Clone, Debug)]
struct Plan {
    body_bytes: usize,
    chunked: bool,
    multiplexed: bool,
    /// Pause of the caller between two parts of the body.
    pause: Duration,
    first: First,
    /// When further attempts are asked for, after the arrival.
    further: Vec<Duration>,
}

impl Plan {
    fn draw(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let sizes = [0, 1000, 65_536, 65_537, 70_000, 150_000, 400_000, 2_000_000];
        let firsts = [
            First::Slow,
            First::Slow,
            First::SlowReader,
            First::Early,
            First::Breaks,
            First::Unreachable,
        ];
        let count = rng.random_range(1..=3);
        let moment = |_| Duration::from_millis(rng.random_range(0..120));
        Self {
            further: (0..count).map(moment).collect(),
            body_bytes: sizes[rng.random_range(0..sizes.len())],
            chunked: rng.random(),
            multiplexed: rng.random_bool(0.3),
            pause: Duration::from_millis([0, 0, 3, 10][rng.random_range(0..4)]),
            first: firsts[rng.random_range(0..firsts.len())],
        }
    }

    /// Whether all attempts can have the body at the same time.
    fn is_held(&self) -> bool {
        self.body_bytes <= MAX_BUFFERED_BYTES
    }
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    let Ok(text) = std::env::var("SECOND_ATTEMPT_SEEDS") else {
        return SEEDS;
    };
    let (first, last) = text.split_once('-').unwrap();
    first.parse().unwrap()..=last.parse().unwrap()
}

fn body(bytes: usize) -> Bytes {
    let byte = |i: usize| u8::try_from(i * 7 % 251).unwrap();
    (0..bytes).map(byte).collect::<Vec<_>>().into()
}

/// Bodies with which a server has run requests.
type Runs = Arc<Mutex<Vec<Bytes>>>;

fn run_bodies(runs: &Runs) -> Vec<Bytes> {
    runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

async fn run(
    request: Request<Incoming>,
    first: Option<First>,
    runs: Runs,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let id = request.headers().get("x-request").cloned();
    let respond = |text: &'static str| {
        let mut response = Response::new(text.into());
        response.headers_mut().extend(id.map(|id| (ID, id)));
        response
    };
    let mut incoming = request.into_body();
    let mut body = Vec::new();
    if first == Some(First::Early) {
        tokio::spawn(incoming.collect());
        sleep(Duration::from_millis(100)).await;
        return Ok(respond("early"));
    }
    while let Some(frame) = incoming.frame().await {
        // A request whose body is cut off doesn't run.
        let frame = frame.map_err(std::io::Error::other)?;
        body.extend_from_slice(frame.data_ref().map_or(&[], Bytes::as_ref));
        match first {
            Some(First::SlowReader) => sleep(Duration::from_millis(8)).await,
            Some(First::Breaks) if !body.is_empty() => return Err(std::io::Error::other("breaks")),
            _ => {}
        }
    }
    if first == Some(First::Breaks) {
        return Err(std::io::Error::other("breaks"));
    }
    runs.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(body.into());
    if first.is_some() {
        sleep(Duration::from_millis(250)).await;
    }
    Ok(respond("ran"))
}

/// Starts a server, which is the first one if `first` is given.
async fn start_server(first: Option<First>) -> (net::SocketAddr, Runs) {
    let runs = Runs::default();
    let listener = fixture::bind_listener().await;
    let address = listener.local_addr().unwrap();
    let served = runs.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let runs = served.clone();
            let service = hyper::service::service_fn(move |r| run(r, first, runs.clone()));
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, runs)
}

/// An address at which connections hang, with what keeps it so.
async fn hanging_address() -> (net::SocketAddr, impl Sized) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.5:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(Duration::from_millis(100), TcpStream::connect(address)).await
    {
        waiting.push(stream);
    }
    (address, (listener, waiting))
}

/// Sends a request to the first server, and to the next ones on each probe event. A failed request is
/// sent again if its body is intact and nothing else is in flight.
fn policies() -> Arc<ScriptedPolicies> {
    let state = Mutex::new((handle::Request(0), 0_u32, 0_u32));
    ScriptedPolicies::new(move |event, _| {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        let (request, sent, in_flight) = &mut *state;
        let send = |sent: &mut u32, in_flight: &mut u32, request: handle::Request| {
            let number = *sent;
            *sent += 1;
            *in_flight += 1;
            vec![action::Action::Send {
                request,
                attempt: handle::Attempt(number.into()),
                server: handle::Server(number.min(1)),
                fresh_connection: false,
                grounds: action::Grounds::default(),
            }]
        };
        match event {
            event::Event::Arrive(arrival) => {
                *request = arrival.request;
                send(sent, in_flight, *request)
            }
            event::Event::Probe { .. } if *in_flight > 0 => send(sent, in_flight, *request),
            event::Event::Finish {
                outcome,
                replayable,
                ..
            } => {
                *in_flight = in_flight.saturating_sub(1);
                let is_final = matches!(
                    outcome,
                    outcome::Outcome::Answered(_) | outcome::Outcome::Cancelled
                );
                if is_final {
                    *in_flight = 0;
                }
                if is_final || *in_flight > 0 {
                    return Vec::new();
                }
                if *replayable && *sent < 6 {
                    return send(sent, in_flight, *request);
                }
                let refusal = outcome::Refusal {
                    reason: outcome::Reason::Exhausted,
                    execution: outcome::Execution::Unknown,
                    retry_after: None,
                };
                let request = *request;
                vec![action::Action::Refuse { request, refusal }]
            }
            _ => Vec::new(),
        }
    })
}

/// Sends a request with a body in parts and returns the status.
async fn send(address: net::SocketAddr, plan: &Plan) -> Option<StatusCode> {
    let whole = body(plan.body_bytes);
    let request = Request::builder()
        .method("POST")
        .uri("http://wires.example/documents/1")
        .header("host", "wires.example")
        .header("authorization", format!("Bearer {}", fixture::KEY));
    let request = match plan.chunked {
        true => request,
        false => request.header("content-length", whole.len()),
    };
    let pause = plan.pause;
    let parts = stream::unfold(whole, move |mut rest| async move {
        if rest.is_empty() {
            return None;
        }
        sleep(pause).await;
        let part = rest.split_to(rest.len().min(16 << 10));
        Some((Ok::<_, std::io::Error>(Frame::data(part)), rest))
    });
    let request = request.body(Box::pin(StreamBody::new(parts))).unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let response = if plan.multiplexed {
        let io = TokioIo::new(stream);
        let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
        tokio::spawn(connection);
        sender.send_request(request).await
    } else {
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        sender.send_request(request).await
    };
    let response = response.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}

/// Plays a plan, and returns the status and the bodies that the servers had.
async fn play(plan: &Plan) -> (Option<StatusCode>, Vec<Bytes>, Vec<Bytes>) {
    let (first_address, first_runs) = start_server(Some(plan.first)).await;
    let (second_address, second_runs) = start_server(None).await;
    let (hanging, _kept) = hanging_address().await;
    let first_address = match plan.first {
        First::Unreachable => hanging,
        _ => first_address,
    };
    let policies = policies();
    let limits = fixture::limits();
    let addresses = [first_address, second_address];
    let proxy = fixture::start_proxy_with(&addresses, limits, policies.clone()).await;
    let asking = async {
        let arrived = || policies.events().iter().any(is_arrival);
        fixture::wait_until("arrival", arrived).await;
        let mut further = plan.further.clone();
        further.sort_unstable();
        let began_at = tokio::time::Instant::now();
        for moment in further {
            tokio::time::sleep_until(began_at + moment).await;
            let event = event::Event::Probe {
                server: handle::Server(1),
                healthy: true,
            };
            let service = "wiredesk".parse().unwrap();
            proxy.engine.handle_event(&service, event);
        }
    };
    let sending = timeout(MAX_TIME, send(proxy.address, plan));
    let (status, ()) = tokio::join!(sending, asking);
    (
        status.ok().flatten(),
        run_bodies(&first_runs),
        run_bodies(&second_runs),
    )
}

fn is_arrival(event: &event::Event) -> bool {
    matches!(event, event::Event::Arrive(_))
}

/// Guards against a server that runs a request with a part of its body, since another attempt has read
/// the rest (UNASKED), and against second attempts that cut off the body of the first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_server_that_runs_a_request_has_its_whole_body() {
    let mut faults = Vec::new();
    for seed in seeds() {
        let plan = Plan::draw(seed);
        let whole = body(plan.body_bytes);

        let (status, first, second) = play(&plan).await;

        let runs = || first.iter().chain(&second);
        let changed = runs().filter(|run| **run != whole).map(Bytes::len);
        let changed: Vec<_> = changed.collect();
        let must_succeed = match plan.first {
            First::Slow | First::SlowReader | First::Early | First::Unreachable => true,
            First::Breaks => plan.is_held(),
        };
        let is_missing = must_succeed && status != Some(StatusCode::OK);
        // What is held whole is sent again, and what nothing has read goes to the other server.
        let must_reach_second = match plan.first {
            First::Unreachable => true,
            First::Slow => plan.is_held() && plan.further.iter().min() < Some(&PROMPT),
            _ => false,
        };
        if !changed.is_empty() || is_missing || must_reach_second && second.is_empty() {
            faults.push(format!(
                "seed {seed}: {plan:?}: {status:?}, {} and {} runs, changed bodies {changed:?}",
                first.len(),
                second.len()
            ));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against the same where another daemon relays the second attempt.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_relay_gets_a_request_with_its_whole_body_or_not_at_all() {
    const TIMEOUT: Duration = Duration::from_secs(30);
    for body_bytes in [0, 1000, 60_000, 70_000, 150_000, 1_000_000] {
        let whole = body(body_bytes);
        let (first_address, first_runs) = start_server(Some(First::Slow)).await;
        let (second_address, second_runs) = start_server(None).await;
        let relay = host::start_with(&[second_address], TIMEOUT, Arc::new(fakes::Selector)).await;
        let policies = relaying_policies();
        let daemon = host::start_with(&[first_address], TIMEOUT, policies.clone()).await;
        daemon.fakes.fleet.set_relay(relay.engine.clone());
        let request = host::request("POST", "/items/1").map(|_| Full::new(whole.clone()));

        let sending = tokio::spawn(fixture::try_send(daemon.address, request));
        fixture::wait_until("arrival", || policies.events().iter().any(is_arrival)).await;
        sleep(Duration::from_millis(50)).await;
        let probe = event::Event::Probe {
            server: handle::Server(0),
            healthy: true,
        };
        let service = "wiredesk".parse().unwrap();
        daemon.engine.handle_event(&service, probe);
        let response = sending.await.unwrap().unwrap();

        let (first, second) = (run_bodies(&first_runs), run_bodies(&second_runs));
        let is_held = body_bytes <= MAX_BUFFERED_BYTES;
        assert_eq!(response.status, StatusCode::OK, "{body_bytes}");
        assert!(first.iter().chain(&second).all(|run| *run == whole));
        assert_eq!(second.len(), usize::from(is_held), "{body_bytes}");
    }
}

/// Sends a request to the only server, and has the other daemon relay it on each probe event.
fn relaying_policies() -> Arc<ScriptedPolicies> {
    let arrived = Mutex::new(handle::Request(0));
    ScriptedPolicies::new(move |event, _| {
        let mut arrived = arrived.lock().unwrap_or_else(PoisonError::into_inner);
        match event {
            event::Event::Arrive(arrival) => {
                *arrived = arrival.request;
                vec![action::Action::Send {
                    request: arrival.request,
                    attempt: handle::Attempt(1),
                    server: handle::Server(0),
                    fresh_connection: false,
                    grounds: action::Grounds::default(),
                }]
            }
            event::Event::Probe { .. } => vec![action::Action::Relay {
                request: *arrived,
                attempt: handle::Attempt(2),
                peer: instance::Instance(2),
                max_attempts: 1,
            }],
            _ => Vec::new(),
        }
    })
}
