//! Reports the result of an attempt to the policy exactly once.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_policy::{event, handle, outcome};
use monsooncart_types::{rate, time};

use crate::{payload, server, service};

/// An attempt that the policy waits for; reported as cancelled if it is dropped unfinished.
pub struct Attempt {
    service: Arc<service::Service>,
    attempt: handle::Attempt,
    /// Whether another daemon relays the request.
    relayed: bool,
    finished: bool,
}

impl Attempt {
    pub fn new(service: Arc<service::Service>, attempt: handle::Attempt) -> Self {
        service.wake_gossip();
        Self {
            service,
            attempt,
            relayed: false,
            finished: false,
        }
    }

    /// An attempt for which another daemon relays the request.
    pub fn relayed(service: Arc<service::Service>, attempt: handle::Attempt) -> Self {
        let mut attempt = Self::new(service, attempt);
        attempt.relayed = true;
        attempt
    }

    /// Reports that the server responded on a connection that was opened at `connected_at`.
    pub fn report_response(&self, connected_at: time::Time) {
        let attempt = self.attempt;
        self.service.handle_event(event::Event::Responded {
            attempt,
            connected_at,
        });
    }

    /// Reports that the request has the body of which there is only one, if it is streamed.
    pub fn report_body_taken(&self, request: &http::Request<payload::Payload>) {
        if let payload::Payload::Streamed { .. } = request.body() {
            self.service
                .handle_event(event::Event::BodyTaken(self.attempt));
        }
    }

    /// Reports that the response head was received.
    pub fn report_head(&self, status: u16) {
        let attempt = self.attempt;
        self.service
            .handle_event(event::Event::ResponseHead { attempt, status });
    }

    /// Reports that the server announces in its response that it is leaving.
    pub fn report_leaving(&self, server: &server::Server) {
        self.service.report_leaving(server);
    }

    /// Reports the retry delay that the server asks this daemon for.
    pub fn report_retry_after(&self, delay: Duration) {
        let attempt = self.attempt;
        self.service
            .handle_event(event::Event::RetryAfter { attempt, delay });
    }

    /// Reports the rate limit that the server announces in its response; `None` if it announces none.
    pub fn report_rate_limit(&self, limit: Option<rate::Rate>) {
        let attempt = self.attempt;
        self.service
            .handle_event(event::Event::RateLimit { attempt, limit });
    }

    /// Reports the result.
    pub fn finish(
        mut self,
        outcome: outcome::Outcome,
        replayable: bool,
        retry_after: Option<Duration>,
    ) {
        self.report(outcome, replayable, retry_after);
    }

    fn report(
        &mut self,
        outcome: outcome::Outcome,
        replayable: bool,
        retry_after: Option<Duration>,
    ) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        self.service.count_attempt(outcome, self.relayed);
        self.service.handle_event(event::Event::Finish {
            attempt: self.attempt,
            outcome,
            replayable,
            retry_after,
        });
        self.service.wake_gossip();
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.report(outcome::Outcome::Cancelled, false, None);
    }
}
