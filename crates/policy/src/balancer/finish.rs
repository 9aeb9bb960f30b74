//! Results of attempts: response heads, completions, retries and refusals.

use std::time::Duration;

use monsooncart_types::time;

use crate::balancer::{Balancer, evidence, in_flight};
use crate::{action, handle, outcome, poison};

/// Lowest HTTP status that counts as an error.
const MIN_ERROR_STATUS: u16 = 500;

/// Weight of a new sample in the running means.
const MEAN_WEIGHT: f64 = 0.1;

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Completion {
    pub outcome: outcome::Outcome,
    /// Whether the request can be sent again as received: its body is complete and the caller has
    /// received no byte of a response.
    pub replayable: bool,
    /// Delay that the server asked for before the next request.
    pub retry_after: Option<Duration>,
}

fn update_mean(old: Option<Duration>, new: Duration) -> Duration {
    let weigh = |old: Duration| old.mul_f64(1.0 - MEAN_WEIGHT) + new.mul_f64(MEAN_WEIGHT);
    old.map_or(new, weigh)
}

impl Balancer {
    pub(super) fn record_head(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        status: u16,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(in_flight) = self.in_flight.get_mut(&attempt) else {
            return;
        };
        if in_flight.has_head || in_flight.cancelled {
            return;
        }
        in_flight.has_head = true;
        let in_flight = *in_flight;
        let elapsed = now.since(in_flight.sent_at);
        let slow_threshold = self
            .baseline
            .slow_threshold(in_flight.server, self.latency_objective);
        let observation = match (status >= MIN_ERROR_STATUS, elapsed > slow_threshold) {
            (true, _) => evidence::Observation::Error,
            (false, true) => evidence::Observation::Slow,
            (false, false) => evidence::Observation::Good,
        };
        let has_good_head = observation == evidence::Observation::Good;
        if let Some(in_flight) = self.in_flight.get_mut(&attempt) {
            in_flight.has_good_head = has_good_head;
        }
        self.mean_head_time = Some(update_mean(self.mean_head_time, elapsed));
        if let Some(index) = self.index_of(in_flight.server) {
            let backend = &mut self.backends[index];
            backend.remove_awaiting(attempt);
            backend.load.record_accepted();
            if !in_flight.fresh_connection || observation != evidence::Observation::Slow {
                backend
                    .connections
                    .record_answer(in_flight.sent_at, in_flight.fresh_connection);
            }
            if has_good_head {
                backend.last_good_sent_at = in_flight.sent_at.max(backend.last_good_sent_at);
            }
            if !in_flight.is_trial {
                self.record_head_time(now, index, elapsed, observation);
                self.observe(now, index, observation, actions);
            }
            self.check_connections(now, index, actions);
        }
        self.cancel_losers(now, attempt, in_flight.request, actions);
    }

    /// Cancels the other attempts of a request after a response head arrived.
    fn cancel_losers(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        request: handle::Request,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.has_head = true;
        let attempts = std::mem::replace(&mut pending.attempts, vec![attempt]);
        let losers: Vec<_> = attempts.into_iter().filter(|&a| a != attempt).collect();
        pending.may_have_run |= !losers.is_empty();
        for &loser in &losers {
            if let Some(in_flight) = self.in_flight.get(&loser).copied() {
                self.record_silence(now, loser, &in_flight, actions);
            }
        }
        self.cancel_attempts(&losers, actions);
    }

    pub(super) fn record_completion(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        completion: Completion,
        actions: &mut Vec<action::Action>,
    ) {
        if let outcome::Outcome::Answered(status) = completion.outcome {
            self.record_head(now, attempt, status, actions);
        }
        let Some(in_flight) = self.in_flight.remove(&attempt) else {
            return;
        };
        self.release_slot(now, attempt, &in_flight, &completion, actions);
        self.resolve_request(now, attempt, &in_flight, completion, actions);
        self.dispatch_queued(now, actions);
    }

