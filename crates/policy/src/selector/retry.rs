//! Further attempts of a request: retries after one that failed, hedges beside one that is slow.

use std::time::Duration;

use monsooncart_types::time;

use super::path_loss::Target;
use super::{Completion, Selector};
use crate::{action, handle, outcome, service};

/// Time after which a repeatable request is hedged, as a fraction of its latency objective.
const HEDGE_OBJECTIVE_RATIO: f64 = 0.5;

/// Minimum time before a request is hedged, as a multiple of the typical latency.
const HEDGE_LATENCY_RATIO: f64 = 2.0;

impl Selector {
    /// Retries a request if that is permitted, and refuses it otherwise. Only a retry after an attempt
    /// that added load to the service draws on the budget.
    pub(super) fn retry_or_refuse(
        &mut self,
        now: time::Time,
        request: handle::Request,
        fingerprint: Option<handle::Fingerprint>,
        completion: &Completion,
        added_load: bool,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get(&request).cloned() else {
            return;
        };
        let arrival = pending.arrival;
        if let Some(fingerprint) = fingerprint {
            self.judge_suspect(now, fingerprint, actions);
        }
        let quarantined = |f| self.poison.quarantined_until(now, f).is_some();
        let is_poison = fingerprint.is_some_and(quarantined);
        // A request that crashed a server before would crash another one with all that runs there.
        let is_suspect = completion.outcome == outcome::Outcome::Broken
            && fingerprint.is_some_and(|f| self.poison.is_suspected(f));
        let may_retry = completion.replayable
            && !is_suspect
            && (arrival.repeatable || !pending.may_have_run)
            && !is_poison
            && now < arrival.deadline;
        let target = if may_retry && (!added_load || self.allows_retry(now, arrival.priority)) {
            self.select_target(now, &pending)
        } else {
            None
        };
        if let Some(target) = target {
            if added_load {
                self.record_retry(now, arrival.priority);
            }
            self.send_to(now, request, target, actions);
            return;
        }
        let reason = match completion.outcome {
            _ if is_poison => outcome::Reason::Poison,
            outcome::Outcome::Timeout => outcome::Reason::Timeout,
            _ if pending.may_have_run && !arrival.repeatable => outcome::Reason::Unknown,
            outcome::Outcome::Shed { .. } => outcome::Reason::Overload,
            // No attempt was executed: the refusal says so and carries a retry delay.
            _ if !pending.may_have_run => outcome::Reason::NoServer,
            _ => outcome::Reason::Exhausted,
        };
        let is_shed = matches!(completion.outcome, outcome::Outcome::Shed { .. });
        let has_attempts = self.attempts_left(&pending) > 0;
        let allows_retry = self.allows_retry(now, arrival.priority);
        if may_retry && is_shed && has_attempts && allows_retry {
            self.wait_or_refuse(now, request, reason, actions);
        } else {
            self.refuse(now, request, reason, actions);
        }
    }

    /// Sends a second attempt of a repeatable request if its only attempt, which has been in flight
    /// for `age`, is old enough.
    pub(super) fn hedge(
        &mut self,
        now: time::Time,
        request: handle::Request,
        age: Duration,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        let arrival = &pending.arrival;
        let suspected = |f| service::Policy::is_suspected(self, f);
        let hedge_after = self
            .latency_objective(arrival)
            .mul_f64(HEDGE_OBJECTIVE_RATIO);
        let hedge_after = hedge_after.max(self.typical_latency().mul_f64(HEDGE_LATENCY_RATIO));
        let may_hedge = arrival.repeatable
            && pending.attempts.len() == 1
            && pending.body_holder.is_none()
            && age >= hedge_after
            && now < arrival.deadline
            && !arrival.fingerprint.is_some_and(suspected);
        let pending = pending.clone();
        if !may_hedge || !self.allows_retry(now, pending.arrival.priority) {
            return;
        }
        let target = match self.is_silent(now) {
            // Another path is tried as well as another server.
            true => self.select_target_avoiding_path(now, &pending),
            false => self.select_target(now, &pending),
        };
        if let Some(target) = target {
            self.send_hedge(now, request, target, actions);
        }
    }

    /// Sends a second attempt beside the first one, at the expense of the budget.
    pub(super) fn send_hedge(
        &mut self,
        now: time::Time,
        request: handle::Request,
        target: Target,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        let priority = pending.arrival.priority;
        self.record_retry(now, priority);
        self.send_to(now, request, target, actions);
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.hedge = pending.attempts.last().copied();
        }
    }

    /// Records that an attempt sends the body of its request, so that the request is not hedged.
    pub(super) fn record_body_taken(&mut self, attempt: handle::Attempt) {
        let in_flight = self.in_flight.get(&attempt).map(|sent| sent.request);
        let request = in_flight.or_else(|| self.relays.request_of(attempt));
        if let Some(pending) = request.and_then(|request| self.requests.get_mut(&request)) {
            pending.body_holder = Some(attempt);
        }
    }
}
