//! Ends of attempts: what follows for their requests.

use monsooncart_types::time;

use super::{Completion, Selector};
use crate::{action, handle, outcome};

impl Selector {
    /// Records the end of an attempt, and retries or refuses its request unless another one is in flight.
    pub(super) fn record_completion(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        mut completion: Completion,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(in_flight) = self.in_flight.remove(&attempt) else {
            self.record_relay_completion(now, attempt, completion, actions);
            return;
        };
        self.record_outcome(now, &in_flight, &completion, actions);
        if in_flight.cancelled {
            return;
        }
        let Some(pending) = self.requests.get_mut(&in_flight.request) else {
            return;
        };
        pending.attempts.retain(|&a| a != attempt);
        completion.replayable = pending.finish_body(attempt, completion.replayable);
        pending.may_have_run |= completion.outcome.execution() == outcome::Execution::Unknown;
        if let outcome::Outcome::Removed | outcome::Outcome::BodyTaken = completion.outcome {
            pending.tried_servers.retain(|&s| s != in_flight.server);
        }
        if completion.outcome == outcome::Outcome::BodyTaken && pending.hedge == Some(attempt) {
            self.budget.refund_retry(now);
        }
        let Some(pending) = self.requests.get_mut(&in_flight.request) else {
            return;
        };
        if completion.outcome == outcome::Outcome::Unsent {
            pending.tried_servers.retain(|&s| s != in_flight.server);
            pending.unreachable_servers.push(in_flight.server);
        }
        if let outcome::Outcome::Answered(_) | outcome::Outcome::Cancelled = completion.outcome {
            let others = std::mem::take(&mut pending.attempts);
            self.requests.remove(&in_flight.request);
            self.cancel_attempts(&others, actions);
            return;
        }
        if !pending.attempts.is_empty() {
            return;
        }
        // An attempt that was not sent adds no load to the service.
        let added_load = !matches!(
            completion.outcome,
            outcome::Outcome::Unsent | outcome::Outcome::Removed | outcome::Outcome::BodyTaken
        );
        let (request, fingerprint) = (in_flight.request, in_flight.fingerprint);
        self.retry_or_refuse(now, request, fingerprint, &completion, added_load, actions);
    }
}
