//! CONFIG: bytes without end in the body of an answer with a length, past the route's timeout.

use std::io::Read as _;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet;
use crate::http;
use crate::record;
use crate::server;
use crate::store;

const ZONE: &str = "cant-a";
const SERVERS: u8 = 8;

/// Number of the server in trouble: one of eight, less than the share of .15 that is usual for faults of
/// servers.
const SICK: usize = 0;

/// Time budget of the sheet's `proof-status`, and `timeout_s` of its route.
const DEADLINE: Duration = Duration::from_secs(4);
const ROUTE_TIMEOUT: f64 = 2.0;

/// Time after the timeout by which the rule wants a final answer.
const ALLOWANCE: f64 = 0.5;

/// Requests without one that the rule allows.
const ALLOWED: usize = 7;

const DURATION: f64 = 40.0;

const OPTIONS: server::Options = server::Options {
    service: "order-desk",
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
{"name":"r-proof","route_type":"safe","target_latency_s":0.8,"priority":1,"match":{"path_prefix":"/proof/"},
"action":{"backend":"order-desk","timeout_s":2,"attempts":2}}]}],
"clusters":[{"name":"order-desk","health_path":"/health","max_connections":330,"protocol":"h1","tls":false}]}"#;

/// How a request ended: seconds until its final answer or the end of its connection; `None` if the
/// consumer left at its time budget.
type End = Option<f64>;

pub fn run(trouble: bool) -> Verdict {
    let network = fleet::Network::free();
    let store = store::Store::start(network.address(250, fleet::STORE));
    store.put("config", "main", CONFIG);
    let endless = Arc::new(AtomicUsize::new(0));
    let handler: server::Handler = {
        let endless = endless.clone();
        Arc::new(move |server, head, connection| {
            let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
            if connection.read_body(head, false).is_err() {
                return server::Reply::Close;
            }
            record::note(format!("server {}: runs {id}", server.id()));
            thread::sleep(Duration::from_millis(150));
            if !trouble || server.number != SICK {
                return server::Reply::Answer(200, b"the server's bytes".to_vec());
            }
            endless.fetch_add(1, Ordering::SeqCst);
            record::note(format!(
                "server {}: sends bytes without end to {id}",
                server.id()
            ));
            let answer = server::answer_head(200, &id, 1 << 40);
            let garbage = vec![b'x'; 16 << 10];
            if connection.write(answer.as_bytes()).is_ok() {
                // Until the caller closes.
                while connection.write(&garbage).is_ok() {
                    thread::sleep(Duration::from_millis(2));
                }
            }
            record::note(format!(
                "server {}: the connection of {id} was closed",
                server.id()
            ));
            server::Reply::Close
        })
    };
    let _servers: Vec<_> = (0..SERVERS)
        .map(|number| {
            let address = network.address(100 + number, fleet::SERVER);
            let number = usize::from(number);
            server::Server::start(number, address, OPTIONS, &store, &handler)
        })
        .collect();
    let fleet = fleet::Fleet::start(network, store.address, &[ZONE; 2], SITE);
    if let Err(reason) = fleet.wait_until_ready(2) {
        return Verdict::Unable(reason);
    }
    let ends = Arc::new(Mutex::new(Vec::<End>::new()));
    let mut consumers = Vec::new();
    let start = record::now();
    let mut number = 0;
    while record::now() - start < DURATION {
        let addresses = fleet.resolve(number % 2, ZONE);
        let address = addresses[number % addresses.len()];
        let id = format!("proof{number:04}");
        number += 1;
        let ends = ends.clone();
        consumers.push(thread::spawn(move || {
            let Ok(connection) = http::Connection::open(address, Duration::from_secs(1)) else {
                return;
            };
            let end = request(connection, &id);
            ends.lock().unwrap().push(end);
        }));
        thread::sleep(Duration::from_millis(100));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    let ends = ends.lock().unwrap();
    let long = ends
        .iter()
        .filter(|end| end.is_none_or(|end| end > ROUTE_TIMEOUT))
        .count();
    let late = ends
        .iter()
        .filter(|end| end.is_none_or(|end| end > ROUTE_TIMEOUT + ALLOWANCE))
        .count();
    let summary = format!(
        "{} requests, {} answered without end; {long} lasted longer than the route's timeout of \
         {ROUTE_TIMEOUT} s, and {late} of them had no final answer {ALLOWANCE} s after it (broken if more \
         than {ALLOWED} and over a quarter)",
        ends.len(),
        endless.load(Ordering::SeqCst)
    );
    match late > ALLOWED && late * 4 > long {
        true => Verdict::Broken(summary),
        false => Verdict::Held(summary),
    }
}

/// Sends a request, reads all that comes, and leaves at the time budget.
fn request(mut connection: http::Connection, id: &str) -> End {
    let started = Instant::now();
    record::note(format!("consumer: sends {id}"));
    let head = format!(
        "GET /proof/{id} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let end = (|| {
        connection.write(head.as_bytes()).ok()?;
        connection.set_read_timeout(DEADLINE);
        let head = match connection.read_head() {
            Ok(Some(head)) => head,
            Ok(None) => return Some("closed".to_owned()),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return None,
            Err(_) => return Some("closed".to_owned()),
        };
        let mut left = head.length().unwrap_or(u64::MAX);
        let mut bytes = vec![0; 64 << 10];
        while left > 0 {
            if started.elapsed() >= DEADLINE {
                return None;
            }
            match connection.buffered().read(&mut bytes) {
                Ok(0) => return Some("closed in the body".to_owned()),
                Ok(count) => left = left.saturating_sub(count as u64),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return None,
                Err(_) => return Some("closed in the body".to_owned()),
            }
        }
        Some(format!("answered {}", head.status()))
    })();
    let seconds = started.elapsed().as_secs_f64();
    let text = end.as_deref().unwrap_or("has left at its time budget");
    record::note(format!("consumer: {id}: {text} after {seconds:.3} s"));
    end.map(|_| seconds)
}
