//! BUDGET: a request that crashes the servers that run it comes again and again.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::fleet;
use crate::http;
use crate::record;
use crate::server;
use crate::store;

const ZONE: &str = "cant-a";
const DAEMONS: usize = 3;
const SERVERS: u8 = 8;

/// `stability_window_s` and `grace_s` of the sheet.
const STABILITY_WINDOW: f64 = 3.0;
const GRACE: Duration = Duration::from_secs(6);

/// Retries that the rule allows later than that after the third crash.
const ALLOWED_RETRIES: usize = 3;

/// Time after which a daemon that was started again is in touch.
const IN_TOUCH_AFTER: Duration = Duration::from_millis(4000);

/// Time that a restart takes: daemons without requests in flight end after half of the grace period.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Longest time in seconds that one daemon's turn takes.
const ROUND: f64 = 13.0;

/// Interval at which the request comes again, and of the ordinary requests.
const INTERVAL: Duration = Duration::from_millis(1200);
const ORDER_INTERVAL: Duration = Duration::from_millis(200);

const OPTIONS: server::Options = server::Options {
    service: "prepress",
    zone: ZONE,
    slots: 3,
};

const SITE: fleet::Site = fleet::Site {
    region: "canterbury",
    bounds: &[
        ("grace_s", "6"),
        ("ttl_max_s", "5"),
        ("floor_share", "0.7"),
        ("retry_ratio", "0.2"),
        ("budget_slack", "188"),
        ("budget_window_s", "10"),
    ],
};

const CONFIG: &str = r#"{"config_version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_s":3,"idle_timeout_s":15},"base_version":5,"listeners":[{"hostname":"shop.example","rules":[
{"name":"r-artwork","route_type":"upload","target_latency_s":2.5,"priority":1,"match":{"path_prefix":"/artwork/"},
"action":{"backend":"prepress","timeout_s":4,"attempts":2}},
{"name":"r-reprint","route_type":"unsafe","target_latency_s":0.8,"priority":1,"match":{"path_prefix":"/reprint/"},
"action":{"backend":"prepress","timeout_s":4,"attempts":2}}]}],
"clusters":[{"name":"prepress","health_path":"/health","max_connections":330,"protocol":"h1","tls":false}]}"#;

/// Restarts of the daemons in turn.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Restarts {
    Yes,
    /// Their time passes without them.
    LeftOut,
    None,
}

/// What a case does.
#[derive(Clone, Copy)]
pub struct Plan {
    /// Length of the body; the sheet's artwork files have 60 KB on average and 360 KB at most.
    pub body_bytes: usize,
    /// Whether the request crashes servers.
    pub crashes: bool,
    /// Whether the daemons are stopped and started again in turn.
    pub restarts: Restarts,
    /// Length of the run in seconds.
    pub duration: f64,
}

/// The request at a server.
#[derive(Clone, Copy)]
struct Arrival {
    at: f64,
    from: IpAddr,
}

fn body(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|i| (i % 251) as u8).collect()
}

