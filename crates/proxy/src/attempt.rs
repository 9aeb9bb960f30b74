//! One attempt as the policy knows it: reported back exactly once.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_policy::{event, handle, outcome};

use crate::service;

/// An attempt that the policy waits for; reported as cancelled when dropped.
pub struct Attempt {
    service: Arc<service::Service>,
    attempt: handle::Attempt,
    finished: bool,
}

impl Attempt {
    /// An attempt that the policy asked for.
    pub fn new(service: Arc<service::Service>, attempt: handle::Attempt) -> Self {
        service.stir();
        Self {
            service,
            attempt,
            finished: false,
        }
    }

    /// The head of its answer came.
    pub fn head(&self, status: u16) {
        let attempt = self.attempt;
        self.service
            .handle(event::Event::ResponseHead { attempt, status });
    }

    /// It ended.
    pub fn finish(
        mut self,
        end: outcome::Outcome,
        replayable: bool,
        retry_after: Option<Duration>,
    ) {
        self.report(end, replayable, retry_after);
    }

    fn report(&mut self, end: outcome::Outcome, replayable: bool, retry_after: Option<Duration>) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        self.service.attempt_ended(end);
        self.service.handle(event::Event::Finish {
            attempt: self.attempt,
            outcome: end,
            replayable,
            retry_after,
        });
        self.service.stir();
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.report(outcome::Outcome::Cancelled, false, None);
    }
}
