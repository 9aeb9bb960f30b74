//! One exchange with a backend server, up to the head of its answer.

use std::collections::VecDeque;
use std::error::Error as _;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, header as names};
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use monsooncart_policy::outcome;
use tokio::time::{Instant, timeout_at};

use crate::{attempt, common, gate, header, host_routing, link, payload, server};

/// Bytes of an answer held back, so that a repeatable request can be sent again where its answer
/// is cut short.
const HELD_BYTES: u64 = 64 << 10;

/// Largest answer that is held whole; a larger one is passed on while it comes.
const HELD_WHOLE_BYTES: u64 = 1 << 20;

/// What is sent, where and until when.
pub struct Order {
    /// The server.
    pub server: Arc<server::Server>,
    /// Whether only a new connection will do, or one that was at work a moment ago.
    pub fresh: bool,
    /// Head towards the server, without the headers of the attempt.
    pub head: Arc<http::request::Parts>,
    /// The request body.
    pub source: payload::Source,
    /// Name of the attempt, which the server echoes.
    pub name: HeaderValue,
    /// Latest time for the head of the answer.
    pub until: Instant,
    /// Longest time from the end of a streamed body to the head of the answer.
    pub timeout: Duration,
    /// Whether the beginning of the answer is held back.
    pub hold: bool,
    /// Whether the request may be sent more than once.
    pub repeatable: bool,
    /// Set where bytes of the request may have reached the server.
    pub exposed: Arc<AtomicBool>,
}

/// An answer whose head came.
pub struct Reply {
    /// The connection that it comes on, until it is taken off.
    pub link: Option<link::Link>,
    /// Its head.
    pub head: http::response::Parts,
    /// The beginning of its body.
    pub prefix: VecDeque<Bytes>,
    /// The rest of its body.
    pub rest: Incoming,
}

/// An exchange that gave no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// How it ended.
    pub end: outcome::Outcome,
    /// When the server asked to come back.
    pub retry_after: Option<Duration>,
}

impl From<outcome::Outcome> for Failure {
    fn from(end: outcome::Outcome) -> Self {
        Self {
            end,
            retry_after: None,
        }
    }
}

/// Says at the latest when dropped whether bytes of the request may have reached the server.
struct Exposure {
    gate: Arc<gate::Gate>,
    before: u64,
    exposed: Arc<AtomicBool>,
    refused: bool,
}

impl Exposure {
    /// Closes the gate and says whether a byte passed it.
    fn close(&self) -> bool {
        self.gate.close() > self.before
    }
}

impl Drop for Exposure {
    fn drop(&mut self) {
        if !self.refused && self.gate.written() > self.before {
            self.exposed.store(true, Ordering::Release);
        }
    }
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// Where there is no answer to pass on; the connection is closed.
pub async fn run(
    common: &common::Common,
    order: &Order,
    attempt: &attempt::Attempt,
) -> Result<Reply, Failure> {
    if let Some(link) = pooled(common, order) {
        match on_link(common, order, attempt, link).await {
            // The server closed the connection while it waited for work.
            Err(failure) if failure.end == outcome::Outcome::Unsent && order.is_whole() => {}
            result => return result,
        }
    }
    let link = connect(common, order).await?;
    on_link(common, order, attempt, link).await
}

async fn on_link(
    common: &common::Common,
    order: &Order,
    attempt: &attempt::Attempt,
    mut link: link::Link,
) -> Result<Reply, Failure> {
    let mut exposure = Exposure {
        gate: link.gate.clone(),
        before: link.gate.written(),
        exposed: order.exposed.clone(),
        refused: false,
    };
    let sending = link
        .sender
        .try_send_request(order.request(common.hosts.as_ref()));
    // Where this future is dropped, the exposure below is settled before the link is closed; the
    // guard makes the gate's word final first.
    let closer = Closer(&exposure.gate);
    let result = wait(sending, order).await;
    std::mem::forget(closer);
    let response = match result {
        Some(Ok(response)) => response,
        Some(Err(error)) => return Err(fail(&exposure, order, &error).into()),
        None if exposure.close() => return Err(outcome::Outcome::Timeout.into()),
        None => return Err(outcome::Outcome::Unsent.into()),
    };
    let (head, rest) = response.into_parts();
    if !is_own(common, &head, &order.name) {
        return Err(outcome::Outcome::Garbled.into());
    }
    if let Some(failure) = refused(common, &head) {
        exposure.refused = true;
        // A refusing server is loaded: its connection is kept where the exchange is whole.
        if order.source.is_done() && rest.is_end_stream() && !closes(&head) {
            order.server.pool.put(link, common.clock.now());
        }
        return Err(failure);
    }
    attempt.head(head.status.as_u16());
    let mut reply = Reply {
        link: Some(link),
        head,
        prefix: VecDeque::new(),
        rest,
    };
    match (&common.hosts, order.hold) {
        (Some(_), _) => hold_whole(&mut reply, order.until).await?,
        (None, true) => {
            let stall = common.limits().body_timeout.0;
            hold(&mut reply, stall, order.until).await?;
        }
        (None, false) => {}
    }
    Ok(reply)
}

impl Reply {
    /// Whether the whole body is held.
    pub fn is_whole(&self) -> bool {
        self.rest.is_end_stream()
    }

