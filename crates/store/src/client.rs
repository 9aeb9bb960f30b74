//! The platform's service over HTTP/1.1.
//!
//! A write that was handed to a connection and got no whole answer is `Unknown`: it may have taken
//! effect, or may do so later. `NotDone` is said only of what was never sent, was refused, or, as a
//! read, has no effect. No call is repeated here except one that hyper hands back as never sent.

use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::sync::Semaphore;

use crate::{counter, dialect, error, object, protocol, store, vms};

/// Times after which calls are given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest time to open a connection.
    pub connect: Duration,
    /// Longest time for a call, beyond the wait of a watch.
    pub call: Duration,
    /// Longest time for which a connection may go without an acknowledgement, and quiet time
    /// before the kernel probes it.
    pub silence: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(2),
            call: Duration::from_secs(5),
            silence: Duration::from_secs(5),
        }
    }
}

/// Idle connections kept.
const MAX_IDLE: usize = 4;

/// Calls at a time, watches apart.
const MAX_CALLS: usize = 16;

/// Largest answer, in bytes: a page and one more value, as escaped JSON.
const MAX_ANSWER: usize = 64 << 20;

type Connection = http1::SendRequest<Full<Bytes>>;

type Request = http::Request<Full<Bytes>>;

type Answer = http::Response<Bytes>;

/// Why a call got no whole answer.
enum Failure {
    /// Nothing of the request was sent.
    Unsent(String),
    /// The request was sent, in part at least.
    Lost(String),
}

/// A client of the platform's service.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    peer: String,
    dialect: Arc<dyn dialect::Dialect>,
    timeouts: Timeouts,
    idle: Mutex<Vec<Connection>>,
    calls: Semaphore,
    counter: counter::Counter,
}

impl Client {
    /// A client of the service at `address`, in the project's own dialect; connects when first
    /// called.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        Self::with(address, Arc::new(protocol::Own), Timeouts::default())
    }

    /// A client of the service at `address`; connects when first called.
    #[must_use]
    pub fn with(
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
            calls: Semaphore::new(MAX_CALLS),
            counter: counter::Counter::default(),
        }
    }

    /// Address of the service.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Calls so far.
    #[must_use]
    pub fn counter(&self) -> &counter::Counter {
        &self.counter
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn not_done(&self, step: error::Step, reason: impl Into<String>) -> error::Error {
        error::Error::NotDone {
            step,
            peer: self.peer.clone(),
            reason: reason.into(),
        }
    }

    fn unknown(&self, step: error::Step, reason: impl Into<String>) -> error::Error {
        error::Error::Unknown {
            step,
            peer: self.peer.clone(),
            reason: reason.into(),
        }
    }

    /// What a failure without a whole answer says of a call: reads have no effect.
    fn lost(&self, step: error::Step, reason: impl Into<String>) -> error::Error {
        match step {
            error::Step::Put | error::Step::Delete => self.unknown(step, reason),
            _ => self.not_done(step, reason),
        }
    }

    fn request(&self, call: &dialect::Call<'_>) -> Result<Request, error::Error> {
        let mut request = self.dialect.request(call);
        let host = http::HeaderValue::from_str(&self.peer);
        let host = host.map_err(|error| self.not_done(call.step(), error.to_string()))?;
        request.headers_mut().insert(http::header::HOST, host);
        Ok(request.map(Full::new))
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        let unsent = |reason: String| Failure::Unsent(reason);
        let open = async {
            let stream = tokio::net::TcpStream::connect(self.address).await;
            let stream = stream.map_err(|error| unsent(format!("connect: {error}")))?;
            let tuned = tune(&stream, self.timeouts.silence);
            tuned.map_err(|error| unsent(format!("socket options: {error}")))?;
            let handshake = http1::handshake(rt::TokioIo::new(stream)).await;
            handshake.map_err(|error| unsent(format!("handshake: {error}")))
        };
        let (sender, connection) = tokio::time::timeout(self.timeouts.connect, open)
            .await
            .map_err(|_| unsent("connect: timed out".to_owned()))??;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn exchange(&self, mut request: Request) -> Result<Answer, Failure> {
        loop {
            let pooled = self.idle().pop();
            let reused = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.connect().await?,
            };
            if let Err(error) = connection.ready().await {
                if reused {
                    continue;
                }
                return Err(Failure::Unsent(error.to_string()));
            }
            let answer = match connection.try_send_request(request).await {
                Ok(answer) => answer,
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => {
                        request = unsent;
                        continue;
                    }
                    Some(_) => return Err(Failure::Unsent(error.error().to_string())),
                    None => return Err(Failure::Lost(error.error().to_string())),
                },
            };
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, MAX_ANSWER).collect().await;
            let body = body.map_err(|error| Failure::Lost(error.to_string()))?;
            self.keep(connection);
            return Ok(http::Response::from_parts(head, body.to_bytes()));
        }
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    async fn call(
        &self,
        step: error::Step,
        request: Request,
        wait: Duration,
    ) -> Result<Answer, error::Error> {
        let end = tokio::time::Instant::now() + self.timeouts.call + wait;
        let permit = match step {
            error::Step::Watch => None,
            _ => match tokio::time::timeout_at(end, self.calls.acquire()).await {
                Ok(Ok(permit)) => Some(permit),
                _ => return Err(self.not_done(step, "too many calls wait for an answer")),
            },
        };
        self.counter.count(step);
        let answer = tokio::time::timeout_at(end, self.exchange(request)).await;
        drop(permit);
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(Failure::Unsent(reason))) => Err(self.not_done(step, reason)),
            Ok(Err(Failure::Lost(reason))) => Err(self.lost(step, reason)),
            Err(_) => Err(self.lost(step, "no answer in time")),
        }
    }

    /// The error that a refusal stands for.
    fn refusal(&self, step: error::Step, key: &str, refusal: dialect::Refusal) -> error::Error {
        match refusal {
            dialect::Refusal::Conflict(found) => error::Error::Conflict {
                step,
                peer: self.peer.clone(),
                key: key.to_owned(),
                found,
            },
            dialect::Refusal::NotDone(reason) => self.not_done(step, reason),
            dialect::Refusal::Unclear(reason) => self.lost(step, reason),
        }
    }

    /// Makes a call and reads its answer.
    async fn make<T>(
        &self,
        call: dialect::Call<'_>,
        read: impl FnOnce(&dyn dialect::Dialect, Answer) -> Result<T, dialect::Refusal>,
    ) -> Result<T, error::Error> {
        let request = self.request(&call)?;
        let answer = self.call(call.step(), request, call.wait()).await?;
        let read = read(self.dialect.as_ref(), answer);
        read.map_err(|refusal| self.refusal(call.step(), call.key(), refusal))
    }
}

