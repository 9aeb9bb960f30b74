//! Forwards one request: carries out the policy's commands until there is a response.

mod relayed;

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::future::{AbortHandle, Abortable, BoxFuture};
use futures_util::stream::FuturesUnordered;
use http::{HeaderValue, header as names};
use monsooncart_policy::{action, event, handle, outcome};
use monsooncart_types::{id, map};
use tokio::time::sleep_until;

use crate::{
    account, activity, attempt, body, common, deadline, decision, exchange, forwarded, header,
    payload, problem, request, response_sizes, server, service, target, trace,
};

struct FinishedAttempt {
    id: handle::Attempt,
    /// What the choice of the target was based on, as text.
    grounds: String,
    target: target::Target,
    started_millis: u64,
    result: Result<(exchange::Reply, attempt::Attempt), FailedAttempt>,
}

struct FailedAttempt {
    outcome: outcome::Outcome,
    /// Phase that a deadline ended, if one did.
    expired: Option<deadline::Phase>,
    /// Error response of the server, forwarded if no other attempt succeeds.
    error: Option<Box<exchange::Reply>>,
}

/// Lowest status of a server error.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

type Attempts = FuturesUnordered<Abortable<BoxFuture<'static, FinishedAttempt>>>;

/// Forwards one request to servers of its service.
pub struct Forwarder {
    pub common: Arc<common::Common>,
    pub service: Arc<service::Service>,
    pub request: handle::Request,
    pub origin: request::Origin,
    /// Request head as sent to servers.
    pub head: Arc<http::request::Parts>,
    pub request_body: payload::Source,
    /// Request id set by the caller.
    pub caller_request_id: Option<HeaderValue>,
    /// Key of the route for response-size statistics.
    pub route_key: Option<response_sizes::Key>,
    /// Whether the request may be sent more than once.
    pub repeatable: bool,
    pub deadlines: deadline::Deadlines,
    pub account: account::Account,
    /// Counts the request as in flight.
    pub in_flight: activity::InFlight,
}

impl Forwarder {
    /// Forwards the request and returns the response.
    ///
    /// With host routing, a server error on a repeatable request is held back while the policy
    /// tries another server, and is forwarded if the policy then refuses the request.
    pub async fn run(mut self, arrival: event::Arrival) -> http::Response<body::Body> {
        let mut error_reply = None;
        let queued = Queued::new(self.common.clone());
        let mut pending = self.service.submit(arrival);
        let mut attempts = Attempts::new();
        let mut abort_handles = map::Map::default();
        let common = self.common.clone();
        loop {
            tokio::select! {
                biased;
                Some(finished) = attempts.next(), if !attempts.is_empty() => {
                    let Ok(finished) = finished else { continue };
                    pending.finish_attempt();
                    abort_handles.remove(&finished.id);
                    if let Some(response) = self.finish_attempt(finished, &mut error_reply) {
                        pending.mark_completed();
                        drop(attempts);
                        return self.respond(response);
                    }
                    if let Some(fault) = self.request_body.fault() {
                        drop(attempts);
                        return self.reject_body(fault);
                    }
                }
                command = pending.next() => match command {
                    service::Command::Send { attempt, .. } if !self.has_time(&attempts) => {
                        attempt::Attempt::new(self.service.clone(), attempt);
                        return self.abandon(error_reply);
                    }
                    service::Command::Relay { attempt, .. } if !self.has_time(&attempts) => {
                        attempt::Attempt::relayed(self.service.clone(), attempt);
                        return self.abandon(error_reply);
                    }
                    service::Command::Send { attempt, .. } if !self.may_send(&attempts) => {
                        // Final safeguard: unrepeatable work is never sent twice, even if the
                        // policy demands it. Dropping the attempt reports it as cancelled.
                        attempt::Attempt::new(self.service.clone(), attempt);
                        drop(attempts);
                        return self.refuse_unknown();
                    }
                    service::Command::Send { attempt, server, fresh_connection, grounds } => {
                        queued.finish();
                        self.account.record_dispatched();
                        self.record_retry(&server);
                        let (abort_handle, registration) = AbortHandle::new_pair();
                        abort_handles.insert(attempt, abort_handle);
                        let future = self.start_attempt(attempt, server, fresh_connection, grounds);
                        attempts.push(Abortable::new(future, registration));
                    }
                    service::Command::Relay { attempt, .. } if !self.may_send(&attempts) => {
                        attempt::Attempt::relayed(self.service.clone(), attempt);
                        drop(attempts);
                        return self.refuse_unknown();
                    }
                    service::Command::Relay { attempt, peer, max_attempts } => {
                        queued.finish();
                        self.account.record_dispatched();
                        let (abort_handle, registration) = AbortHandle::new_pair();
                        abort_handles.insert(attempt, abort_handle);
                        let future = self.start_relayed_attempt(attempt, peer, max_attempts);
                        attempts.push(Abortable::new(future, registration));
                    }
                    service::Command::Cancel(attempt) => {
                        if let Some(abort_handle) = abort_handles.remove(&attempt) {
                            abort_handle.abort();
                            pending.finish_attempt();
                        }
                    }
                    service::Command::Refuse(refusal) => {
                        drop(attempts);
                        return match error_reply {
                            Some(error) => self.respond(error),
                            None => self.refuse(refusal),
                        };
                    }
                },
                fault = self.request_body.read_ahead(self.in_flight.activity()) => {
                    drop(attempts);
                    return self.reject_body(fault);
                }
                () = common.abandoned.cancelled() => {
                    drop(attempts);
                    return self.abandon(error_reply);
                }
                () = common.wait_for_refusal(self.deadlines.request()), if attempts.is_empty() => {
                    return self.abandon(error_reply);
                }
                () = sleep_until(self.deadlines.request()), if attempts.is_empty() => {
                    let execution = self.account.execution();
                    return self.refuse(outcome::Refusal {
                        reason: outcome::Reason::Timeout,
                        execution,
                        retry_after: Some(DEADLINE_RETRY_AFTER),
                    });
                }
            }
        }
    }

