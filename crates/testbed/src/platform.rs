//! The platform's object API and VM list, served over HTTP.
//!
//! [`Platform`] serves a [`memory::Memory`] on a bound listener in the protocol of
//! [`monsooncart_store::protocol`]; a second listener sets the injected faults and reports the
//! received calls. Faults are injected in this layer only: the content of the store is always
//! consistent.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use monsooncart_store::{error, memory, object, protocol, store, vms};
use tokio::net;
use tokio::sync::watch;

mod faults;
mod rates;

pub use faults::{Faults, Outage};
pub use rates::{Rate, Report};

type Request = http::Request<hyper::body::Incoming>;

type Response = http::Response<Full<Bytes>>;

/// Maximum size of a request body: more than that of a value, so that the store itself rejects
/// values that are too large.
const MAX_BODY_BYTES: usize = memory::MAX_OBJECT_BYTES + 1024;

/// Maximum time for which a watch waits for a change.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// Error that closes a connection without a response.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("response withheld")]
struct Withheld;

/// Simulation of the platform's service.
#[derive(Debug)]
pub struct Platform {
    memory: Arc<memory::Memory>,
    faults: watch::Sender<Faults>,
    frozen_vms: Mutex<Option<Vec<vms::Vm>>>,
    started_at: Instant,
}

impl Platform {
    /// Creates a platform on a store, without faults.
    #[must_use]
    pub fn new(memory: Arc<memory::Memory>) -> Arc<Self> {
        Arc::new(Self {
            memory,
            faults: watch::Sender::new(Faults::default()),
            frozen_vms: Mutex::default(),
            started_at: Instant::now(),
        })
    }

    /// The underlying store.
    #[must_use]
    pub fn memory(&self) -> &Arc<memory::Memory> {
        &self.memory
    }

