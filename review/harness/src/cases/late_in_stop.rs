//! LOST: a request that a stopping daemon still accepts is broken off before the end of `grace_s`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client;
use crate::fleet;
use crate::http;
use crate::record;
use crate::server;
use crate::store;

const ZONE: &str = "scot-central-a";
const SERVERS: u8 = 14;
const CONSUMERS: usize = 64;

/// Time budget of the sheet's `topup-credit`, and the timeout of its route.
const DEADLINE: Duration = Duration::from_secs(6);
const ROUTE_TIMEOUT: f64 = 3.0;

/// Work of the requests in ms: three of four take about the sheet's mean of 440 ms, one of four takes
/// longer, and none longer than the sheet's maximum of 2,600 ms.
const SHORT_MILLIS: (u64, u64) = (200, 700);
const LONG_MILLIS: (u64, u64) = (1600, 2600);

/// Work of a consumer's request; the same in every run.
fn work_millis(consumer: usize, request: usize) -> u64 {
    let mut mixed =
        (consumer as u64 * 1000 + request as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^= mixed >> 29;
    mixed = mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33;
    let (low, high) = if mixed % 4 == 0 {
        LONG_MILLIS
    } else {
        SHORT_MILLIS
    };
    low + mixed / 4 % (high - low)
}

/// `grace_s` of the sheet.
const GRACE: f64 = 6.0;

/// Time after the SIGTERM up to which the rule excuses a request whose server is still at work in the
/// last sixth of the grace period.
const EXCUSED: f64 = 3.0;

/// Calm time before the SIGTERM.
const CALM: Duration = Duration::from_secs(6);

const OPTIONS: server::Options = server::Options {
    service: "purse-api",
    zone: ZONE,
    slots: 6,
};

const SITE: fleet::Site = fleet::Site {
    region: "scot-central",
    bounds: &[
        ("grace_s", "6"),
        ("ttl_max_s", "5"),
        ("floor_share", "0.7"),
        ("retry_ratio", "0.2"),
        ("budget_slack", "58"),
        ("budget_window_s", "10"),
    ],
};

const CONFIG: &str = r#"{"config_version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout_s":3,"idle_timeout_s":15},"base_version":5,"listeners":[{"hostname":"shop.example","rules":[
{"name":"r-topup","route_type":"unsafe","target_latency_s":1.5,"priority":1,"match":{"path_prefix":"/topup/"},
"action":{"backend":"purse-api","timeout_s":3,"attempts":2}}]}],
"clusters":[{"name":"purse-api","health_path":"/health","max_connections":330,"protocol":"h1","tls":false}]}"#;

/// When a server began to work on a request, and when it ended.
type Runs = Arc<Mutex<HashMap<String, (f64, Option<f64>)>>>;

struct Consumer {
    number: usize,
    directories: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    renew_at: Instant,
    connection: Option<(SocketAddr, http::Connection)>,
}

impl Consumer {
    /// Asks up to three directories, and drops a connection to an address that is no longer named.
    fn renew(&mut self) {
        for directory in self.directories.iter().take(3) {
            let Ok((addresses, ttl)) = fleet::resolve(*directory, ZONE) else {
                continue;
            };
            if addresses.is_empty() {
                continue;
            }
            self.renew_at = Instant::now() + Duration::from_secs_f64(ttl);
            self.addresses = addresses;
            let known = &self.addresses;
            self.connection = self.connection.take().filter(|(a, _)| known.contains(a));
            return;
        }
    }

    fn connect(&mut self) {
        if self.connection.is_some() || self.addresses.is_empty() {
            return;
        }
        let address = self.addresses[self.number % self.addresses.len()];
        match http::Connection::open(address, Duration::from_secs(1)) {
            Ok(connection) => self.connection = Some((address, connection)),
            Err(_) => self.number += 1,
        }
    }

    /// Sends requests one after the other, with pauses, until `stop`.
    fn run(mut self, stop: &AtomicBool, attempts: &Mutex<Vec<(String, client::Attempt)>>) {
        let consumer = self.number;
        let mut sent = 0;
        while !stop.load(Ordering::SeqCst) {
            if Instant::now() >= self.renew_at {
                self.renew();
            }
            self.connect();
            if let Some((address, mut connection)) = self.connection.take() {
                let id = format!("topup{consumer:02}-{sent:03}");
                let work = work_millis(consumer, sent);
                sent += 1;
                let request = client::Request {
                    method: "POST",
                    path: &format!("/topup/{work}"),
                    id: &id,
                    deadline: DEADLINE,
                    body: b"credit",
                };
                let attempt = client::send(&mut connection, &request);
                if matches!(attempt.end, client::End::Answered { closes: false, .. }) {
                    self.connection = Some((address, connection));
                }
                attempts.lock().unwrap().push((id, attempt));
            }
            thread::sleep(Duration::from_millis(350 + 53 * (consumer as u64 % 8)));
        }
    }
}

