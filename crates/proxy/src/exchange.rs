//! One exchange with a backend server, up to the response head.

mod buffering;
pub mod relayed;

use std::error::Error as _;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{HeaderValue, header as names};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use monsooncart_policy::outcome;
use tokio::time::{Instant, timeout_at};

use crate::{
    announcement, attempt, common, deadline, gate, header, host_routing, link, payload, prefix,
    server,
};

/// Parameters of an exchange.
pub struct Call {
    /// Whether the connection must be new or within the pool's freshness window.
    pub fresh_connection: bool,
    /// Request head without the headers of the attempt.
    pub head: Arc<http::request::Parts>,
    pub request_body: payload::Access,
    /// Id of the attempt or the caller's request id, which the server echoes.
    pub correlation_id: HeaderValue,
    pub deadlines: deadline::Deadlines,
    /// Whether the beginning of the response is buffered.
    pub buffer_prefix: bool,
    pub repeatable: bool,
    /// Set if bytes of the request may have reached the server.
    pub possibly_sent: Arc<AtomicBool>,
}

/// A response whose head was received.
pub struct Reply {
    /// Connection that carries the response.
    pub connection: Option<link::Connection>,
    pub head: http::response::Parts,
    /// Buffered beginning of the body.
    pub prefix: prefix::Prefix,
    /// Remainder of the body.
    pub rest: Incoming,
    /// Whether the end of a body without a length was received.
    pub ended: bool,
}

/// A failed exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    pub outcome: outcome::Outcome,
    /// Retry delay that the server requested.
    pub retry_after: Option<Duration>,
    /// Phase that a deadline ended, if one did.
    pub expired: Option<deadline::Phase>,
}

impl From<outcome::Outcome> for Failure {
    fn from(outcome: outcome::Outcome) -> Self {
        Self {
            outcome,
            retry_after: None,
            expired: None,
        }
    }
}

impl Failure {
    /// A failure because a deadline has passed.
    fn expired(phase: deadline::Phase) -> Self {
        Self {
            expired: Some(phase),
            ..outcome::Outcome::Timeout.into()
        }
    }
}

/// Tracks whether bytes of a request were written, and records it in `possibly_sent` on drop
/// unless the server refused the request.
struct SendTracker {
    gate: Arc<gate::Gate>,
    written_bytes_before: u64,
    possibly_sent: Arc<AtomicBool>,
    refused: bool,
}

impl SendTracker {
    /// Blocks further writes and returns whether any byte of the request was written.
    fn close_gate(&self) -> bool {
        self.gate.close() > self.written_bytes_before
    }
}

impl Drop for SendTracker {
    fn drop(&mut self) {
        if !self.refused && self.gate.written_bytes() > self.written_bytes_before {
            self.possibly_sent.store(true, Ordering::Release);
        }
    }
}

/// Sends a request and waits for the response head.
///
/// # Errors
///
/// If there is no response to forward. The connection is closed, except that it may return to the
/// pool after a refusal.
pub async fn run(
    common: &common::Common,
    call: &Call,
    server: &server::Server,
    attempt: &attempt::Attempt,
) -> Result<Reply, Failure> {
    call.check_body()?;
    if let Some(connection) = take_pooled(common, call, server) {
        match exchange_on(common, call, server, attempt, connection).await {
            // The server closed the pooled connection before anything was sent: retry on a new one.
            Err(failure) if call.may_reconnect(failure) => {}
            result => return result,
        }
    }
    let connection = connect(common, call, server).await?;
    exchange_on(common, call, server, attempt, connection).await
}

/// Sends a request on a connection and waits for the response head.
///
/// # Errors
///
/// If there is no response; the outcome says whether a byte of the request was sent.
async fn send(
    call: &Call,
    connection: &mut link::Connection,
    request: http::Request<payload::Payload>,
) -> Result<(http::Response<Incoming>, SendTracker), Failure> {
    let tracker = SendTracker {
        gate: connection.gate.clone(),
        written_bytes_before: connection.gate.written_bytes(),
        possibly_sent: call.possibly_sent.clone(),
        refused: false,
    };
    let sending = connection.sender.try_send_request(request);
    // If this future is dropped, `tracker` reads the byte count before the connection is closed.
    // This guard blocks writes first, so that the count is final.
    let gate_closer = GateCloser(&tracker.gate);
    let result = wait_for_head(sending, call).await;
    std::mem::forget(gate_closer);
    match result {
        Some(Ok(response)) => Ok((response, tracker)),
        Some(Err(error)) => Err(classify_send_error(&tracker, call, &error).into()),
        None if tracker.close_gate() => {
            let phase = deadline::Deadlines::phase_before_head(call.request_body.source());
            Err(Failure::expired(phase))
        }
        None => Err(outcome::Outcome::Unsent.into()),
    }
}

