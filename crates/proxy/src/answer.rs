//! The body of a server's answer on its way to the caller.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use monsooncart_policy::outcome;

use crate::{account, activity, attempt, common, exchange, link, payload, server, stall};

/// An answer that was cut short; hyper ends the caller's connection with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("answer of the server ended early: {end}")]
pub struct Fault {
    /// How the attempt ended.
    #[error(not(source))]
    pub end: outcome::Outcome,
}

/// What is alive as long as the answer is.
pub struct Parts {
    /// What all parts of the request path share.
    pub common: Arc<common::Common>,
    /// The server.
    pub server: Arc<server::Server>,
    /// The attempt that is answered, where that is not over.
    pub attempt: Option<attempt::Attempt>,
    /// The account of the request.
    pub account: account::Account,
    /// The request body.
    pub source: payload::Source,
    /// Counts the request as in flight.
    pub _busy: activity::Busy,
}

/// The body of a server's answer.
pub struct Answer {
    prefix: VecDeque<Bytes>,
    rest: Incoming,
    status: u16,
    stall: stall::Stall,
    link: Option<link::Link>,
    parts: Option<Parts>,
}

impl Answer {
    /// The body of a reply.
    pub fn new(reply: exchange::Reply, parts: Parts, stall: Duration) -> Self {
        let mut answer = Self {
            prefix: reply.prefix,
            rest: reply.rest,
            status: reply.head.status.as_u16(),
            stall: stall::Stall::new(stall),
            link: reply.link,
            parts: Some(parts),
        };
        answer.finish_at_end();
        answer
    }

    fn is_at_end(&self) -> bool {
        self.prefix.is_empty() && self.rest.is_end_stream()
    }

    fn finish_at_end(&mut self) {
        if self.is_at_end() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        let Some(mut parts) = self.parts.take() else {
            return;
        };
        if let Some(link) = self.link.take()
            && parts.source.is_done()
        {
            parts.server.pool.put(link, parts.common.clock.now());
        }
        parts.account.whole();
        let end = outcome::Outcome::Answered(self.status);
        if let Some(attempt) = parts.attempt {
            attempt.finish(end, false, None);
        }
    }

    fn cut(&mut self, end: outcome::Outcome) -> Fault {
        self.link = None;
        if let Some(attempt) = self.parts.take().and_then(|parts| parts.attempt) {
            attempt.finish(end, false, None);
        }
        Fault { end }
    }

    fn count(&mut self, frame: &Frame<Bytes>) {
        let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
        if let Some(parts) = &mut self.parts {
            parts.account.sent(bytes);
        }
        self.finish_at_end();
    }
}

impl http_body::Body for Answer {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let this = &mut *self;
        if let Some(bytes) = this.prefix.pop_front() {
            let frame = Frame::data(bytes);
            this.count(&frame);
            return Poll::Ready(Some(Ok(frame)));
        }
        match Pin::new(&mut this.rest).poll_frame(cx) {
            Poll::Ready(None) => {
                this.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(frame))) => {
                this.stall.progress();
                this.count(&frame);
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let end = exchange::end(&error);
                Poll::Ready(Some(Err(this.cut(end))))
            }
            Poll::Pending if this.stall.poll(cx).is_ready() => {
                Poll::Ready(Some(Err(this.cut(outcome::Outcome::Timeout))))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_at_end()
    }

    fn size_hint(&self) -> SizeHint {
        let held: u64 = self.prefix.iter().map(|bytes| bytes.len() as u64).sum();
        let rest = self.rest.size_hint().exact();
        rest.map(|rest| SizeHint::with_exact(held + rest))
            .unwrap_or_default()
    }
}
