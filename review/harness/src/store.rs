//! Stand-in of the platform's store: lists, watches and reads of objects.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record;

/// Time that an answer takes, as on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Objects of a page.
const PAGE_OBJECTS: usize = 500;

#[derive(Clone)]
struct Object {
    revision: u64,
    created_revision: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The store.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

fn text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"rev\":{},\"created_rev\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created_revision, object.spec
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("store can be bound");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("store has an address"),
            state: Mutex::new(State {
                revision: 10,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object; returns the time of the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let created = state.objects.get(&key).map(|o| o.created_revision);
        let object = Object {
            revision: state.revision,
            created_revision: created.unwrap_or(state.revision),
            spec: spec.to_owned(),
        };
        let event = Event {
            revision: state.revision,
            kind: kind.to_owned(),
            object: text(name, &object),
            deleted: false,
        };
        state.events.push(event);
        state.objects.insert(key, object);
        self.changed.notify_all();
        record::note(format!(
            "store: {kind}/{name} written, rev {}",
            state.revision
        ))
    }

    /// Removes an object; returns the time of the ack.
    pub fn delete(&self, kind: &str, name: &str) -> f64 {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = state.objects.remove(&key) {
            state.revision += 1;
            let event = Event {
                revision: state.revision,
                kind: kind.to_owned(),
                object: text(name, &object),
                deleted: true,
            };
            state.events.push(event);
        }
        self.changed.notify_all();
        record::note(format!(
            "store: {kind}/{name} removed, rev {}",
            state.revision
        ))
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = http::Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            if connection.read_body(&head, false).is_err() {
                return;
            }
            thread::sleep(ANSWER_TIME);
            let Some((status, body)) = self.respond(&head) else {
                let _ = connection.stream().shutdown(Shutdown::Both);
                return;
            };
            let reason = if status == 200 { "OK" } else { "Error" };
            let response = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.write(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The response to a call; `None` if it is cut off.
    fn respond(&self, head: &http::Head) -> Option<(u16, String)> {
        let target = head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
        };
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return Some((404, "{}".to_owned()));
        };
        if head.method() != "GET" {
            return Some((503, "{}".to_owned()));
        }
        if let Some((kind, name)) = rest.split_once('/') {
            let state = self.state.lock().unwrap();
            let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
            return Some(match object {
                Some(object) => (200, text(name, object)),
                None => (404, "{}".to_owned()),
            });
        }
        match parameter("watch").and_then(|since| since.parse().ok()) {
            Some(since) => {
                let wait = parameter("wait_ms").and_then(|w| w.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0).min(30_000));
                self.watch(rest, since, wait)
            }
            None => Some((200, self.list(rest, parameter("after").unwrap_or_default()))),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let objects = state.objects.iter();
        let objects = objects.filter(|((k, name), _)| k == kind && name.as_str() > after);
        let items: Vec<_> = objects.map(|((_, name), o)| text(name, o)).collect();
        let page = &items[..items.len().min(PAGE_OBJECTS)];
        format!(
            "{{\"items\":[{}],\"has_more\":{},\"current_rev\":{}}}",
            page.join(","),
            items.len() > PAGE_OBJECTS,
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Option<(u16, String)> {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if since > state.revision {
                return Some((410, "{}".to_owned()));
            }
            let events = state.events.iter();
            let events = events.filter(|e| e.kind == kind && e.revision > since);
            let events: Vec<_> = events
                .map(|e| format!("{{\"object\":{},\"deleted\":{}}}", e.object, e.deleted))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let revision = state.revision;
                let body = format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
                return Some((200, body));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