    /// Releases the slot of an attempt and records its evidence.
    fn release_slot(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        in_flight: &in_flight::Attempt,
        completion: &Completion,
        actions: &mut Vec<action::Action>,
    ) {
        let elapsed = now.since(in_flight.sent_at);
        if let outcome::Outcome::Answered(status) = completion.outcome {
            self.mean_slot_time = Some(update_mean(self.mean_slot_time, elapsed));
            if let Some(fingerprint) = in_flight.fingerprint
                && status < MIN_ERROR_STATUS
                && self
                    .poison
                    .record_answer(now, fingerprint, in_flight.sent_at)
            {
                actions.push(action::Action::ReportAcquittal(fingerprint));
            }
        }
        let Some(index) = self.index_of(in_flight.server) else {
            return;
        };
        let no_response = matches!(
            completion.outcome,
            outcome::Outcome::Timeout | outcome::Outcome::Cancelled
        );
        if no_response && !in_flight.has_head && !in_flight.cancelled {
            self.record_silence(now, attempt, in_flight, actions);
        }
        let backend = &mut self.backends[index];
        backend.load.record_finished();
        backend.remove_awaiting(attempt);
        if let outcome::Outcome::Shed { leaving } = completion.outcome {
            backend.load.record_shed(now, completion.retry_after);
            backend.announced_leaving |= leaving;
        }
        backend.removed |= completion.outcome == outcome::Outcome::Removed;
        if in_flight.is_trial {
            self.finish_trial(now, index, in_flight, completion.outcome, actions);
            return;
        }
        match completion.outcome {
            outcome::Outcome::Broken => self.record_broken(now, index, in_flight, actions),
            outcome::Outcome::Garbled
            | outcome::Outcome::Unsent
            | outcome::Outcome::Misdirected
            | outcome::Outcome::Failed(_) => {
                self.observe(now, index, evidence::Observation::Error, actions);
            }
            outcome::Outcome::Shed { leaving: false } => {
                self.observe(now, index, evidence::Observation::Shed, actions);
            }
            _ => {}
        }
    }

    /// Records a broken connection, which the request may have caused by crashing the server.
    fn record_broken(
        &mut self,
        now: time::Time,
        index: usize,
        in_flight: &in_flight::Attempt,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(fingerprint) = in_flight.fingerprint else {
            self.observe(now, index, evidence::Observation::Error, actions);
            return;
        };
        let server = in_flight.server;
        let run = handle::Run {
            server,
            started_millis: self.backends[index].spec.started_millis,
        };
        let crashed_another = self
            .poison
            .crashed_run(fingerprint)
            .is_some_and(|crashed| crashed.server != server);
        let added = if crashed_another {
            0.0
        } else {
            self.observe(now, index, evidence::Observation::Error, actions)
        };
        let crash = poison::Crash {
            evidence: added,
            ..poison::Crash::new(run, now)
        };
        if !self.poison.record_crash(fingerprint, crash) {
            return;
        }
        match self.poison.convict_at_once(now, fingerprint) {
            Some(conviction) => self.quarantine_poison(fingerprint, &conviction, actions),
            None => actions.push(action::Action::ReportCrash { fingerprint, run }),
        }
    }

    /// Records a crash that another daemon reported. The evidence against the server stays with
    /// that daemon, so none is added here.
    pub(super) fn record_crash_report(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        run: handle::Run,
        actions: &mut Vec<action::Action>,
    ) {
        let crash = poison::Crash::new(run, now);
        self.poison.record_crash(fingerprint, crash);
        if let Some(conviction) = self.poison.convict_at_once(now, fingerprint) {
            self.quarantine_poison(fingerprint, &conviction, actions);
        }
    }

    /// Quarantines a request that has arrived if it was a suspect of enough crashes.
    pub(super) fn judge_suspect(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(conviction) = self.poison.convict(now, fingerprint) {
            self.quarantine_poison(fingerprint, &conviction, actions);
        }
    }

    /// Quarantines a poison request. The crashes that it caused are no evidence against their servers.
    fn quarantine_poison(
        &mut self,
        fingerprint: handle::Fingerprint,
        conviction: &poison::Conviction,
        actions: &mut Vec<action::Action>,
    ) {
        for (server, evidence) in &conviction.evidence {
            if let Some(index) = self.index_of(*server) {
                self.backends[index].monitor.retract(*evidence);
            }
        }
        actions.push(action::Action::Quarantine {
            fingerprint,
            duration: conviction.duration,
        });
    }

