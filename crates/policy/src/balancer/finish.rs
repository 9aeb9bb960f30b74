//! From the head or the end of an attempt to the end of its request or a retry.

use std::time::Duration;

use monsooncart_types::time;

use crate::balancer::{Balancer, evidence, flight};
use crate::{action, handle, outcome, poison};

/// Lowest status of an answer that counts as an error.
const ERROR: u16 = 500;

/// Weight of a new time in a running mean.
const MEAN_WEIGHT: f64 = 0.1;

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// How.
    pub end: outcome::Outcome,
    /// Whether the request could be sent again as it came.
    pub replayable: bool,
    /// When the server asked to come back.
    pub retry_after: Option<Duration>,
}

fn mean(old: Option<Duration>, new: Duration) -> Duration {
    let weigh = |old: Duration| old.mul_f64(1.0 - MEAN_WEIGHT) + new.mul_f64(MEAN_WEIGHT);
    old.map_or(new, weigh)
}

impl Balancer {
    pub(super) fn head(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        status: u16,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&attempt) else {
            return;
        };
        if flight.head || flight.cancelled {
            return;
        }
        flight.head = true;
        let flight = *flight;
        let span = now.since(flight.sent);
        let limit = self.baseline.slow_threshold(flight.server, self.promise);
        let kind = match (status >= ERROR, span > limit) {
            (true, _) => evidence::Kind::Error,
            (false, true) => evidence::Kind::Slow,
            (false, false) => evidence::Kind::Good,
        };
        let prompt = kind == evidence::Kind::Good;
        if let Some(flight) = self.flights.get_mut(&attempt) {
            flight.prompt = prompt;
        }
        self.head = Some(mean(self.head, span));
        if let Some(at) = self.place(flight.server) {
            let backend = &mut self.backends[at];
            backend.unlist(attempt);
            backend.load.accepted();
            if !flight.fresh || kind != evidence::Kind::Slow {
                backend.watch.answered(flight.sent, flight.fresh);
            }
            if prompt {
                backend.proved = flight.sent.max(backend.proved);
            }
            if !flight.trial {
                self.time(now, at, span, kind);
                self.observe(now, at, kind, actions);
            }
            self.judge_connections(now, at, actions);
        }
        self.win(now, attempt, flight.request, actions);
    }

    /// Gives up the other attempts of a request whose answer began.
    fn win(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        request: handle::Request,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.headed = true;
        let attempts = std::mem::replace(&mut pending.attempts, vec![attempt]);
        let losers: Vec<_> = attempts.into_iter().filter(|&a| a != attempt).collect();
        pending.unknown |= !losers.is_empty();
        for &loser in &losers {
            if let Some(flight) = self.flights.get(&loser).copied() {
                self.silence(now, loser, &flight, actions);
            }
        }
        self.cancel(&losers, actions);
    }

    pub(super) fn finish(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        report: Report,
        actions: &mut Vec<action::Action>,
    ) {
        if let outcome::Outcome::Answered(status) = report.end {
            self.head(now, attempt, status, actions);
        }
        let Some(flight) = self.flights.remove(&attempt) else {
            return;
        };
        self.release(now, attempt, &flight, &report, actions);
        self.conclude(now, attempt, &flight, &report, actions);
        self.pump(now, actions);
    }

    /// Frees the slot of an attempt and takes its evidence.
    fn release(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        flight: &flight::Flight,
        report: &Report,
        actions: &mut Vec<action::Action>,
    ) {
        let span = now.since(flight.sent);
        if let outcome::Outcome::Answered(_) = report.end {
            self.hold = Some(mean(self.hold, span));
            if let Some(fingerprint) = flight.fingerprint {
                self.poison.record_answer(fingerprint);
            }
        }
        let Some(at) = self.place(flight.server) else {
            return;
        };
        let silent = matches!(
            report.end,
            outcome::Outcome::Timeout | outcome::Outcome::Cancelled
        );
        if silent && !flight.head && !flight.cancelled {
            self.silence(now, attempt, flight, actions);
        }
        let backend = &mut self.backends[at];
        backend.load.ended();
        backend.unlist(attempt);
        if let outcome::Outcome::Shed { leaving } = report.end {
            backend.load.shed(now, report.retry_after);
            backend.left |= leaving;
        }
        if flight.trial {
            self.end_trial(now, at, flight, report.end, actions);
            return;
        }
        match report.end {
            outcome::Outcome::Broken => self.broken(now, at, flight, actions),
            outcome::Outcome::Garbled
            | outcome::Outcome::Unsent
            | outcome::Outcome::Misdirected
            | outcome::Outcome::Failed(_) => {
                self.observe(now, at, evidence::Kind::Error, actions);
            }
            outcome::Outcome::Shed { leaving: false } => {
                self.observe(now, at, evidence::Kind::Shed, actions);
            }
            _ => {}
        }
    }

    /// Takes the break of a connection, which may be the request's doing.
    fn broken(
        &mut self,
        now: time::Time,
        at: usize,
        flight: &flight::Flight,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(fingerprint) = flight.fingerprint else {
            self.observe(now, at, evidence::Kind::Error, actions);
            return;
        };
        let server = flight.server;
        let other = self
            .poison
            .crashed_server(fingerprint)
            .is_some_and(|s| s != server);
        let weight = if other {
            0.0
        } else {
            self.observe(now, at, evidence::Kind::Error, actions)
        };
        let verdict = self.poison.record_crash(now, fingerprint, server, weight);
        if verdict == poison::Verdict::FirstCrash {
            actions.push(action::Action::ReportCrash {
                fingerprint,
                server,
            });
        }
        self.convict(fingerprint, verdict, actions);
    }

    /// Takes the break of a server that another daemon saw; its evidence against the server is
    /// that daemon's own.
    pub(super) fn blame(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        server: handle::Server,
        actions: &mut Vec<action::Action>,
    ) {
        let verdict = self.poison.record_crash(now, fingerprint, server, 0.0);
        self.convict(fingerprint, verdict, actions);
    }

    /// Quarantines a request that broke two servers.
    fn convict(
        &mut self,
        fingerprint: handle::Fingerprint,
        verdict: poison::Verdict,
        actions: &mut Vec<action::Action>,
    ) {
        let poison::Verdict::Poison {
            first_server: first,
            evidence: weight,
        } = verdict
        else {
            return;
        };
        if let Some(first) = self.place(first) {
            self.backends[first].monitor.retract(weight);
        }
        actions.push(action::Action::Quarantine {
            fingerprint,
            duration: poison::QUARANTINE_DURATION,
        });
    }

    fn end_trial(
        &mut self,
        now: time::Time,
        at: usize,
        flight: &flight::Flight,
        end: outcome::Outcome,
        actions: &mut Vec<action::Action>,
    ) {
        let backend = &mut self.backends[at];
        backend.trying = false;
        let early = end == outcome::Outcome::Cancelled && !flight.cancelled;
        if early || backend.leaving() {
            return;
        }
        let well = matches!(end, outcome::Outcome::Answered(_)) && flight.prompt;
        let jitter = self.jitter();
        let backend = &mut self.backends[at];
        if backend
            .monitor
            .record_trial(now, well, jitter, &self.limits)
        {
            actions.push(action::Action::Restore(backend.spec.handle));
        }
    }

    /// Ends the request of an attempt, or sends it again.
    fn conclude(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        flight: &flight::Flight,
        report: &Report,
        actions: &mut Vec<action::Action>,
    ) {
        let request = flight.request;
        if flight.cancelled {
            return;
        }
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        pending.attempts.retain(|&a| a != attempt);
        pending.unknown |= report.end.execution() == outcome::Execution::Unknown;
        if let outcome::Outcome::Answered(_) | outcome::Outcome::Cancelled = report.end {
            let others = std::mem::take(&mut pending.attempts);
            self.requests.remove(&request);
            self.cancel(&others, actions);
            return;
        }
        if !pending.attempts.is_empty() {
            return;
        }
        if self.again(now, request, flight, report) {
            self.send_again(now, request, actions);
        } else {
            let reason = self.reason(flight, report);
            self.refuse(now, request, reason, actions);
        }
    }

    /// Whether a request is to be sent again, which takes a token.
    fn again(
        &mut self,
        now: time::Time,
        request: handle::Request,
        flight: &flight::Flight,
        report: &Report,
    ) -> bool {
        let Some(pending) = self.requests.get(&request) else {
            return false;
        };
        let arrival = pending.arrival;
        let harmless = arrival.repeatable || !pending.unknown;
        let poison = |f| self.poison.quarantined_until(now, f).is_some();
        report.replayable
            && harmless
            && !flight.fingerprint.is_some_and(poison)
            && pending.tried.len() < arrival.attempts as usize
            && now + self.head_time() <= arrival.deadline
            && self.budget.retry()
    }

    /// Why a request ends without an answer.
    fn reason(&self, flight: &flight::Flight, report: &Report) -> outcome::Reason {
        let pending = self.requests.get(&flight.request);
        let unknown = pending.is_some_and(|p| p.unknown);
        let repeatable = pending.is_some_and(|p| p.arrival.repeatable);
        let blamed = |f| self.poison.quarantined_until(flight.sent, f).is_some();
        if flight.fingerprint.is_some_and(blamed) {
            return outcome::Reason::Poison;
        }
        if unknown && !repeatable {
            return outcome::Reason::Unknown;
        }
        match report.end {
            outcome::Outcome::Timeout => outcome::Reason::Timeout,
            outcome::Outcome::Shed { .. } => outcome::Reason::Overload,
            _ => outcome::Reason::Exhausted,
        }
    }
}