pub fn run(trouble: bool) -> Verdict {
    let network = fleet::Network::free();
    let store = store::Store::start(network.address(250, fleet::STORE));
    store.put("config", "main", CONFIG);
    let runs: Runs = Arc::default();
    let handler: server::Handler = {
        let runs = runs.clone();
        Arc::new(move |server, head, connection| {
            let id = head.header("x-attempt-id").unwrap_or_default().to_owned();
            let work = head
                .target()
                .rsplit('/')
                .next()
                .and_then(|w| w.parse().ok());
            if connection.read_body(head, false).is_err() {
                return server::Reply::Close;
            }
            let began = record::note(format!("server {}: runs {id}", server.id()));
            runs.lock().unwrap().insert(id.clone(), (began, None));
            thread::sleep(Duration::from_millis(work.unwrap_or(300)));
            let ended = record::note(format!("server {}: has run {id}", server.id()));
            runs.lock().unwrap().insert(id, (began, Some(ended)));
            server::Reply::Answer(200, b"credited".to_vec())
        })
    };
    let _servers: Vec<_> = (0..SERVERS)
        .map(|number| {
            let address = network.address(100 + number, fleet::SERVER);
            let number = usize::from(number);
            server::Server::start(number, address, OPTIONS, &store, &handler)
        })
        .collect();
    let mut fleet = fleet::Fleet::start(network, store.address, &[ZONE; 2], SITE);
    if let Err(reason) = fleet.wait_until_ready(2) {
        return Verdict::Unable(reason);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let consumers = (0..CONSUMERS).map(|number| {
        let consumer = Consumer {
            number,
            directories: vec![
                fleet.directory(number % 2),
                fleet.directory((number + 1) % 2),
            ],
            addresses: Vec::new(),
            renew_at: Instant::now(),
            connection: None,
        };
        let (stop, attempts) = (stop.clone(), attempts.clone());
        thread::spawn(move || consumer.run(&stop, &attempts))
    });
    let consumers: Vec<_> = consumers.collect();
    thread::sleep(CALM);
    let term_at = match trouble {
        true => (0..2)
            .map(|index| fleet.signal(index, fleet::SIGTERM))
            .fold(0.0, f64::max),
        false => record::note("no SIGTERM is sent"),
    };
    thread::sleep(Duration::from_secs_f64(GRACE));
    // The platform ends what is left at the end of the grace period; the processes are ended with the
    // fleet.
    let ended = (0..2).filter(|index| fleet.has_ended(*index)).count();
    record::note(format!("{ended} daemons have ended by themselves"));
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let runs = runs.lock().unwrap();
    let mut lost = Vec::new();
    let mut late = 0;
    for (id, attempt) in attempts.lock().unwrap().iter() {
        let Some((_, run_ended)) = runs.get(id) else {
            continue;
        };
        late += usize::from(attempt.sent_at > term_at + EXCUSED);
        let is_answered = matches!(attempt.end, client::End::Answered { sealed: true, .. });
        let took = attempt.ended_at - attempt.sent_at;
        let in_time = took < ROUTE_TIMEOUT - 0.1;
        let in_grace = attempt.ended_at < term_at + GRACE;
        let was_at_work = run_ended.is_none_or(|at| at >= term_at + GRACE * 5.0 / 6.0);
        let is_excused = attempt.sent_at <= term_at + EXCUSED && was_at_work;
        if !is_answered && in_time && in_grace && !is_excused {
            lost.push(format!(
                "{id} (sent {:.2} s after the SIGTERM, ended {:?} at {:.2} s, run until {:.2} s)",
                attempt.sent_at - term_at,
                attempt.end,
                attempt.ended_at - term_at,
                run_ended.map_or(f64::NAN, |at| at - term_at)
            ));
        }
    }
    let total = attempts.lock().unwrap().len();
    let summary = format!(
        "{total} requests, {late} of them sent later than {EXCUSED} s after the SIGTERM and run; {} were \
         passed on to a server and broken off: {}",
        lost.len(),
        lost.join(", ")
    );
    match lost.is_empty() {
        true => Verdict::Held(summary),
        false => Verdict::Broken(summary),
    }
}
