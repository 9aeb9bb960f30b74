//! Passes one request on: does what the policy says until there is an answer.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::future::{AbortHandle, Abortable, BoxFuture};
use futures_util::stream::FuturesUnordered;
use http::{HeaderValue, StatusCode, header as names};
use monsooncart_policy::{action, event, handle, outcome};
use monsooncart_types::map;
use tokio::time::{Instant, sleep_until};

use crate::{
    account, activity, answer, attempt, body, common, decision, exchange, header, payload, problem,
    server, service, sizes, trace,
};

/// What an attempt came to.
struct Done {
    id: handle::Attempt,
    grounds: action::Grounds,
    server: Arc<server::Server>,
    started_millis: u64,
    result: Result<(exchange::Reply, attempt::Attempt), Failed>,
}

/// An attempt that gave no answer to pass on at once.
struct Failed {
    end: outcome::Outcome,
    /// A server's error that is passed on where nothing better comes.
    error: Option<Box<exchange::Reply>>,
}

/// Lowest status of a server's error.
const ERROR: u16 = 500;

type Attempts = FuturesUnordered<Abortable<BoxFuture<'static, Done>>>;

/// A request to pass on.
pub struct Pass {
    /// What all parts of the request path share.
    pub common: Arc<common::Common>,
    /// The service.
    pub service: Arc<service::Service>,
    /// Stands for the request.
    pub request: handle::Request,
    /// Its head towards a server.
    pub head: Arc<http::request::Parts>,
    /// Its body.
    pub source: payload::Source,
    /// Name that its caller gave it.
    pub name: Option<HeaderValue>,
    /// Names its route for the sizes of answers.
    pub sizes: Option<sizes::Key>,
    /// Whether it may be sent more than once.
    pub repeatable: bool,
    /// Latest time for the head of its answer.
    pub until: Instant,
    /// Longest time from the end of a streamed body to the head of the answer.
    pub timeout: Duration,
    /// Its account.
    pub account: account::Account,
    /// Counts it as in flight.
    pub busy: activity::Busy,
}

impl Pass {
    /// Passes the request on, and gives its answer.
    ///
    /// A server's error on a request that may run again is kept back while the policy tries
    /// another server, and passed on where that comes to nothing.
    pub async fn run(mut self, arrival: event::Arrival) -> http::Response<body::Body> {
        let mut error = None;
        let queued = Queued::new(self.common.clone());
        let mut waiting = self.service.arrive(arrival);
        let mut attempts = Attempts::new();
        let mut handles = map::Map::default();
        loop {
            tokio::select! {
                biased;
                Some(done) = attempts.next(), if !attempts.is_empty() => {
                    let Ok(done) = done else { continue };
                    waiting.ended();
                    handles.remove(&done.id);
                    if let Some(answer) = self.ended(done, &mut error) {
                        waiting.settle();
                        drop(attempts);
                        return self.answer(answer);
                    }
                    if let Some(fault) = self.source.fault() {
                        drop(attempts);
                        return self.blame(fault);
                    }
                }
                command = waiting.next() => match command {
                    service::Command::Send { attempt, .. } if !self.may_send(&attempts) => {
                        // The last guard of unrepeatable work, whatever the policy says.
                        attempt::Attempt::new(self.service.clone(), attempt);
                        drop(attempts);
                        return self.refuse(outcome::Refusal {
                            reason: outcome::Reason::Unknown,
                            execution: outcome::Execution::Unknown,
                            retry_after: None,
                        });
                    }
                    service::Command::Send { attempt, server, fresh, grounds } => {
                        queued.end();
                        self.note_retry(&server);
                        let (handle, registration) = AbortHandle::new_pair();
                        handles.insert(attempt, handle);
                        let attempt = self.attempt(attempt, server, fresh, grounds);
                        attempts.push(Abortable::new(attempt, registration));
                    }
                    service::Command::Cancel(attempt) => {
                        if let Some(handle) = handles.remove(&attempt) {
                            handle.abort();
                            waiting.ended();
                        }
                    }
                    service::Command::Refuse(refusal) => {
                        drop(attempts);
                        return match error {
                            Some(error) => self.answer(error),
                            None => self.refuse(refusal),
                        };
                    }
                },
                () = sleep_until(self.until), if attempts.is_empty() => {
                    let execution = self.account.run();
                    return self.refuse(outcome::Refusal {
                        reason: outcome::Reason::Timeout,
                        execution,
                        retry_after: Some(RETRY_AFTER),
                    });
                }
            }
        }
    }