    /// Whether the request may be sent; unrepeatable work only if it certainly has not run.
    fn may_send(&self, attempts: &Attempts) -> bool {
        self.repeatable
            || (attempts.is_empty() && self.account.execution() == outcome::Execution::NotRun)
    }

    /// Whether the daemon does not stop before the request has had its time. A hedge goes beside an
    /// attempt that is waited for in any case.
    fn has_time(&self, attempts: &Attempts) -> bool {
        // Another daemon has a relayed request, and can have it relayed elsewhere.
        let is_received = self.origin == request::Origin::Caller && self.request_body.is_complete();
        let deadline = self.deadlines.request();
        !attempts.is_empty() || self.common.has_time(deadline, is_received)
    }

    fn record_retry(&self, server: &server::Server) {
        if self.account.attempt_count() == 0 {
            return;
        }
        self.common.decisions.push(
            decision::Kind::Retry,
            &self.service.name,
            Some(server.spec.name.clone()),
            Some(self.request),
            format!("attempt {}", self.account.attempt_count() + 1),
        );
    }

    /// Parameters of the next exchange.
    fn call(&self, fresh_connection: bool) -> exchange::Call {
        exchange::Call {
            fresh_connection,
            head: self.head.clone(),
            request_body: payload::Access::new(self.request_body.clone()),
            correlation_id: self
                .caller_request_id
                .clone()
                .unwrap_or_else(|| self.common.next_attempt_id()),
            deadlines: self.deadlines,
            buffer_prefix: self.repeatable && self.request_body.is_intact(),
            repeatable: self.repeatable,
            possibly_sent: self.account.possibly_sent(),
        }
    }