async fn exchange_on(
    common: &common::Common,
    call: &Call,
    server: &server::Server,
    attempt: &attempt::Attempt,
    mut connection: link::Connection,
) -> Result<Reply, Failure> {
    let spec = &server.spec;
    if common.is_withdrawn(&spec.name, spec.started_millis) {
        // It was not known to be leaving when it was chosen.
        return Err(outcome::Outcome::Removed.into());
    }
    let Some(request) = call.build_request(common.host_headers.as_ref(), Some(server)) else {
        server.pool.put(connection, common.clock.now());
        return Err(outcome::Outcome::BodyTaken.into());
    };
    attempt.report_body_taken(&request);
    let connected_at = connection.opened_at;
    let (response, mut tracker) = send(call, &mut connection, request).await?;
    attempt.report_response(connected_at);
    let (head, rest) = response.into_parts();
    if !matches_attempt(common, &head, &call.correlation_id) {
        return Err(outcome::Outcome::Garbled.into());
    }
    let refusal = parse_refusal(common, &head);
    if refusal.is_none_or(|failure| failure.outcome != outcome::Outcome::Misdirected) {
        announcement::report(common, server, attempt, &head);
    }
    if let Some(failure) = refusal {
        tracker.refused = true;
        // A server that refuses work is loaded; reuse its connection if the exchange is complete. A
        // second copy of a refusal is told apart from the answer to the next request by its id alone.
        let is_reusable = call.request_body.source().is_sent()
            && rest.is_end_stream()
            && !closes_connection(&head)
            && head.headers.contains_key(echo_header(common));
        if is_reusable {
            server.pool.put(connection, common.clock.now());
        }
        return Err(failure);
    }
    attempt.report_head(head.status.as_u16());
    let mut reply = Reply {
        connection: Some(connection),
        head,
        prefix: prefix::Prefix::new(&common.bodies),
        rest,
        ended: false,
    };
    match (&common.host_headers, call.buffer_prefix) {
        (Some(_), _) => buffering::buffer_body(&mut reply, call, common).await?,
        (None, true) => {
            let stall_timeout = common.limits().body_timeout.0;
            buffering::buffer_prefix(&mut reply, stall_timeout, call.deadlines.request()).await?;
        }
        (None, false) => {}
    }
    Ok(reply)
}

impl Reply {
    pub fn is_fully_buffered(&self) -> bool {
        self.ended || self.rest.is_end_stream()
    }

    /// Whether the server closes the connection after this response.
    pub fn closes_connection(&self) -> bool {
        closes_connection(&self.head)
    }
}

/// Whether a response announces the end of its connection.
fn closes_connection(head: &http::response::Parts) -> bool {
    let values = head.headers.get_all(names::CONNECTION).iter();
    let mut tokens = values
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// Closes a gate on drop.
struct GateCloser<'a>(&'a gate::Gate);

impl Drop for GateCloser<'_> {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// Takes a suitable idle connection from the pool.
fn take_pooled(
    common: &common::Common,
    call: &Call,
    server: &server::Server,
) -> Option<link::Connection> {
    if call.deadlines.has_passed() {
        return None;
    }
    if call.fresh_connection {
        let window = common
            .pool
            .freshness_window
            .filter(|window| !window.is_zero())?;
        return server.pool.take(common.clock.now(), window);
    }
    server
        .pool
        .take(common.clock.now(), common.pool.idle_timeout)
}

async fn connect(
    common: &common::Common,
    call: &Call,
    server: &server::Server,
) -> Result<link::Connection, Failure> {
    let now = common.clock.now();
    if call.deadlines.has_passed() {
        // The deadline has passed, which is no evidence about the server.
        return Err(outcome::Outcome::Cancelled.into());
    }
    let started_at = Instant::now();
    let connect_deadline = started_at + common.pool.connect_timeout;
    let ack_timeout = common.ack_timeout();
    let opening = link::Connection::open(
        common.pool.local_address,
        server.spec.address,
        ack_timeout,
        now,
    );
    common.metrics.server_connections_opened.inc();
    let error = match timeout_at(connect_deadline.min(call.deadlines.request()), opening).await {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(error)) => error,
        Err(_) => io::ErrorKind::TimedOut.into(),
    };
    let failures = &common.metrics.server_connections_failed;
    failures
        .with_label_values(&[connect_failure_label(&error)])
        .inc();
    if common.log_limiter.admits(std::time::Instant::now()) {
        let server = &server.spec;
        let millis = started_at.elapsed().as_millis();
        log::info!(server:% = server.name, address:% = server.address, millis, error:%; "pool: could not connect to server");
    }
    Err(outcome::Outcome::Unsent.into())
}

/// Label of a failure to open a connection, in metrics.
fn connect_failure_label(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => "refused",
        io::ErrorKind::TimedOut => "timeout",
        _ => "other",
    }
}

