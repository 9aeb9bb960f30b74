//! Stand-in for the platform's metadata store: lists, watches and conditional-free writes of objects.
//!
//! Entries of servers are removed after three ping intervals without a write. A write that changes
//! nothing does not increase the revision.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Time without a write after which the entry of a server is removed.
const EXPIRY: Duration = Duration::from_millis(4500);

struct Object {
    rev: u64,
    created_rev: u64,
    spec: String,
    written_at: Instant,
}

struct Event {
    rev: u64,
    kind: String,
    json: String,
    deleted: bool,
}

#[derive(Default)]
struct State {
    rev: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    /// Time after which a waiting watch is cut off.
    watch_cut: Option<Duration>,
    watches_cut: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn render(name: &str, object: &Object) -> String {
    let (rev, created, spec) = (object.rev, object.created_rev, &object.spec);
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{rev},\"created_rev\":{created},\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    /// Starts the store at a free port of `ip`.
    pub fn start(ip: std::net::IpAddr) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self::default());
        store.lock().rev = 100;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Cuts off waiting watches after this time; `None` to let them wait.
    pub fn cut_watches(&self, after: Option<Duration>) {
        self.lock().watch_cut = after;
    }

    pub fn watches_cut(&self) -> u64 {
        self.lock().watches_cut
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.get_mut(&key) {
            object.written_at = Instant::now();
            if object.spec == spec {
                return;
            }
        }
        state.rev += 1;
        let rev = state.rev;
        let created_rev = state.objects.get(&key).map_or(rev, |o| o.created_rev);
        let object = Object {
            rev,
            created_rev,
            spec: spec.to_owned(),
            written_at: Instant::now(),
        };
        let json = render(name, &object);
        state.objects.insert(key, object);
        state.events.push(Event {
            rev,
            kind: kind.to_owned(),
            json,
            deleted: false,
        });
        self.changed.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.rev += 1;
        let event = Event {
            rev: state.rev,
            kind: kind.to_owned(),
            json: render(name, &object),
            deleted: true,
        };
        state.events.push(event);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let expired: Vec<String> = {
            let state = self.lock();
            let servers = state
                .objects
                .iter()
                .filter(|((kind, _), _)| kind == "servers");
            let silent = servers.filter(|(_, object)| object.written_at.elapsed() > EXPIRY);
            silent.map(|((_, name), _)| name.clone()).collect()
        };
        for name in expired {
            self.delete("servers", &name);
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.lock();
        let items = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> = items.map(|((_, name), o)| render(name, o)).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
            items.join(","),
            state.rev
        )
    }

    /// Waits for changes after `since`; `None` if the watch is cut off.
    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Option<String> {
        let mut state = self.lock();
        let started_at = Instant::now();
        loop {
            let events = state
                .events
                .iter()
                .filter(|e| e.kind == kind && e.rev > since);
            let events: Vec<String> = events
                .map(|e| format!("{{\"deleted\":{},\"object\":{}}}", e.deleted, e.json))
                .collect();
            let waited = started_at.elapsed();
            if !events.is_empty() || waited >= wait {
                let rev = state.rev;
                return Some(format!(
                    "{{\"events\":[{}],\"current_rev\":{rev}}}",
                    events.join(",")
                ));
            }
            if state.watch_cut.is_some_and(|after| waited >= after) {
                state.watches_cut += 1;
                return None;
            }
            let until = state.watch_cut.map_or(wait, |after| after.min(wait));
            let timeout = (until - waited.min(until)).max(Duration::from_millis(1));
            state = self
                .changed
                .wait_timeout(state, timeout)
                .expect("no holder panics")
                .0;
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (method, target) = request.target();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let path = path.trim_start_matches("/api/objects/");
            let parameter = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .filter(|(n, _)| *n == name)
                    .map(|(_, v)| v.parse::<u64>().unwrap_or(0))
                    .next()
            };
            let body = match (method, path.split_once('/'), parameter("watch")) {
                ("PUT", Some((kind, name)), _) => {
                    self.put(kind, name, &String::from_utf8_lossy(&request.body));
                    Some("{}".to_owned())
                }
                ("GET", None, Some(since)) => {
                    let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0).min(30_000));
                    self.watch(path, since, wait)
                }
                ("GET", None, None) => Some(self.list(path)),
                _ => Some("{}".to_owned()),
            };
            let Some(body) = body else {
                return;
            };
            let json = [("Content-Type", "application/json")];
            if http::write(reader.get_mut(), "HTTP/1.1 200 OK", &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }
}