    /// Whether the server ends the connection after this answer.
    pub fn closes(&self) -> bool {
        closes(&self.head)
    }
}

/// Whether an answer is the last one on its connection.
fn closes(head: &http::response::Parts) -> bool {
    let values = head.headers.get_all(names::CONNECTION).iter();
    let mut tokens = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}

struct Closer<'a>(&'a gate::Gate);

impl Drop for Closer<'_> {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// A connection that waits for work, where one will do.
fn pooled(common: &common::Common, order: &Order) -> Option<link::Link> {
    if order.until <= Instant::now() {
        return None;
    }
    if order.fresh {
        let proved = common
            .pool
            .freshness_window
            .filter(|proved| !proved.is_zero())?;
        return order.server.pool.take(common.clock.now(), proved);
    }
    order
        .server
        .pool
        .take(common.clock.now(), common.pool.idle_timeout)
}

async fn connect(common: &common::Common, order: &Order) -> Result<link::Link, Failure> {
    let now = common.clock.now();
    if order.until <= Instant::now() {
        // No time is left, which says nothing of the server.
        return Err(outcome::Outcome::Cancelled.into());
    }
    let limit = Instant::now() + common.pool.connect_timeout;
    let stall = common.silence();
    let opening = link::Link::open(order.server.spec.address, stall, now);
    common.metrics.opened.inc();
    match timeout_at(limit.min(order.until), opening).await {
        Ok(Ok(link)) => Ok(link),
        Ok(Err(error)) => {
            let server = &order.server.spec;
            log::debug!(server:% = server.name, address:% = server.address, error:%; "pool: connection refused");
            Err(outcome::Outcome::Unsent.into())
        }
        Err(_) => Err(outcome::Outcome::Unsent.into()),
    }
}

impl Order {
    fn request(
        &self,
        hosts: Option<&host_routing::HeaderNames>,
    ) -> http::Request<payload::Payload> {
        let mut request = http::Request::new(self.source.payload());
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.head.headers);
        let left = self.until.saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        match hosts {
            // The request goes on under the name that its caller gave it.
            Some(hosts) => {
                headers.insert(&hosts.deadline, left.into());
                if let Ok(server) = HeaderValue::from_str(self.server.spec.name.as_str()) {
                    headers.insert(&hosts.server, server);
                }
            }
            None => {
                headers.insert(header::ATTEMPT, self.name.clone());
                headers.insert(header::DEADLINE, left.into());
            }
        }
        request
    }

    /// Whether no attempt took a part of the body, now that this one ended.
    fn is_whole(&self) -> bool {
        self.source.end_turn();
        self.source.is_whole()
    }

    /// Whether the request can and may be sent again after this attempt ended.
    pub fn is_replayable(&self) -> bool {
        let may = self.repeatable || !self.exposed.load(Ordering::Acquire);
        may && self.is_whole()
    }

    /// A later time to wait until, where the caller still sends the body.
    fn later(&self) -> Option<Instant> {
        let payload::Source::Streamed(stream) = &self.source else {
            return None;
        };
        if !stream.is_taken() {
            return None;
        }
        let now = Instant::now();
        let until = stream.done().unwrap_or(now) + self.timeout;
        (until > now).then_some(until)
    }
}

async fn wait<F: Future>(sending: F, order: &Order) -> Option<F::Output> {
    tokio::pin!(sending);
    let mut until = order.until;
    loop {
        match timeout_at(until, sending.as_mut()).await {
            Ok(result) => return Some(result),
            Err(_) => until = order.later()?,
        }
    }
}

fn fail(
    exposure: &Exposure,
    order: &Order,
    error: &TrySendError<http::Request<payload::Payload>>,
) -> outcome::Outcome {
    if !exposure.close() {
        return outcome::Outcome::Unsent;
    }
    if order.source.fault().is_some() {
        return outcome::Outcome::Cancelled;
    }
    end(error.error())
}

