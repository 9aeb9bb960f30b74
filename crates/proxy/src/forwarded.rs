//! The response body that is forwarded from a server to the caller.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use monsooncart_policy::outcome;
use tokio::time::Instant;

use crate::{
    account, activity, attempt, common, deadline, exchange, expiry, link, payload, prefix, stall,
    target,
};

/// A truncated response; hyper ends the caller's connection with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("server response truncated: {outcome}")]
pub struct Truncated {
    #[error(not(source))]
    pub outcome: outcome::Outcome,
}

/// State that lives as long as the response.
pub struct Parts {
    pub common: Arc<common::Common>,
    pub target: target::Target,
    /// The attempt, unless its result was already reported.
    pub attempt: Option<attempt::Attempt>,
    pub account: account::Account,
    pub request_body: payload::Source,
    pub _in_flight: activity::InFlight,
}

/// Deadline of a body, and what ends the response when it passes.
struct Deadline {
    at: Instant,
    expiry: Option<Arc<expiry::Expiry>>,
}

impl Deadline {
    /// Sets the deadline of the response that the calling task serves.
    fn arm(at: Instant) -> Self {
        let expiry = expiry::Expiry::current();
        if let Some(expiry) = &expiry {
            expiry.arm(at);
        }
        Self { at, expiry }
    }

    fn has_passed(&self) -> bool {
        self.at <= Instant::now()
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        if let Some(expiry) = &self.expiry {
            expiry.disarm();
        }
    }
}

/// Body of a forwarded response.
pub struct Forwarded {
    prefix: prefix::Prefix,
    rest: Incoming,
    /// Whether all of the body was received.
    ended: bool,
    status: u16,
    stall: stall::Timer,
    /// Deadline of a body that the server may never end, whether or not it states a length.
    deadline: Option<Deadline>,
    connection: Option<link::Connection>,
    parts: Option<Parts>,
}

impl Forwarded {
    /// Creates the body of a response. Unless all of it was received, it ends at `deadline` if there
    /// is one.
    pub fn new(
        reply: exchange::Reply,
        parts: Parts,
        stall_timeout: Duration,
        deadline: Option<Instant>,
    ) -> Self {
        let ended = reply.is_fully_buffered();
        let mut forwarded = Self {
            ended,
            prefix: reply.prefix,
            rest: reply.rest,
            status: reply.head.status.as_u16(),
            stall: stall::Timer::new(stall_timeout),
            deadline: deadline.filter(|_| !ended).map(Deadline::arm),
            connection: reply.connection,
            parts: Some(parts),
        };
        forwarded.finish_at_end();
        forwarded
    }

    fn is_at_end(&self) -> bool {
        self.prefix.is_empty() && (self.ended || self.rest.is_end_stream())
    }

    fn finish_at_end(&mut self) {
        if self.is_at_end() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        self.deadline = None;
        let Some(mut parts) = self.parts.take() else {
            return;
        };
        if let Some(connection) = self.connection.take()
            && parts.request_body.is_sent()
        {
            let now = parts.common.clock.now();
            parts.target.pool().put(connection, now);
        }
        parts.account.mark_complete();
        let outcome = outcome::Outcome::Answered(self.status);
        if let Some(attempt) = parts.attempt {
            attempt.finish(outcome, false, None);
        }
    }

    fn fail(&mut self, outcome: outcome::Outcome) -> Truncated {
        self.connection = None;
        self.deadline = None;
        if let Some(attempt) = self.parts.take().and_then(|parts| parts.attempt) {
            attempt.finish(outcome, false, None);
        }
        Truncated { outcome }
    }

    /// Reports the server as failed if the deadline has passed.
    fn check_deadline(&mut self) -> Result<(), Truncated> {
        if !self.deadline.as_ref().is_some_and(Deadline::has_passed) {
            return Ok(());
        }
        if let Some(parts) = &mut self.parts {
            parts.account.record_expiry(deadline::Phase::ResponseBody);
        }
        if let Some(expiry) = self.deadline.as_ref().and_then(|d| d.expiry.as_ref()) {
            expiry.expire();
        }
        Err(self.fail(outcome::Outcome::Timeout))
    }

    fn count_frame(&mut self, frame: &Frame<Bytes>) {
        let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
        if let Some(parts) = &mut self.parts {
            parts.account.add_sent_bytes(bytes);
        }
        self.finish_at_end();
    }
}

impl Drop for Forwarded {
    fn drop(&mut self) {
        if let Err(truncated) = self.check_deadline() {
            log::debug!(truncated:%; "proxy: response ended at its deadline");
        }
    }
}

impl http_body::Body for Forwarded {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let this = &mut *self;
        if let Some(bytes) = this.prefix.pop() {
            let frame = Frame::data(bytes);
            this.count_frame(&frame);
            return Poll::Ready(Some(Ok(frame)));
        }
        if this.ended {
            this.finish();
            return Poll::Ready(None);
        }
        if let Err(truncated) = this.check_deadline() {
            return Poll::Ready(Some(Err(truncated)));
        }
        match Pin::new(&mut this.rest).poll_frame(cx) {
            Poll::Ready(None) => {
                this.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                this.stall.record_progress();
                this.count_frame(&frame);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let outcome = exchange::classify_error(&error);
                Poll::Ready(Some(Err(this.fail(outcome))))
            }
            Poll::Pending if this.stall.poll(cx).is_ready() => {
                Poll::Ready(Some(Err(this.fail(outcome::Outcome::Timeout))))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_at_end()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = match self.ended {
            true => Some(0),
            false => self.rest.size_hint().exact(),
        };
        rest.map(|rest| SizeHint::with_exact(self.prefix.byte_count() + rest))
            .unwrap_or_default()
    }
}