    fn finish_trial(
        &mut self,
        now: time::Time,
        index: usize,
        in_flight: &in_flight::Attempt,
        outcome: outcome::Outcome,
        actions: &mut Vec<action::Action>,
    ) {
        let backend = &mut self.backends[index];
        backend.trial_in_flight = false;
        let caller_disconnected = outcome == outcome::Outcome::Cancelled && !in_flight.cancelled;
        let is_untried = caller_disconnected || outcome == outcome::Outcome::BodyTaken;
        if is_untried || backend.is_leaving() {
            return;
        }
        let healthy = matches!(outcome, outcome::Outcome::Answered(_)) && in_flight.has_good_head;
        let jitter = self.jitter();
        let backend = &mut self.backends[index];
        if backend
            .monitor
            .record_trial(now, healthy, jitter, &self.limits)
        {
            actions.push(action::Action::Restore(backend.spec.handle));
        }
    }

    /// Completes, retries or refuses the request of a finished attempt.
    fn resolve_request(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        in_flight: &in_flight::Attempt,
        mut completion: Completion,
        actions: &mut Vec<action::Action>,
    ) {
        let request = in_flight.request;
        if in_flight.cancelled {
            return;
        }
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.attempts.retain(|&a| a != attempt);
        pending.may_have_run |= completion.outcome.execution() == outcome::Execution::Unknown;
        completion.replayable = pending.finish_body(attempt, completion.replayable);
        if let outcome::Outcome::Removed | outcome::Outcome::BodyTaken = completion.outcome {
            pending.tried_servers.retain(|&s| s != in_flight.server);
        }
        if completion.outcome == outcome::Outcome::BodyTaken && !pending.attempts.is_empty() {
            // The hedge was paid for and not sent.
            self.budget.refund();
            return;
        }
        if let outcome::Outcome::Answered(_) | outcome::Outcome::Cancelled = completion.outcome {
            let others = std::mem::take(&mut pending.attempts);
            self.requests.remove(&request);
            self.cancel_attempts(&others, actions);
            return;
        }
        if !pending.attempts.is_empty() {
            return;
        }
        if self.try_withdraw_retry(now, request, in_flight, &completion) {
            self.retry(now, request, actions);
        } else {
            let reason = self.refusal_reason(in_flight, &completion);
            self.refuse(now, request, reason, actions);
        }
    }

    /// Withdraws a token from the retry budget if a request may be retried; returns whether it did.
    fn try_withdraw_retry(
        &mut self,
        now: time::Time,
        request: handle::Request,
        in_flight: &in_flight::Attempt,
        completion: &Completion,
    ) -> bool {
        let Some(pending) = self.requests.get(&request) else {
            return false;
        };
        let arrival = pending.arrival;
        let safe_to_repeat = arrival.repeatable || !pending.may_have_run;
        let quarantined = |f| self.poison.quarantined_until(now, f).is_some();
        completion.replayable
            && safe_to_repeat
            && !in_flight.fingerprint.is_some_and(quarantined)
            && pending.tried_servers.len() < arrival.max_attempts as usize
            && now + self.expected_head_time() <= arrival.deadline
            // An attempt that was not sent adds no load to the service.
            && (matches!(
                completion.outcome,
                outcome::Outcome::Removed | outcome::Outcome::BodyTaken
            ) || self.budget.withdraw_retry())
    }

    /// The reason for refusing a request that is not retried.
    fn refusal_reason(
        &self,
        in_flight: &in_flight::Attempt,
        completion: &Completion,
    ) -> outcome::Reason {
        let pending = self.requests.get(&in_flight.request);
        let may_have_run = pending.is_some_and(|p| p.may_have_run);
        let repeatable = pending.is_some_and(|p| p.arrival.repeatable);
        let quarantined = |f| {
            self.poison
                .quarantined_until(in_flight.sent_at, f)
                .is_some()
        };
        if in_flight.fingerprint.is_some_and(quarantined) {
            return outcome::Reason::Poison;
        }
        if may_have_run && !repeatable {
            return outcome::Reason::Unknown;
        }
        match completion.outcome {
            outcome::Outcome::Timeout => outcome::Reason::Timeout,
            outcome::Outcome::Shed { .. } => outcome::Reason::Overload,
            _ => outcome::Reason::Exhausted,
        }
    }
}