/// How an exchange ended that an error broke.
pub fn end(error: &hyper::Error) -> outcome::Outcome {
    let timed_out = |error: &io::Error| error.kind() == io::ErrorKind::TimedOut;
    let cause = error.source().and_then(|e| e.downcast_ref::<io::Error>());
    if error.is_parse() {
        outcome::Outcome::Garbled
    } else if cause.is_some_and(timed_out) {
        outcome::Outcome::Timeout
    } else {
        outcome::Outcome::Broken
    }
}

/// Whether an answer is not known to be another attempt's.
fn is_own(common: &common::Common, head: &http::response::Parts, name: &HeaderValue) -> bool {
    let echo = match &common.hosts {
        Some(hosts) => &hosts.request,
        None => &header::ATTEMPT,
    };
    let mut echoes = head.headers.get_all(echo).iter();
    // Servers behind hosts echo the name always; an answer without it may be another request's.
    let named = common.hosts.is_none() || head.headers.contains_key(echo);
    head.status.as_u16() >= 200 && named && echoes.all(|echo| echo == name)
}

/// The refusal that a server's answer stands for.
fn refused(common: &common::Common, head: &http::response::Parts) -> Option<Failure> {
    let Some(hosts) = &common.hosts else {
        return shed(head);
    };
    if head.status == http::StatusCode::MISDIRECTED_REQUEST {
        return Some(outcome::Outcome::Misdirected.into());
    }
    let busy = matches!(
        head.status,
        http::StatusCode::SERVICE_UNAVAILABLE | http::StatusCode::TOO_MANY_REQUESTS
    );
    if !busy || !head.headers.contains_key(&hosts.not_run) {
        return None;
    }
    Some(Failure {
        end: outcome::Outcome::Shed { leaving: false },
        retry_after: header::number(&head.headers, &names::RETRY_AFTER).map(Duration::from_secs),
    })
}

/// The refusal that a server's answer stands for where servers are told the fleet's own names.
fn shed(head: &http::response::Parts) -> Option<Failure> {
    let not_run = <&'static str>::from(Outcome::NotRun);
    let says = |value: &HeaderValue| value == not_run;
    let refused = head.headers.get(header::OUTCOME).is_some_and(says);
    if head.status != http::StatusCode::SERVICE_UNAVAILABLE || !refused {
        return None;
    }
    Some(Failure {
        end: outcome::Outcome::Shed {
            leaving: header::is_true(&head.headers, &header::LEAVING),
        },
        retry_after: header::number(&head.headers, &names::RETRY_AFTER).map(Duration::from_secs),
    })
}

/// The values of the outcome header.
#[derive(Clone, Copy, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The work was not run.
    NotRun,
    /// The work may have run.
    Unknown,
}

impl From<outcome::Execution> for Outcome {
    fn from(run: outcome::Execution) -> Self {
        match run {
            outcome::Execution::NotRun => Self::NotRun,
            outcome::Execution::Unknown => Self::Unknown,
        }
    }
}

/// Reads a body to its end, up to a bound, so that an answer that is cut short or late is known
/// before the caller saw a byte of it.
async fn hold_whole(reply: &mut Reply, until: Instant) -> Result<(), Failure> {
    let mut held = 0;
    while held < HELD_WHOLE_BYTES && !reply.rest.is_end_stream() {
        let frame = match timeout_at(until, reply.rest.frame()).await {
            Ok(None) => return Ok(()),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(end(&error).into()),
            Err(_) => return Err(outcome::Outcome::Timeout.into()),
        };
        if let Ok(data) = frame.into_data() {
            held += data.len() as u64;
            reply.prefix.push_back(data);
        }
    }
    Ok(())
}

/// Reads the beginning of a body of known length, or the whole of a small one.
///
/// It is not held beyond the time for its head.
async fn hold(reply: &mut Reply, stall: Duration, until: Instant) -> Result<(), Failure> {
    if reply.rest.size_hint().exact().is_none() {
        return Ok(());
    }
    let mut held = 0;
    while held < HELD_BYTES && !reply.rest.is_end_stream() {
        let stalled = Instant::now() + stall;
        let frame = match timeout_at(stalled.min(until), reply.rest.frame()).await {
            Ok(None) => return Ok(()),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(end(&error).into()),
            Err(_) if Instant::now() >= until => return Ok(()),
            Err(_) => return Err(outcome::Outcome::Timeout.into()),
        };
        if let Ok(data) = frame.into_data() {
            held += data.len() as u64;
            reply.prefix.push_back(data);
        }
    }
    Ok(())
}