impl Call {
    /// Builds the request for a server, or for a relay if there is none; `None` if another attempt has
    /// the body.
    fn build_request(
        &self,
        host_headers: Option<&host_routing::HeaderNames>,
        server: Option<&server::Server>,
    ) -> Option<http::Request<payload::Payload>> {
        let mut request = http::Request::new(self.request_body.payload()?);
        let is_unsized = request.body().size_hint().exact().is_none();
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.head.headers);
        if is_unsized {
            // hyper sends no body of unknown length with methods that mostly have none.
            let chunked = HeaderValue::from_static("chunked");
            headers.insert(names::TRANSFER_ENCODING, chunked);
        }
        let remaining = self.deadlines.remaining().as_millis();
        let remaining_millis = u64::try_from(remaining).unwrap_or(u64::MAX);
        match host_headers {
            // The caller's request id is among the forwarded headers and identifies the attempt.
            Some(host_headers) => {
                headers.insert(&host_headers.deadline, remaining_millis.into());
                let name = server.map(|server| HeaderValue::from_str(server.spec.name.as_str()));
                if let Some(Ok(name)) = name {
                    headers.insert(&host_headers.server, name);
                }
            }
            None => {
                headers.insert(header::ATTEMPT, self.correlation_id.clone());
                headers.insert(header::DEADLINE, remaining_millis.into());
            }
        }
        Some(request)
    }

    /// Checks that no other attempt has the body, before a connection is opened for it.
    fn check_body(&self) -> Result<(), Failure> {
        match self.request_body.source().is_available() {
            true => Ok(()),
            false => Err(outcome::Outcome::BodyTaken.into()),
        }
    }

    /// Whether an exchange that failed on a pooled connection may be repeated on a new one.
    fn may_reconnect(&self, failure: Failure) -> bool {
        failure.outcome == outcome::Outcome::Unsent && self.request_body.revoke()
    }

    /// Revokes this attempt's access to the body, and returns whether the request may be sent again
    /// and its body can still be sent from the beginning.
    pub fn is_replayable(&self) -> bool {
        let may_repeat = self.repeatable || !self.possibly_sent.load(Ordering::Acquire);
        may_repeat && self.request_body.revoke()
    }
}

async fn wait_for_head<F: Future>(sending: F, call: &Call) -> Option<F::Output> {
    tokio::pin!(sending);
    loop {
        let deadline = call.deadlines.response_head(call.request_body.source());
        if let Ok(result) = timeout_at(deadline, sending.as_mut()).await {
            return Some(result);
        }
        // Sending a streamed body moves the deadline.
        if call.deadlines.response_head(call.request_body.source()) <= Instant::now() {
            return None;
        }
    }
}

fn classify_send_error(
    tracker: &SendTracker,
    call: &Call,
    error: &TrySendError<http::Request<payload::Payload>>,
) -> outcome::Outcome {
    if !tracker.close_gate() {
        return outcome::Outcome::Unsent;
    }
    if call.request_body.source().fault().is_some() {
        return outcome::Outcome::Cancelled;
    }
    classify_error(error.error())
}

/// Classifies the error that ended an exchange.
pub fn classify_error(error: &hyper::Error) -> outcome::Outcome {
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

/// Header of a response in which the server echoes the id of the attempt.
fn echo_header(common: &common::Common) -> http::HeaderName {
    match &common.host_headers {
        Some(host_headers) => host_headers.request.clone(),
        None => header::ATTEMPT,
    }
}

/// Whether a response can belong to this attempt.
fn matches_attempt(
    common: &common::Common,
    head: &http::response::Parts,
    correlation_id: &HeaderValue,
) -> bool {
    let echo_header = echo_header(common);
    let mut echoes = head.headers.get_all(&echo_header).iter();
    // With host routing servers always echo the id, so a response without it may belong to
    // another request.
    let has_required_echo =
        common.host_headers.is_none() || head.headers.contains_key(&echo_header);
    head.status.as_u16() >= 200 && has_required_echo && echoes.all(|echo| echo == correlation_id)
}

/// Interprets a response as a refusal, if it is one.
fn parse_refusal(common: &common::Common, head: &http::response::Parts) -> Option<Failure> {
    let Some(host_headers) = &common.host_headers else {
        return parse_fleet_refusal(head);
    };
    if head.status == http::StatusCode::MISDIRECTED_REQUEST {
        return Some(outcome::Outcome::Misdirected.into());
    }
    let is_overloaded = announcement::OVERLOADED_STATUSES.contains(&head.status);
    if !is_overloaded || !head.headers.contains_key(&host_headers.not_run) {
        return None;
    }
    Some(Failure {
        outcome: outcome::Outcome::Shed { leaving: false },
        retry_after: header::parse_retry_after(&head.headers),
        expired: None,
    })
}

/// Interprets a response as a refusal by the fleet's own headers.
fn parse_fleet_refusal(head: &http::response::Parts) -> Option<Failure> {
    let refused = header::is_not_run(&head.headers);
    if head.status != http::StatusCode::SERVICE_UNAVAILABLE || !refused {
        return None;
    }
    Some(Failure {
        outcome: outcome::Outcome::Shed {
            leaving: header::is_true(&head.headers, &header::LEAVING),
        },
        retry_after: header::parse_retry_after(&head.headers),
        expired: None,
    })
}

/// Values of the outcome header.
#[derive(Clone, Copy, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OutcomeHeader {
    /// The request was not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl From<outcome::Execution> for OutcomeHeader {
    fn from(execution: outcome::Execution) -> Self {
        match execution {
            outcome::Execution::NotRun => Self::NotRun,
            outcome::Execution::Unknown => Self::Unknown,
        }
    }
}