    fn start_attempt(
        &mut self,
        id: handle::Attempt,
        server: Arc<server::Server>,
        fresh_connection: bool,
        grounds: action::Grounds,
    ) -> BoxFuture<'static, FinishedAttempt> {
        self.account.start_attempt(&server.spec.name);
        let started_millis = self.account.elapsed_millis();
        let call = self.call(fresh_connection);
        let common = self.common.clone();
        let service = self.service.clone();
        let reporter = attempt::Attempt::new(service.clone(), id);
        let retries_errors = self.common.host_headers.is_some() && self.repeatable;
        Box::pin(async move {
            let result = exchange::run(&common, &call, &server, &reporter).await;
            let result = match result {
                Ok(reply) => {
                    if header::is_true(&reply.head.headers, &header::LEAVING) {
                        service.report_leaving(&server);
                    }
                    if retries_errors && is_retryable_error(&reply) {
                        Err(withhold_error(reply, reporter, &call))
                    } else {
                        call.request_body.keep();
                        Ok((reply, reporter))
                    }
                }
                Err(failure) => {
                    if failure.outcome == (outcome::Outcome::Shed { leaving: true }) {
                        service.report_leaving(&server);
                    }
                    let replayable = call.is_replayable();
                    reporter.finish(failure.outcome, replayable, failure.retry_after);
                    Err(FailedAttempt {
                        outcome: failure.outcome,
                        expired: failure.expired,
                        error: None,
                    })
                }
            };
            FinishedAttempt {
                id,
                grounds: grounds.to_string(),
                target: target::Target::Server(server),
                started_millis,
                result,
            }
        })
    }

    /// Records the result of an attempt and returns its response, if there is one to forward.
    fn finish_attempt(
        &mut self,
        finished: FinishedAttempt,
        error_reply: &mut Option<ForwardableReply>,
    ) -> Option<ForwardableReply> {
        let outcome = match &finished.result {
            Ok((reply, _)) => outcome::Outcome::Answered(reply.head.status.as_u16()),
            Err(failed) => failed.outcome,
        };
        let name = finished.target.name();
        if let Some(server) = finished.target.server_name() {
            self.account.finish_attempt(trace::Attempt {
                server,
                started_millis: finished.started_millis,
                ended_millis: self.account.elapsed_millis(),
                end: outcome.to_string(),
                grounds: finished.grounds,
            });
        }
        match finished.result {
            Ok((reply, attempt)) => Some(ForwardableReply {
                reply,
                attempt: Some(attempt),
                target: finished.target,
            }),
            Err(failed) => {
                if let Some(phase) = failed.expired {
                    self.account.record_expiry(phase);
                }
                if let Some(reply) = failed.error {
                    *error_reply = Some(ForwardableReply {
                        reply: *reply,
                        attempt: None,
                        target: finished.target.clone(),
                    });
                }
                log::debug!(request = self.request.0, service:% = self.service.name, target = name, end:% = outcome; "proxy: attempt failed");
                None
            }
        }
    }

    fn respond(mut self, forwardable: ForwardableReply) -> http::Response<body::Body> {
        let ForwardableReply {
            mut reply,
            mut attempt,
            target,
        } = forwardable;
        let status = reply.head.status;
        let held_bytes = reply.prefix.byte_count();
        if reply.is_fully_buffered()
            && let Some(attempt) = attempt.take()
        {
            // The server has finished, however slowly the caller reads.
            attempt.finish(outcome::Outcome::Answered(status.as_u16()), false, None);
        }
        if reply.is_fully_buffered()
            && let Some(key) = &self.route_key
        {
            self.common.response_sizes.record(key, held_bytes);
        }
        if reply.is_fully_buffered() && !reply.closes_connection() && self.request_body.is_sent() {
            let connection = reply.connection.take();
            connection
                .into_iter()
                .for_each(|connection| target.pool().put(connection, self.common.clock.now()));
        }
        let mut headers = reply.head.headers.clone();
        if headers.contains_key(names::TRANSFER_ENCODING) {
            // The body was framed by its transfer coding; a length beside it cannot be trusted.
            headers.remove(names::CONTENT_LENGTH);
        }
        header::strip_hop_by_hop(&mut headers);
        if self.common.host_headers.is_none() {
            header::strip_fleet_headers(&mut headers);
        }
        // A relay has named the server already.
        if let target::Target::Server(server) = &target
            && let Ok(name) = HeaderValue::from_str(server.spec.name.as_str())
        {
            headers.insert(header::SERVER, name);
        }
        self.account
            .record_response(named_server(&headers), status.as_u16());
        let parts = forwarded::Parts {
            common: self.common.clone(),
            target,
            attempt,
            account: self.account,
            request_body: self.request_body,
            _in_flight: self.in_flight,
        };
        let stall_timeout = self.common.limits().body_timeout.0;
        let deadline = self.deadlines.response_body();
        let body = forwarded::Forwarded::new(reply, parts, stall_timeout, deadline);
        let mut response = http::Response::new(body::Body::Forwarded(Box::new(body)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Ends a request because the daemon stops. An error response that was held back for a retry is
    /// forwarded.
    fn abandon(self, error_reply: Option<ForwardableReply>) -> http::Response<body::Body> {
        if let Some(error) = error_reply {
            return self.respond(error);
        }
        let execution = self.account.execution();
        let is_not_run = execution == outcome::Execution::NotRun;
        self.refuse(outcome::Refusal {
            reason: outcome::Reason::Stopping,
            execution,
            retry_after: is_not_run.then_some(problem::STOPPING_RETRY_AFTER),
        })
    }

    /// Refuses a request that may have run and is not sent again.
    fn refuse_unknown(self) -> http::Response<body::Body> {
        self.refuse(outcome::Refusal {
            reason: outcome::Reason::Unknown,
            execution: outcome::Execution::Unknown,
            retry_after: None,
        })
    }

    fn refuse(mut self, mut refusal: outcome::Refusal) -> http::Response<body::Body> {
        if self.account.execution() == outcome::Execution::Unknown {
            refusal.execution = outcome::Execution::Unknown;
        }
        let mut problem = problem::Problem::refusal(refusal);
        if self.common.host_headers.is_some() && refusal.execution == outcome::Execution::Unknown {
            problem = problem.with_ambiguous_status();
        }
        self.account
            .record_local_reply(problem.status.as_u16(), Some(refusal.reason));
        self.common.decisions.push(
            decision::Kind::Refuse,
            &self.service.name,
            None,
            Some(self.request),
            format!("{}: {}", refusal.reason, refusal.execution),
        );
        self.local_reply(&problem)
    }

    /// Rejects a request whose body failed on the caller's side.
    fn reject_body(mut self, fault: payload::Fault) -> http::Response<body::Body> {
        let mut problem = problem::Problem::body(fault);
        problem.execution = self.account.execution();
        if self.common.host_headers.is_some() && problem.execution == outcome::Execution::Unknown {
            problem = problem.with_ambiguous_status();
        }
        self.account
            .record_local_reply(problem.status.as_u16(), None);
        self.local_reply(&problem)
    }

    fn local_reply(self, problem: &problem::Problem) -> http::Response<body::Body> {
        let mut response = problem.to_response(&self.request.to_string());
        if let body::Body::Local(reply) = response.body_mut() {
            reply.attach_account(self.account);
            reply.attach_in_flight(self.in_flight);
        }
        response
    }
}

/// Whether a response is an error of the server that can be withheld while another server is tried.
fn is_retryable_error(reply: &exchange::Reply) -> bool {
    reply.head.status.as_u16() >= MIN_SERVER_ERROR_STATUS && reply.is_fully_buffered()
}

/// Reports an attempt as failed; its error is forwarded if no other attempt succeeds.
fn withhold_error(
    reply: exchange::Reply,
    reporter: attempt::Attempt,
    call: &exchange::Call,
) -> FailedAttempt {
    let outcome = outcome::Outcome::Failed(reply.head.status.as_u16());
    reporter.finish(outcome, call.is_replayable(), None);
    FailedAttempt {
        outcome,
        expired: None,
        error: Some(Box::new(reply)),
    }
}

/// Name of the server in the headers of a response.
fn named_server(headers: &http::HeaderMap) -> Option<id::Server> {
    headers.get(header::SERVER)?.to_str().ok()?.parse().ok()
}

/// Retry delay for a request that reached its deadline while queued.
const DEADLINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A reply that can be forwarded to the caller.
struct ForwardableReply {
    reply: exchange::Reply,
    attempt: Option<attempt::Attempt>,
    target: target::Target,
}

/// Counts a request as queued until it is sent or dropped.
struct Queued {
    common: Arc<common::Common>,
    finished: std::cell::Cell<bool>,
}

impl Queued {
    fn new(common: Arc<common::Common>) -> Self {
        common.metrics.queued.inc();
        Self {
            common,
            finished: std::cell::Cell::new(false),
        }
    }

    fn finish(&self) {
        if !self.finished.replace(true) {
            self.common.metrics.queued.dec();
        }
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.finish();
    }
}