pub fn run(plan: Plan) -> Verdict {
    let network = fleet::Network::free();
    let store = store::Store::start(network.address(250, fleet::STORE));
    store.put("config", "main", CONFIG);
    let arrivals = Arc::new(Mutex::new(Vec::<Arrival>::new()));
    let handler: server::Handler = {
        let arrivals = arrivals.clone();
        Arc::new(move |server, head, connection| {
            let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
            let from = connection.stream().peer_addr().map(|address| address.ip());
            let Ok(received) = connection.read_body(head, false) else {
                return server::Reply::Close;
            };
            let at = record::note(format!("server {}: runs {id}", server.id()));
            if let (true, Ok(from)) = (head.target() == "/artwork/bad", from) {
                arrivals.lock().unwrap().push(Arrival { at, from });
                if received != body(plan.body_bytes) {
                    record::note(format!("server {}: body of {id} differs", server.id()));
                }
                if plan.crashes {
                    return server::Reply::Crash;
                }
            }
            thread::sleep(Duration::from_millis(150));
            server::Reply::Answer(200, b"the server's bytes".to_vec())
        })
    };
    let servers: Vec<_> = (0..SERVERS)
        .map(|number| {
            let address = network.address(100 + number, fleet::SERVER);
            let number = usize::from(number);
            server::Server::start(number, address, OPTIONS, &store, &handler)
        })
        .collect();
    let mut fleet = fleet::Fleet::start(network, store.address, &[ZONE; DAEMONS], SITE);
    if let Err(reason) = fleet.wait_until_ready(2) {
        return Verdict::Unable(reason);
    }
    let directories: Vec<_> = (0..DAEMONS).map(|index| fleet.directory(index)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let orders = {
        let stop = stop.clone();
        thread::spawn(move || {
            repeat(
                &stop,
                ORDER_INTERVAL,
                &directories,
                "order",
                |address, id| attempt(address, "/reprint/7", id, b"reprint"),
            )
        })
    };
    // When each daemon was told to stop, and when it was started again.
    let mut rolls: Vec<(usize, f64, f64)> = Vec::new();
    let end = record::now() + plan.duration;
    let body = body(plan.body_bytes);
    let mut sent = 0;
    // The request comes at every machine, and then twice at each machine in turn.
    for index in (0..DAEMONS).chain((0..DAEMONS).cycle()) {
        if record::now() + ROUND > end {
            break;
        }
        let is_first = sent < DAEMONS;
        match plan.restarts {
            Restarts::Yes if !is_first => {
                let (term_at, started_at) = fleet.roll(index, GRACE);
                rolls.push((index, term_at, started_at));
                thread::sleep(IN_TOUCH_AFTER);
            }
            Restarts::LeftOut if !is_first => thread::sleep(RESTART_TIME + IN_TOUCH_AFTER),
            _ => {}
        }
        for _ in 0..if is_first { 1 } else { 2 } {
            sent += 1;
            let id = format!("bad{sent:04}");
            attempt(fleet.front(index), "/artwork/bad", &id, &body);
            thread::sleep(INTERVAL);
        }
    }
    stop.store(true, Ordering::SeqCst);
    let (orders, served) = orders.join().unwrap_or_default();
    let arrivals = arrivals.lock().unwrap().clone();
    let crashed: usize = servers
        .iter()
        .map(|s| s.crashes.load(Ordering::SeqCst))
        .sum();
    let is_in_touch = |arrival: &Arrival| {
        rolls.iter().all(|(index, term_at, started_at)| {
            let is_other = fleet.front(*index).ip() != arrival.from;
            is_other || arrival.at < *term_at || arrival.at > started_at + STABILITY_WINDOW
        })
    };
    // A server crashes at once when the request reaches it.
    let third = arrivals
        .get(2)
        .filter(|_| plan.crashes)
        .map(|arrival| arrival.at);
    let is_late =
        |arrival: &&Arrival| third.is_some_and(|third| arrival.at > third + STABILITY_WINDOW);
    let late = arrivals
        .iter()
        .filter(is_late)
        .filter(|a| is_in_touch(a))
        .count();
    let summary = format!(
        "the request was sent {sent} times and reached servers {} times, {crashed} server processes \
         crashed; {} restarts of daemons; {late} arrivals, sent by daemons in touch, later than \
         {STABILITY_WINDOW} s after the third crash (at most {ALLOWED_RETRIES} allowed); {} of {orders} \
         ordinary requests were not served",
        arrivals.len(),
        rolls.len(),
        orders - served,
    );
    match late > ALLOWED_RETRIES {
        true => Verdict::Broken(summary),
        false => Verdict::Held(summary),
    }
}

/// Sends requests until `stop`, each through the next daemon that a directory names; returns how many
/// were sent and how many were served.
fn repeat(
    stop: &AtomicBool,
    interval: Duration,
    directories: &[SocketAddr],
    name: &str,
    send: impl Fn(SocketAddr, &str) -> bool,
) -> (usize, usize) {
    let (mut sent, mut served) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        let resolved = directories
            .iter()
            .cycle()
            .skip(sent)
            .take(directories.len());
        let resolved = resolved.filter_map(|directory| fleet::resolve(*directory, ZONE).ok());
        let addresses = resolved
            .map(|(addresses, _)| addresses)
            .find(|a| !a.is_empty());
        if let Some(addresses) = addresses {
            sent += 1;
            let address = addresses[sent % addresses.len()];
            served += usize::from(send(address, &format!("{name}{sent:04}")));
        }
        thread::sleep(interval);
    }
    (sent, served)
}

/// Sends one request on a new connection; returns whether it was served.
fn attempt(address: SocketAddr, path: &str, id: &str, body: &[u8]) -> bool {
    let Ok(mut connection) = http::Connection::open(address, Duration::from_secs(1)) else {
        return false;
    };
    let request = client::Request {
        method: "POST",
        path,
        id,
        deadline: Duration::from_secs(8),
        body,
    };
    let end = client::send(&mut connection, &request).end;
    matches!(
        end,
        client::End::Answered {
            status: 200,
            sealed: true,
            ..
        }
    )
}
