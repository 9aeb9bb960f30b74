//! Client of the object API and the VM list over HTTP/1.1.
//!
//! A write that was passed to a connection without getting a complete response fails with
//! `Unknown`: it may have taken effect, or may still do so. `NotDone` is returned only for calls
//! that were never sent, were rejected, or are reads and have no effect. The client repeats only
//! requests that hyper returns as unsent.

use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::sync::Semaphore;

use crate::{counter, dialect, error, object, protocol, store, vms};

/// Timeouts of calls and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time limit for opening a connection.
    pub connect: Duration,
    /// Time limit for a call, in addition to the wait of a watch.
    pub call: Duration,
    /// TCP user timeout, and idle time before and between keepalive probes.
    pub keepalive: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(2),
            call: Duration::from_secs(5),
            keepalive: Duration::from_secs(5),
        }
    }
}

/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Maximum number of concurrent calls, excluding watches.
const MAX_CONCURRENT_CALLS: usize = 16;

/// Large enough for a page and one more value, as escaped JSON.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

type Connection = http1::SendRequest<Full<Bytes>>;

type Request = http::Request<Full<Bytes>>;

type Response = http::Response<Bytes>;

/// Why a call got no complete response.
enum Failure {
    /// No part of the request was sent.
    NotSent(String),
    /// The request was sent, at least in part.
    NoResponse(String),
}

/// Client of the platform's object API and VM list.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    peer: String,
    dialect: Arc<dyn dialect::Dialect>,
    timeouts: Timeouts,
    idle: Mutex<Vec<Connection>>,
    call_permits: Semaphore,
    counter: counter::Counter,
}

impl Client {
    /// Creates a client for `address` that uses the native dialect; connects on the first call.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self::with_dialect(address, Arc::new(protocol::Native), Timeouts::default())
    }

    /// Creates a client for `address`; connects on the first call.
    #[must_use]
    pub fn with_dialect(
        address: net::SocketAddr,
        dialect: Arc<dyn dialect::Dialect>,
        timeouts: Timeouts,
    ) -> Self {
        Self {
            address,
            peer: address.to_string(),
            dialect,
            timeouts,
            idle: Mutex::default(),
            call_permits: Semaphore::new(MAX_CONCURRENT_CALLS),
            counter: counter::Counter::default(),
        }
    }

    /// Address of the platform.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Calls made so far, by operation.
    #[must_use]
    pub fn counter(&self) -> &counter::Counter {
        &self.counter
    }

    fn idle_pool(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn not_done(&self, operation: error::Operation, reason: impl Into<String>) -> error::Error {
        error::Error::NotDone {
            operation,
            peer: self.peer.clone(),
            reason: reason.into(),
        }
    }

    fn unknown(&self, operation: error::Operation, reason: impl Into<String>) -> error::Error {
        error::Error::Unknown {
            operation,
            peer: self.peer.clone(),
            reason: reason.into(),
        }
    }

    /// The error of a call without a complete response: a write may have taken effect, a read cannot
    /// have.
    fn no_response(&self, operation: error::Operation, reason: impl Into<String>) -> error::Error {
        match operation {
            error::Operation::Put | error::Operation::Delete => self.unknown(operation, reason),
            _ => self.not_done(operation, reason),
        }
    }

    fn build_request(&self, call: &dialect::Call<'_>) -> Result<Request, error::Error> {
        let mut request = self.dialect.encode(call);
        let host = http::HeaderValue::from_str(&self.peer);
        let host = host.map_err(|error| self.not_done(call.operation(), error.to_string()))?;
        request.headers_mut().insert(http::header::HOST, host);
        Ok(request.map(Full::new))
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        let not_sent = |reason: String| Failure::NotSent(reason);
        let open = async {
            let stream = tokio::net::TcpStream::connect(self.address).await;
            let stream = stream.map_err(|error| not_sent(format!("connect: {error}")))?;
            let configured = set_socket_options(&stream, self.timeouts.keepalive);
            configured.map_err(|error| not_sent(format!("socket options: {error}")))?;
            let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
            handshake.map_err(|error| not_sent(format!("handshake: {error}")))
        };
        let (sender, connection) = tokio::time::timeout(self.timeouts.connect, open)
            .await
            .map_err(|_| not_sent("connect: timed out".to_owned()))??;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Sends a request and receives its response. If a pooled connection turns out to be closed and
    /// the request is unsent, another connection is used.
    async fn exchange(&self, mut request: Request) -> Result<Response, Failure> {
        loop {
            let pooled = self.idle_pool().pop();
            let is_reused = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.connect().await?,
            };
            if let Err(error) = connection.ready().await {
                if is_reused {
                    continue;
                }
                return Err(Failure::NotSent(error.to_string()));
            }
            let response = match connection.try_send_request(request).await {
                Ok(response) => response,
                Err(mut error) => match error.take_message() {
                    Some(unsent) if is_reused => {
                        request = unsent;
                        continue;
                    }
                    Some(_) => return Err(Failure::NotSent(error.error().to_string())),
                    None => return Err(Failure::NoResponse(error.error().to_string())),
                },
            };
            let (head, body) = response.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| Failure::NoResponse(error.to_string()))?;
            self.return_to_pool(connection);
            return Ok(http::Response::from_parts(head, body.to_bytes()));
        }
    }

    fn return_to_pool(&self, connection: Connection) {
        let mut idle = self.idle_pool();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    async fn send(
        &self,
        operation: error::Operation,
        request: Request,
        wait: Duration,
    ) -> Result<Response, error::Error> {
        let deadline = tokio::time::Instant::now() + self.timeouts.call + wait;
        let permit = match operation {
            error::Operation::Watch => None,
            _ => match tokio::time::timeout_at(deadline, self.call_permits.acquire()).await {
                Ok(Ok(permit)) => Some(permit),
                _ => return Err(self.not_done(operation, "too many concurrent calls")),
            },
        };
        self.counter.count(operation);
        let response = tokio::time::timeout_at(deadline, self.exchange(request)).await;
        drop(permit);
        match response {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(Failure::NotSent(reason))) => Err(self.not_done(operation, reason)),
            Ok(Err(Failure::NoResponse(reason))) => Err(self.no_response(operation, reason)),
            Err(_) => Err(self.no_response(operation, "timed out waiting for the response")),
        }
    }

    /// Converts a failure decoded from a response to the error that the caller gets.
    fn to_error(
        &self,
        operation: error::Operation,
        key: &str,
        failure: dialect::Failure,
    ) -> error::Error {
        match failure {
            dialect::Failure::Conflict(found) => error::Error::Conflict {
                operation,
                peer: self.peer.clone(),
                key: key.to_owned(),
                found,
            },
            dialect::Failure::NotDone(reason) => self.not_done(operation, reason),
            dialect::Failure::Unknown(reason) => self.no_response(operation, reason),
        }
    }

    /// Makes a call and decodes its response with `decode`.
    async fn execute<T>(
        &self,
        call: dialect::Call<'_>,
        decode: impl FnOnce(&dyn dialect::Dialect, Response) -> Result<T, dialect::Failure>,
    ) -> Result<T, error::Error> {
        let request = self.build_request(&call)?;
        let response = self.send(call.operation(), request, call.wait()).await?;
        let decoded = decode(self.dialect.as_ref(), response);
        decoded.map_err(|failure| self.to_error(call.operation(), call.key(), failure))
    }
}