    /// Returns the injected faults.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.faults.borrow().clone()
    }

    /// Sets the injected faults; an outage closes waiting watches.
    pub fn set_faults(&self, faults: Faults) {
        let mut frozen_vms = self
            .frozen_vms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *frozen_vms = match (faults.frozen_vms, frozen_vms.take()) {
            (true, None) => Some(self.memory.vm_list()),
            (true, list) => list,
            (false, _) => None,
        };
        drop(frozen_vms);
        self.faults.send_replace(faults);
    }

    /// Returns the calls so far and their rates.
    #[must_use]
    pub fn report(&self) -> Report {
        Report::new(self.memory.counter(), self.started_at.elapsed())
    }

    /// Serves the platform's service on a listener until the future is dropped.
    pub async fn serve(self: Arc<Self>, listener: net::TcpListener) {
        accept_connections(listener, move |request| {
            let platform = self.clone();
            async move { platform.respond(request).await }
        })
        .await;
    }

    /// Serves the control of faults on a listener until the future is dropped.
    pub async fn serve_control(self: Arc<Self>, listener: net::TcpListener) {
        accept_connections(listener, move |request| {
            let platform = self.clone();
            async move { Ok(platform.control(request).await) }
        })
        .await;
    }

    async fn respond(&self, request: Request) -> Result<Response, Withheld> {
        let mut faults = self.faults.subscribe();
        let current = faults.borrow_and_update().clone();
        if current.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(current.delay_ms)).await;
        }
        match self.faults().outage {
            Outage::None => {}
            Outage::Refused => {
                return Ok(text_response(
                    http::StatusCode::SERVICE_UNAVAILABLE,
                    "outage",
                ));
            }
            Outage::Closed => return Err(Withheld),
            Outage::Silent => {
                let _ = faults.wait_for(|f| f.outage != Outage::Silent).await;
                return Err(Withheld);
            }
        }
        if self.is_held_write(&request) {
            let is_released = |f: &Faults| f.held_writes != current.held_writes;
            let _ = faults.wait_for(is_released).await;
            return Err(Withheld);
        }
        let is_write = matches!(*request.method(), http::Method::PUT | http::Method::DELETE);
        let outage = faults.wait_for(|f| f.outage != Outage::None);
        let response = tokio::select! {
            response = self.route(request) => response,
            _ = outage => return Err(Withheld),
        };
        if is_write && self.consume_lost_response() {
            return Err(Withheld);
        }
        Ok(response)
    }

    /// Whether a call is a write that is held: it has no effect and gets no response.
    fn is_held_write(&self, request: &Request) -> bool {
        let prefix = self.faults().held_writes;
        if prefix.is_empty() || *request.method() == http::Method::GET {
            return false;
        }
        let path = request.uri().path();
        let key = path.strip_prefix(protocol::OBJECTS);
        let key = key.and_then(|rest| protocol::percent_decode(rest.strip_prefix('/')?));
        key.is_some_and(|key| key.starts_with(&prefix))
    }

    /// Counts down the responses to lose; returns whether the response to this write is lost.
    fn consume_lost_response(&self) -> bool {
        self.faults.send_if_modified(|faults| {
            let is_lost = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            is_lost
        })
    }

    async fn route(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let key = path.strip_prefix(protocol::OBJECTS);
        let key = key.and_then(|rest| rest.strip_prefix('/'));
        match (request.method().clone(), key, path.as_str()) {
            (http::Method::GET, Some(key), _) => self.get(key).await,
            (http::Method::PUT, Some(key), _) => self.put(key, request).await,
            (http::Method::DELETE, Some(key), _) => self.delete(key, &request).await,
            (http::Method::GET, None, protocol::OBJECTS) => self.list(&query).await,
            (http::Method::GET, None, protocol::WATCH) => self.watch(&query).await,
            (http::Method::GET, None, protocol::VMS) => self.vms().await,
            (http::Method::PUT, None, protocol::VMS) => self.put_vms(request).await,
            _ => text_response(http::StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn get(&self, key: &str) -> Response {
        let Some(key) = protocol::percent_decode(key) else {
            return bad_request("key is not percent-encoded UTF-8");
        };
        match store::Store::get(self.memory.as_ref(), &key).await {
            Ok(Some(object)) => {
                let body = object.value.unwrap_or_default();
                versioned_response(http::StatusCode::OK, Some(object.version), body)
            }
            Ok(None) => text_response(http::StatusCode::NOT_FOUND, "object is absent"),
            Err(error) => error_response(&error),
        }
    }

    async fn put(&self, key: &str, request: Request) -> Response {
        let Some(key) = protocol::percent_decode(key) else {
            return bad_request("key is not percent-encoded UTF-8");
        };
        let Some(condition) = parse_condition(&request) else {
            return bad_request("condition is not a version");
        };
        let value = match read_body(request).await {
            Ok(value) => value,
            Err(response) => return response,
        };
        match store::Store::put(self.memory.as_ref(), &key, value, condition).await {
            Ok(version) => versioned_response(http::StatusCode::OK, Some(version), Bytes::new()),
            Err(error) => error_response(&error),
        }
    }

    async fn delete(&self, key: &str, request: &Request) -> Response {
        let Some(key) = protocol::percent_decode(key) else {
            return bad_request("key is not percent-encoded UTF-8");
        };
        let Some(condition) = parse_condition(request) else {
            return bad_request("condition is not a version");
        };
        match store::Store::delete(self.memory.as_ref(), &key, condition).await {
            Ok(()) => versioned_response(http::StatusCode::NO_CONTENT, None, Bytes::new()),
            Err(error) => error_response(&error),
        }
    }

    async fn list(&self, query: &str) -> Response {
        let prefix = query_parameter(query, "prefix").unwrap_or_default();
        let after = query_parameter(query, "after").unwrap_or_default();
        page_response(store::Store::list(self.memory.as_ref(), &prefix, &after).await)
    }

    async fn watch(&self, query: &str) -> Response {
        let prefix = query_parameter(query, "prefix").unwrap_or_default();
        let number = |name| query_parameter(query, name).and_then(|text| text.parse().ok());
        let since = object::Version(number("since").unwrap_or_default());
        let wait = Duration::from_millis(number("wait-ms").unwrap_or_default()).min(MAX_WATCH_TIME);
        page_response(store::Store::watch(self.memory.as_ref(), &prefix, since, wait).await)
    }

    async fn vms(&self) -> Response {
        let live = vms::List::vms(self.memory.as_ref()).await;
        let frozen_vms = self
            .frozen_vms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match (frozen_vms.as_ref(), live) {
            (Some(frozen), _) => json_response(frozen),
            (None, Ok(live)) => json_response(&live),
            (None, Err(error)) => error_response(&error),
        }
    }

    async fn put_vms(&self, request: Request) -> Response {
        let list = match read_body(request).await {
            Ok(list) => list,
            Err(response) => return response,
        };
        match serde_json::from_slice(&list) {
            Ok(list) => self.memory.set_vms(list),
            Err(error) => return bad_request(&format!("VM list: {error}")),
        }
        text_response(http::StatusCode::NO_CONTENT, "")
    }

    async fn control(&self, request: Request) -> Response {
        match (request.method().clone(), request.uri().path()) {
            (http::Method::GET, "/v1/faults") => json_response(&self.faults()),
            (http::Method::PUT, "/v1/faults") => self.put_faults(request).await,
            (http::Method::GET, "/v1/calls") => json_response(&self.report()),
            _ => text_response(http::StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn put_faults(&self, request: Request) -> Response {
        let faults = match read_body(request).await {
            Ok(faults) => faults,
            Err(response) => return response,
        };
        match serde_json::from_slice(&faults) {
            Ok(faults) => self.set_faults(faults),
            Err(error) => return bad_request(&format!("faults: {error}")),
        }
        text_response(http::StatusCode::NO_CONTENT, "")
    }
}

/// Serves every connection of a listener with `handle` until the future is dropped.
async fn accept_connections<H, F>(listener: net::TcpListener, handle: H)
where
    H: Fn(Request) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response, Withheld>> + Send + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "platform: could not accept connection");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let service = service::service_fn(handle.clone());
        let connection = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
        tokio::spawn(async move {
            // A connection fails whenever a response is withheld.
            let _ = connection.await;
        });
    }
}

async fn read_body(request: Request) -> Result<Bytes, Response> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await;
    let too_large = |_| text_response(http::StatusCode::PAYLOAD_TOO_LARGE, "body is too large");
    Ok(body.map_err(too_large)?.to_bytes())
}

fn parse_condition(request: &Request) -> Option<object::Condition> {
    let headers = request.headers();
    if headers.contains_key(protocol::IF_ABSENT) {
        return Some(object::Condition::Absent);
    }
    match headers.get(protocol::IF_VERSION) {
        Some(version) => {
            let version = version.to_str().ok()?.parse().ok()?;
            Some(object::Condition::At(version))
        }
        None => Some(object::Condition::Always),
    }
}

fn query_parameter(query: &str, name: &str) -> Option<String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.filter(|(key, _)| *key == name).map(|(_, v)| v).next();
    protocol::percent_decode(value?)
}

