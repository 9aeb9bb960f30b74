//! Deadlines of an exchange, from the arrival of a request to the end of its response.
//!
//! With host routing, the timeout of a route covers the whole exchange: neither a length nor
//! progress of a body extends it. Otherwise it covers the time to the response head, counted from
//! the end of a streamed request body, and response bodies are bounded by their progress alone.
//!
//! All deadlines of the request path are computed here.

use std::time::Duration;

use tokio::time::Instant;

use crate::payload;

/// What the timeout of a route covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// The time to the response head.
    Head,
    /// The whole exchange.
    Exchange,
}

/// A phase of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// The request is sent, or waits to be sent.
    Request,
    /// The server has the request, and its response head is awaited.
    ResponseHead,
    /// The response body is received.
    ResponseBody,
}

/// Deadlines of an exchange.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    scope: Scope,
    timeout: Duration,
    at: Instant,
}

impl Deadlines {
    /// Deadlines of a request that arrives now.
    pub fn new(scope: Scope, timeout: Duration) -> Self {
        Self {
            scope,
            timeout,
            at: Instant::now() + timeout,
        }
    }

    /// Deadline of a request without a streamed body for its response head.
    pub fn request(&self) -> Instant {
        self.at
    }

    /// Time until [`Self::request`].
    pub fn remaining(&self) -> Duration {
        self.at.saturating_duration_since(Instant::now())
    }

    /// Whether [`Self::request`] has passed.
    pub fn has_passed(&self) -> bool {
        self.at <= Instant::now()
    }

    /// Deadline for the response head of an attempt that sends this body.
    pub fn response_head(&self, body: &payload::Source) -> Instant {
        match (self.scope, body) {
            (Scope::Head, payload::Source::Streamed(stream)) if stream.is_consumed() => {
                let ended_at = stream.completed_at().unwrap_or_else(Instant::now);
                self.at.max(ended_at + self.timeout)
            }
            _ => self.at,
        }
    }

    /// Deadline for the end of the response body, if it has one.
    pub fn response_body(&self) -> Option<Instant> {
        (self.scope == Scope::Exchange).then_some(self.at)
    }

    /// Phase of an exchange that has no response head yet.
    pub fn phase_before_head(body: &payload::Source) -> Phase {
        match body.is_complete() {
            true => Phase::ResponseHead,
            false => Phase::Request,
        }
    }
}