/// Disables Nagle's algorithm and lets the kernel detect an unreachable peer.
fn set_socket_options(stream: &tokio::net::TcpStream, timeout: Duration) -> std::io::Result<()> {
    // Otherwise a response waits for a delayed acknowledgement.
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(timeout)
        .with_interval(timeout);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(timeout))
}

impl store::Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> store::CallFuture<'a, Option<object::Object>> {
        let call = dialect::Call::Get { key };
        Box::pin(self.execute(call, move |dialect, response| {
            dialect.decode_get(key, response)
        }))
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: object::Condition,
    ) -> store::CallFuture<'a, object::Version> {
        let call = dialect::Call::Put {
            key,
            value,
            condition,
        };
        Box::pin(self.execute(call, |dialect, response| dialect.decode_put(response)))
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        condition: object::Condition,
    ) -> store::CallFuture<'a, ()> {
        let call = dialect::Call::Delete { key, condition };
        Box::pin(self.execute(call, |dialect, response| dialect.decode_delete(response)))
    }

    fn list<'a>(&'a self, prefix: &'a str, after: &'a str) -> store::CallFuture<'a, object::Page> {
        let call = dialect::Call::List { prefix, after };
        Box::pin(self.execute(call, move |dialect, response| {
            dialect.decode_list(prefix, response)
        }))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: object::Version,
        wait: Duration,
    ) -> store::CallFuture<'a, object::Page> {
        let call = dialect::Call::Watch {
            prefix,
            since,
            wait,
        };
        Box::pin(self.execute(call, move |dialect, response| {
            dialect.decode_watch(prefix, response)
        }))
    }
}

impl vms::List for Client {
    fn vms(&self) -> store::CallFuture<'_, Vec<vms::Vm>> {
        Box::pin(self.execute(dialect::Call::Vms, |dialect, response| {
            dialect.decode_vms(response)
        }))
    }
}