fn text_response(status: http::StatusCode, text: &str) -> Response {
    versioned_response(status, None, Bytes::copy_from_slice(text.as_bytes()))
}

fn bad_request(reason: &str) -> Response {
    text_response(http::StatusCode::BAD_REQUEST, reason)
}

fn versioned_response(
    status: http::StatusCode,
    version: Option<object::Version>,
    body: Bytes,
) -> Response {
    let mut response = http::Response::new(Full::new(body));
    *response.status_mut() = status;
    if let Some(version) = version {
        let value = http::HeaderValue::from(version.0);
        response
            .headers_mut()
            .insert(protocol::OBJECT_VERSION, value);
    }
    response
}

fn json_response<T: serde::Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => versioned_response(http::StatusCode::OK, None, Bytes::from(body)),
        Err(error) => text_response(http::StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn page_response(page: Result<object::Page, error::Error>) -> Response {
    match page {
        Ok(page) => json_response(&protocol::Page::from(&page)),
        Err(error) => error_response(&error),
    }
}

fn error_response(error: &error::Error) -> Response {
    match error {
        error::Error::Conflict { found, .. } => {
            let status = http::StatusCode::PRECONDITION_FAILED;
            versioned_response(status, *found, Bytes::new())
        }
        error::Error::NotDone { reason, .. } => bad_request(reason),
        error::Error::Unknown { reason, .. } => {
            text_response(http::StatusCode::INTERNAL_SERVER_ERROR, reason)
        }
    }
}
