//! Stand-in for a backend server: a process of its own, which really ends when it crashes.
//!
//! It tells the drill what it does by lines on its standard output: `reach ID`, `run ID`, `done ID`,
//! `lost ID` and `crash ID`.

use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;

/// Interval at which the server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// Requests beyond the slots that wait.
const QUEUE: usize = 24;

/// Time that a status check takes, and that it waits for a slot.
const HEALTH_WORK: Duration = Duration::from_millis(25);
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Word in a path or body of a request that crashes the server.
pub const POISON: &str = "poison";

pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub slots: usize,
    pub work: Duration,
}

impl Options {
    pub fn parse(words: &[String]) -> Option<Self> {
        let [id, service, zone, address, store, slots, work] = words else {
            return None;
        };
        Some(Self {
            id: id.clone(),
            service: service.clone(),
            zone: zone.clone(),
            address: address.parse().ok()?,
            store: store.parse().ok()?,
            slots: slots.parse().ok()?,
            work: Duration::from_millis(work.parse().ok()?),
        })
    }

    pub fn words(&self) -> Vec<String> {
        vec![
            self.id.clone(),
            self.service.clone(),
            self.zone.clone(),
            self.address.to_string(),
            self.store.to_string(),
            self.slots.to_string(),
            self.work.as_millis().to_string(),
        ]
    }

    fn entry(&self, born: u128) -> String {
        format!(
            "{{\"address\":\"{}\",\"info\":{{\"backend\":\"{}\",\"config_version\":\"v1\",\"zone\":\"{}\",\"max_in_flight\":{}}},\"status\":{{\"state\":\"ready\",\"sequence\":1,\"warmup_left_s\":0}},\"born\":{born}}}",
            self.address, self.service, self.zone, self.slots
        )
    }
}

/// What takes a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    Health,
    Request,
    Crash,
}

struct Server {
    options: Options,
    /// Requests that are worked on.
    busy: Mutex<usize>,
    freed: Condvar,
    /// Requests that are worked on or wait.
    held: AtomicUsize,
    /// Of a hundred requests, those whose answers are lost.
    lost_percent: AtomicU64,
    /// Requests that had an answer, lost or not.
    answers: AtomicU64,
    /// Whether the server writes its entry no more.
    has_left: AtomicBool,
}

fn tell(text: &str) {
    let mut out = io::stdout().lock();
    let _ = out.write_all(format!("{text}\n").as_bytes());
    let _ = out.flush();
}

impl Server {
    /// Waits for a slot and works; returns false if the deadline passes before there is a slot.
    fn work(&self, id: &str, work: Work, deadline: Instant) -> bool {
        let mut busy = self.busy.lock().expect("no holder panics");
        while *busy >= self.options.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            busy = self
                .freed
                .wait_timeout(busy, left)
                .expect("no holder panics")
                .0;
        }
        *busy += 1;
        drop(busy);
        if work != Work::Health {
            tell(&format!("run {id}"));
        }
        if work == Work::Crash {
            tell(&format!("crash {id}"));
            std::process::abort();
        }
        thread::sleep(match work {
            Work::Health => HEALTH_WORK,
            _ => self.options.work,
        });
        *self.busy.lock().expect("no holder panics") -= 1;
        self.freed.notify_one();
        true
    }

    /// Carries out what the drill asks for.
    fn control(&self, order: &str) {
        match order.split_once('/') {
            Some(("lose", percent)) => {
                let percent = percent.parse().unwrap_or(0);
                self.lost_percent.store(percent, Ordering::SeqCst);
            }
            _ => self.has_left.store(order == "leave", Ordering::SeqCst),
        }
    }

    /// Whether the next answer is lost.
    fn loses_answer(&self) -> bool {
        let percent = self.lost_percent.load(Ordering::SeqCst);
        let before = self.answers.fetch_add(1, Ordering::SeqCst) * percent / 100;
        (self.answers.load(Ordering::SeqCst) * percent / 100) > before
    }

    fn respond(&self, request: &http::Message, stream: &mut TcpStream) -> io::Result<()> {
        let (_, path) = request.target();
        let own_id = self.options.id.as_str();
        if let Some(order) = path.strip_prefix("/control/") {
            self.control(order);
            return http::write(stream, "HTTP/1.1 200 OK", &[], b"");
        }
        let id = request.header("x-attempt-id").unwrap_or("");
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != own_id)
        {
            let headers = [("X-Instance-Id", own_id), ("X-Attempt-Id", id)];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let shed = |stream: &mut TcpStream| {
            let headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", id)];
            http::write(stream, "HTTP/1.1 503 Service Unavailable", &headers, b"")
        };
        if path == "/health" {
            let deadline = Instant::now() + HEALTH_TIMEOUT;
            if !self.work("", Work::Health, deadline) {
                return http::write(
                    stream,
                    "HTTP/1.1 503 Service Unavailable",
                    &[("X-Not-Executed", "1")],
                    b"",
                );
            }
            return http::write(
                stream,
                "HTTP/1.1 200 OK",
                &[("X-Instance-Id", own_id)],
                b"ok",
            );
        }
        tell(&format!("reach {id}"));
        let left = request.header("x-deadline-ms").and_then(|d| d.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(left.unwrap_or(60_000));
        let held = self.held.fetch_add(1, Ordering::SeqCst);
        let is_poison = path.contains(POISON) || request.body.starts_with(POISON.as_bytes());
        let work = if is_poison {
            Work::Crash
        } else {
            Work::Request
        };
        let has_run = held < self.options.slots + QUEUE && self.work(id, work, deadline);
        self.held.fetch_sub(1, Ordering::SeqCst);
        if !has_run {
            return shed(stream);
        }
        if self.loses_answer() {
            tell(&format!("lost {id}"));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let seal = format!("{own_id}.{id}");
        let headers = [("X-Attempt-Id", id), ("X-Server-Seal", seal.as_str())];
        http::write(stream, "HTTP/1.1 200 OK", &headers, b"done")?;
        tell(&format!("done {id}"));
        Ok(())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.respond(&request, reader.get_mut()).is_err() {
                return;
            }
        }
    }

    /// Writes the entry of the server to the store at intervals.
    fn register(&self, born: u128) {
        let entry = self.options.entry(born);
        let start = format!("PUT /api/objects/servers/{} HTTP/1.1", self.options.id);
        while !self.has_left.load(Ordering::SeqCst) {
            if let Ok(mut connection) = http::Connection::open(self.options.store, HEARTBEAT) {
                let _ = connection.exchange(&start, &[("Host", "store")], entry.as_bytes());
            }
            thread::sleep(HEARTBEAT);
        }
    }
}

/// Runs the server until it crashes or is killed.
pub fn run(options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(options.address)?;
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    let server = Arc::new(Server {
        options,
        busy: Mutex::new(0),
        freed: Condvar::new(),
        held: AtomicUsize::new(0),
        lost_percent: AtomicU64::new(0),
        answers: AtomicU64::new(0),
        has_left: AtomicBool::new(false),
    });
    let registering = server.clone();
    thread::spawn(move || registering.register(born));
    tell("started");
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(stream));
    }
    Ok(())
}