    /// Whether the request may be sent: unrepeatable work is sent only as long as it was not run.
    fn may_send(&self, attempts: &Attempts) -> bool {
        self.repeatable || (attempts.is_empty() && self.account.run() == outcome::Execution::NotRun)
    }

    fn note_retry(&self, server: &server::Server) {
        if self.account.attempts() == 0 {
            return;
        }
        self.common.decisions.push(
            decision::Kind::Retry,
            &self.service.name,
            Some(server.spec.name.clone()),
            Some(self.request),
            format!("attempt {}", self.account.attempts() + 1),
        );
    }

    fn attempt(
        &mut self,
        id: handle::Attempt,
        server: Arc<server::Server>,
        fresh: bool,
        grounds: action::Grounds,
    ) -> BoxFuture<'static, Done> {
        self.account.began(&server.spec.name);
        let started_millis = self.account.millis();
        let order = exchange::Order {
            server: server.clone(),
            fresh,
            head: self.head.clone(),
            source: self.source.clone(),
            name: self.name.clone().unwrap_or_else(|| self.common.attempt()),
            until: self.until,
            timeout: self.timeout,
            hold: self.repeatable && self.source.is_whole(),
            repeatable: self.repeatable,
            exposed: self.account.exposed(),
        };
        let common = self.common.clone();
        let service = self.service.clone();
        let reporter = attempt::Attempt::new(service.clone(), id);
        let retries_errors = self.common.hosts.is_some() && self.repeatable;
        Box::pin(async move {
            let result = exchange::run(&common, &order, &reporter).await;
            let result = match result {
                Ok(reply) => {
                    if header::is_true(&reply.head.headers, &header::LEAVING) {
                        service.said_leaving(&server);
                    }
                    let status = reply.head.status.as_u16();
                    if retries_errors && status >= ERROR && reply.is_whole() {
                        let end = outcome::Outcome::Failed(status);
                        reporter.finish(end, order.is_replayable(), None);
                        let error = Some(Box::new(reply));
                        Err(Failed { end, error })
                    } else {
                        Ok((reply, reporter))
                    }
                }
                Err(failure) => {
                    if failure.end == (outcome::Outcome::Shed { leaving: true }) {
                        service.said_leaving(&server);
                    }
                    let replayable = order.is_replayable();
                    reporter.finish(failure.end, replayable, failure.retry_after);
                    let end = failure.end;
                    Err(Failed { end, error: None })
                }
            };
            Done {
                id,
                grounds,
                server,
                started_millis,
                result,
            }
        })
    }

    /// Notes how an attempt ended, and gives its answer where there is one.
    fn ended(&mut self, done: Done, error: &mut Option<Answered>) -> Option<Answered> {
        let end = match &done.result {
            Ok((reply, _)) => outcome::Outcome::Answered(reply.head.status.as_u16()),
            Err(failed) => failed.end,
        };
        let name = &done.server.spec.name;
        self.account.ended(trace::Attempt {
            server: name.clone(),
            started_millis: done.started_millis,
            ended_millis: self.account.millis(),
            end: end.to_string(),
            grounds: done.grounds.to_string(),
        });
        match done.result {
            Ok((reply, attempt)) => Some(Answered {
                reply,
                attempt: Some(attempt),
                server: done.server,
            }),
            Err(failed) => {
                if let Some(reply) = failed.error {
                    *error = Some(Answered {
                        reply: *reply,
                        attempt: None,
                        server: done.server.clone(),
                    });
                }
                log::debug!(request = self.request.0, service:% = self.service.name, server:% = name, end:%; "proxy: attempt ended");
                None
            }
        }
    }

    fn answer(mut self, answered: Answered) -> http::Response<body::Body> {
        let Answered {
            mut reply,
            mut attempt,
            server,
        } = answered;
        let status = reply.head.status;
        if reply.is_whole()
            && let Some(attempt) = attempt.take()
        {
            // The server is done, however long the caller takes to read.
            attempt.finish(outcome::Outcome::Answered(status.as_u16()), false, None);
        }
        if reply.is_whole()
            && let Some(key) = &self.sizes
        {
            let bytes = reply.prefix.iter().map(|b| b.len() as u64).sum();
            self.common.sizes.take(key, bytes);
        }
        if reply.is_whole() && !reply.closes() && self.source.is_done() {
            let link = reply.link.take();
            link.into_iter()
                .for_each(|link| server.pool.put(link, self.common.clock.now()));
        }
        let mut headers = reply.head.headers.clone();
        if headers.contains_key(names::TRANSFER_ENCODING) {
            // The transfer coding has framed the body: a length beside it is not to be trusted.
            headers.remove(names::CONTENT_LENGTH);
        }
        header::strip_hop_by_hop(&mut headers);
        if self.common.hosts.is_none() {
            header::strip_own(&mut headers);
        }
        if let Ok(name) = HeaderValue::from_str(server.spec.name.as_str()) {
            headers.insert(header::SERVER, name);
        }
        self.account.answered(&server.spec.name, status.as_u16());
        let parts = answer::Parts {
            common: self.common.clone(),
            server,
            attempt,
            account: self.account,
            source: self.source,
            _busy: self.busy,
        };
        let stall = self.common.limits().body_timeout.0;
        let answer = answer::Answer::new(reply, parts, stall);
        let mut response = http::Response::new(body::Body::Passed(Box::new(answer)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    fn refuse(mut self, mut refusal: outcome::Refusal) -> http::Response<body::Body> {
        if self.account.run() == outcome::Execution::Unknown {
            refusal.execution = outcome::Execution::Unknown;
        }
        let mut problem = problem::Problem::refusal(refusal);
        if self.common.hosts.is_some() && refusal.execution == outcome::Execution::Unknown {
            problem = problem.without_promise();
        }
        self.account
            .refused(problem.status.as_u16(), Some(refusal.reason));
        self.common.decisions.push(
            decision::Kind::Refuse,
            &self.service.name,
            None,
            Some(self.request),
            format!("{}: {}", refusal.reason, refusal.execution),
        );
        self.own(&problem)
    }

    /// Answers a request whose body failed on the caller's side.
    fn blame(mut self, fault: payload::Fault) -> http::Response<body::Body> {
        let (status, title) = match fault {
            payload::Fault::Limit => (StatusCode::PAYLOAD_TOO_LARGE, "body-too-large"),
            payload::Fault::Stall => (StatusCode::REQUEST_TIMEOUT, "body-stalled"),
            payload::Fault::Cut | payload::Fault::Ended => (StatusCode::BAD_REQUEST, "body-cut"),
        };
        let mut problem = problem::Problem::not_run(status, title, fault.to_string());
        problem.run = self.account.run();
        self.account.refused(status.as_u16(), None);
        self.own(&problem)
    }

    fn own(self, problem: &problem::Problem) -> http::Response<body::Body> {
        let mut response = problem.response(&self.request.to_string());
        if let body::Body::Own(own) = response.body_mut() {
            own.account(self.account);
            own.busy(self.busy);
        }
        response
    }
}

/// When to come back after a wait that the deadline ended.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer to pass on.
struct Answered {
    reply: exchange::Reply,
    attempt: Option<attempt::Attempt>,
    server: Arc<server::Server>,
}

/// Counts a request as queued until it is sent or dropped.
struct Queued {
    common: Arc<common::Common>,
    ended: std::cell::Cell<bool>,
}

impl Queued {
    fn new(common: Arc<common::Common>) -> Self {
        common.metrics.queued.inc();
        Self {
            common,
            ended: std::cell::Cell::new(false),
        }
    }

    fn end(&self) {
        if !self.ended.replace(true) {
            self.common.metrics.queued.dec();
        }
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.end();
    }
}