/// Makes the kernel send at once and notice a peer that went silent.
fn tune(stream: &tokio::net::TcpStream, silence: Duration) -> std::io::Result<()> {
    // Without it an answer waits for a delayed acknowledgement.
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(silence)
        .with_interval(silence);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(silence))
}

impl store::Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> store::Call<'a, Option<object::Object>> {
        let call = dialect::Call::Get { key };
        Box::pin(self.make(call, move |dialect, answer| dialect.object(key, answer)))
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: Bytes,
        condition: object::Condition,
    ) -> store::Call<'a, object::Version> {
        let call = dialect::Call::Put {
            key,
            value,
            condition,
        };
        Box::pin(self.make(call, |dialect, answer| dialect.written(answer)))
    }

    fn delete<'a>(&'a self, key: &'a str, condition: object::Condition) -> store::Call<'a, ()> {
        let call = dialect::Call::Delete { key, condition };
        Box::pin(self.make(call, |dialect, answer| dialect.removed(answer)))
    }

    fn list<'a>(&'a self, prefix: &'a str, after: &'a str) -> store::Call<'a, object::Page> {
        let call = dialect::Call::List { prefix, after };
        Box::pin(self.make(call, move |dialect, answer| dialect.page(prefix, answer)))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        since: object::Version,
        wait: Duration,
    ) -> store::Call<'a, object::Page> {
        let call = dialect::Call::Watch {
            prefix,
            since,
            wait,
        };
        Box::pin(self.make(call, move |dialect, answer| dialect.changes(prefix, answer)))
    }
}

impl vms::List for Client {
    fn vms(&self) -> store::Call<'_, Vec<vms::Vm>> {
        Box::pin(self.make(dialect::Call::Vms, |dialect, answer| dialect.vms(answer)))
    }
}
