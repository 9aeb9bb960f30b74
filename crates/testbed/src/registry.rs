//! Simulation of the store of the users' platform, in its published protocol.
//!
//! It lists, watches and reads objects by kind and name. Tests write through its methods and set the
//! injected faults.

mod state;

use std::convert::Infallible;
use std::io;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

pub use state::Object;

type Response = http::Response<Full<Bytes>>;

/// Maximum time for which a watch waits for a change.
const MAX_WATCH_TIME: Duration = Duration::from_secs(30);

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Rejects all calls with status 503.
    Busy,
    /// Accepts calls and never responds.
    Silent,
}

/// The simulated store.
#[derive(Debug)]
pub struct Registry {
    state: Mutex<state::State>,
    /// Number of changes; wakes the waiting watches.
    changes: watch::Sender<u64>,
    fault: watch::Sender<Fault>,
    /// Number of times that it was restored from a backup.
    epoch: AtomicU64,
}

/// A backup of the store.
#[derive(Clone, Debug)]
pub struct Backup(state::State);

impl Registry {
    /// Creates an empty store whose lists have pages of `page_objects` objects.
    #[must_use]
    pub fn new(page_objects: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(state::State::new(page_objects)),
            changes: watch::Sender::new(0),
            fault: watch::Sender::new(Fault::None),
            epoch: AtomicU64::new(1),
        })
    }

    fn state(&self) -> MutexGuard<'_, state::State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_watches(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Writes the content of an object without validation.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        self.state().put(kind, name, spec);
        self.notify_watches();
    }

    /// Removes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        self.state().delete(kind, name);
        self.notify_watches();
    }

    /// Compacts the history: watches from an earlier revision fail with status 410.
    pub fn compact(&self) {
        self.state().compact();
        self.notify_watches();
    }

    /// Makes a backup.
    #[must_use]
    pub fn back_up(&self) -> Backup {
        Backup(self.state().clone())
    }

    /// Replaces the data by a backup: what was written since is gone, revisions are used again, and an
    /// epoch starts.
    pub fn restore(&self, backup: &Backup) {
        let mut state = self.state();
        *state = backup.0.clone();
        self.epoch.fetch_add(1, Ordering::SeqCst);
        drop(state);
        self.notify_watches();
    }

    /// Sets the fault; waiting watches fail.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Serves a bound listener in the background.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no local address.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) -> io::Result<net::SocketAddr> {
        let address = listener.local_addr()?;
        let registry = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let registry = registry.clone();
                tokio::spawn(async move {
                    let service = service::service_fn(|request| {
                        let registry = registry.clone();
                        async move { Ok::<_, Infallible>(registry.respond_in_epoch(&request).await) }
                    });
                    let io = rt::TokioIo::new(stream);
                    let served = http1::Builder::new().serve_connection(io, service).await;
                    if let Err(error) = served {
                        log::debug!(error:%; "registry: connection failed");
                    }
                });
            }
        });
        Ok(address)
    }

    /// Responds with the epoch in a header; a response that a restoration overlaps is cut off.
    async fn respond_in_epoch(&self, request: &http::Request<hyper::body::Incoming>) -> Response {
        let started_in = self.epoch.load(Ordering::SeqCst);
        let mut response = self.respond(request).await;
        let epoch = self.epoch.load(Ordering::SeqCst);
        if epoch != started_in {
            response = interrupted_response();
        }
        response.headers_mut().insert("store-era", epoch.into());
        response
    }

    async fn respond(&self, request: &http::Request<hyper::body::Incoming>) -> Response {
        let mut faults = self.fault.subscribe();
        let fault = *faults.borrow_and_update();
        match fault {
            Fault::None => {}
            Fault::Busy => return json_response(503, &json!({"error": "busy"})),
            Fault::Silent => std::future::pending().await,
        }
        let path = request.uri().path();
        let rest = path.strip_prefix("/api/objects/").unwrap_or_default();
        let query = request.uri().query().unwrap_or_default();
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(n, _)| *n == name)
                .map(|(_, value)| value.to_owned())
        };
        let answer = match (rest.split_once('/'), parameter("watch")) {
            (Some((kind, name)), _) => match self.state().get(kind, name) {
                Some(object) => json_response(200, &object),
                None => json_response(404, &json!({"error": "no such object"})),
            },
            (None, None) => {
                let after = parameter("after").unwrap_or_default();
                json_response(200, &self.state().list(rest, &after))
            }
            (None, Some(since)) => {
                let wait = parameter("wait_ms").and_then(|wait| wait.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or_default()).min(MAX_WATCH_TIME);
                let since = since.parse().unwrap_or_default();
                self.watch(rest, since, wait, &mut faults).await
            }
        };
        // Checked after the state was read: a change made during a fault must not be delivered.
        if *faults.borrow() != Fault::None {
            return interrupted_response();
        }
        answer
    }

    async fn watch(
        &self,
        kind: &str,
        since: u64,
        wait: Duration,
        faults: &mut watch::Receiver<Fault>,
    ) -> Response {
        let mut changes = self.changes.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            match self.state().changes(kind, since) {
                None => return json_response(410, &json!({"error": "history is gone"})),
                Some(page) if page["events"] != json!([]) => return json_response(200, &page),
                Some(page) if tokio::time::Instant::now() >= deadline => {
                    return json_response(200, &page);
                }
                Some(_) => {}
            }
            tokio::select! {
                _ = changes.changed() => {}
                _ = faults.changed() => return interrupted_response(),
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }
}

/// Response to a call that a fault interrupted.
fn interrupted_response() -> Response {
    json_response(503, &json!({"error": "cut off"}))
}

fn json_response(status: u16, body: &Value) -> Response {
    let mut response = http::Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}
