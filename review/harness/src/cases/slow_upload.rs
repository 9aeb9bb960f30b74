//! CONFIG: uploads to servers that read slowly have no final answer at their route's timeout.

use std::sync::atomic::{AtomicUsize, Ordering};
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
const SERVERS: u8 = 8;

/// Pace at which the servers read: 64 KiB every 50 ms, without a longer pause.
const CHUNK_BYTES: usize = 64 << 10;
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);

/// Length of the body; `max_body_bytes` allows 64 MiB.
const BODY_BYTES: usize = 16 << 20;

/// Time budget of the sheet's `artwork-upload`, and `timeout_s` of its route.
const DEADLINE: Duration = Duration::from_secs(8);
const ROUTE_TIMEOUT: f64 = 3.0;

/// Time after the timeout by which the rule wants a final answer.
const ALLOWANCE: f64 = 0.5;

/// Requests without one that the rule allows.
const ALLOWED: usize = 7;

const DURATION: f64 = 30.0;

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
"action":{"backend":"prepress","timeout_s":3,"attempts":2}}]}],
"clusters":[{"name":"prepress","health_path":"/health","max_connections":330,"protocol":"h1","tls":false}]}"#;

pub fn run(trouble: bool) -> Verdict {
    let network = fleet::Network::free();
    let store = store::Store::start(network.address(250, fleet::STORE));
    store.put("config", "main", CONFIG);
    let slow = Arc::new(AtomicUsize::new(0));
    let handler: server::Handler = {
        let slow = slow.clone();
        Arc::new(move |server, head, connection| {
            let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
            if trouble {
                slow.fetch_add(1, Ordering::SeqCst);
                record::note(format!(
                    "server {}: begins to read {id} slowly",
                    server.id()
                ));
                let mut left = head.length().unwrap_or(0) as usize;
                while left > 0 {
                    match connection.read_some(left.min(CHUNK_BYTES)) {
                        Ok(0) | Err(_) => {
                            record::note(format!("server {}: {id} was cut off", server.id()));
                            return server::Reply::Close;
                        }
                        Ok(count) => left -= count,
                    }
                    thread::sleep(CHUNK_INTERVAL);
                }
            } else if connection.read_body(head, false).is_err() {
                return server::Reply::Close;
            }
            record::note(format!("server {}: runs {id}", server.id()));
            thread::sleep(Duration::from_millis(180));
            server::Reply::Answer(200, b"the server's bytes".to_vec())
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
    let body = Arc::new(vec![b'a'; BODY_BYTES]);
    let attempts = Arc::new(Mutex::new(Vec::<client::Attempt>::new()));
    let mut consumers = Vec::new();
    let start = record::now();
    let mut number = 0;
    while record::now() - start < DURATION {
        let addresses = fleet.resolve(number % 2, ZONE);
        let address = addresses[number % addresses.len()];
        let id = format!("artwork{number:04}");
        number += 1;
        let (body, attempts) = (body.clone(), attempts.clone());
        consumers.push(thread::spawn(move || {
            let Ok(mut connection) = http::Connection::open(address, Duration::from_secs(1)) else {
                return;
            };
            let request = client::Request {
                method: "POST",
                path: &format!("/artwork/{id}"),
                id: &id,
                deadline: DEADLINE,
                body: &body,
            };
            let attempt = client::send(&mut connection, &request);
            attempts.lock().unwrap().push(attempt);
        }));
        thread::sleep(Duration::from_millis(1000));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    let attempts = attempts.lock().unwrap();
    let lasted = |attempt: &client::Attempt| attempt.ended_at - attempt.sent_at;
    let long = attempts
        .iter()
        .filter(|a| lasted(a) > ROUTE_TIMEOUT)
        .count();
    let late = attempts
        .iter()
        .filter(|a| lasted(a) > ROUTE_TIMEOUT + ALLOWANCE)
        .count();
    let unanswered = attempts
        .iter()
        .filter(|a| a.end == client::End::GaveUp)
        .count();
    let summary = format!(
        "{} uploads, {} of them to servers that read slowly; {long} lasted longer than the route's timeout \
         of {ROUTE_TIMEOUT} s, and {late} of them had no final answer {ALLOWANCE} s after it (broken if \
         more than {ALLOWED} and over a quarter); {unanswered} had none at the consumer's time budget",
        attempts.len(),
        slow.load(Ordering::SeqCst)
    );
    match late > ALLOWED && late * 4 > long {
        true => Verdict::Broken(summary),
        false => Verdict::Held(summary),
    }
}
