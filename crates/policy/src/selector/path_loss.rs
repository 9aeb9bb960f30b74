//! What the selector does about a lost path: probes, and requests through relays.

use std::time::Duration;

use monsooncart_types::{instance, time};
use rand::seq::IndexedRandom as _;

use super::evidence::MIN_FAILURE_STATUS;
use super::{Completion, Selector, in_flight, pending, relay};
use crate::{action, handle, outcome, path};

/// Time for which attempts wait without a response from any server before servers are probed, as a
/// multiple of the typical latency.
const SILENCE_RATIO: f64 = 2.0;

/// Minimum of that time.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Where an attempt is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// Index of a server.
    Server(usize),
    /// A daemon that relays the request.
    Relay(instance::Instance),
}

impl Selector {
    /// Selects the target of an attempt: a relay where the path is lost, or doubted after a failure of
    /// this request; otherwise a server. A relayed request is not relayed again.
    pub(super) fn select_target(
        &mut self,
        now: time::Time,
        pending: &pending::Request,
    ) -> Option<Target> {
        if self.path.is_lost() && pending.arrival.relayed {
            return None;
        }
        let is_doubted = |server: &handle::Server| self.path.is_doubted_apart_from(*server);
        if self.path.is_lost() || pending.unreachable_servers.iter().any(is_doubted) {
            return self.select_target_avoiding_path(now, pending);
        }
        self.select_server(now, pending).map(Target::Server)
    }

    /// Selects a relay, or a server if there is no relay.
    pub(super) fn select_target_avoiding_path(
        &mut self,
        now: time::Time,
        pending: &pending::Request,
    ) -> Option<Target> {
        let may_relay = !pending.arrival.relayed
            && self.attempts_left(pending) > 0
            && pending.tried_relays.len() < relay::MAX_RELAYS;
        let relays = &self.relays;
        let relay = may_relay
            .then(|| relays.select(now, &pending.tried_relays, &mut self.rng))
            .flatten();
        match relay {
            Some(peer) => Some(Target::Relay(peer)),
            None => self.select_server(now, pending).map(Target::Server),
        }
    }

    /// Number of servers that the request may still be sent to.
    pub(super) fn attempts_left(&self, pending: &pending::Request) -> u32 {
        let tried = u32::try_from(pending.tried_servers.len()).unwrap_or(u32::MAX);
        let used = tried.saturating_add(pending.relayed_attempts);
        pending.arrival.max_attempts.saturating_sub(used)
    }

    pub(super) fn send_to(
        &mut self,
        now: time::Time,
        request: handle::Request,
        target: Target,
        actions: &mut Vec<action::Action>,
    ) {
        match target {
            Target::Server(index) => self.send(now, request, index, actions),
            Target::Relay(peer) => self.send_to_relay(now, request, peer, actions),
        }
    }

    fn send_to_relay(
        &mut self,
        now: time::Time,
        request: handle::Request,
        peer: instance::Instance,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        let attempts_left = self.attempts_left(pending);
        // One attempt of a repeatable request is kept for a retry through another relay.
        let max_attempts = match pending.arrival.repeatable {
            true => attempts_left.saturating_sub(1).max(1),
            false => attempts_left,
        };
        self.attempts_sent += 1;
        let attempt = handle::Attempt(self.attempts_sent);
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.attempts.push(attempt);
            pending.tried_relays.push(peer);
            pending.relayed_attempts += max_attempts;
        }
        let relayed = relay::Attempt {
            request,
            peer,
            max_attempts,
            sent_at: now,
            responded: false,
            cancelled: false,
        };
        self.relays.record_sent(attempt, relayed);
        actions.push(action::Action::Relay {
            request,
            attempt,
            peer,
            max_attempts,
        });
    }

    /// Records the result of an attempt that was sent to a relay, if it is one.
    pub(super) fn record_relay_completion(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        mut completion: Completion,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(relayed) = self.relays.take_finished(attempt) else {
            return;
        };
        match completion.outcome {
            outcome::Outcome::Shed { .. } => self.relays.record_refusal(now, relayed.peer),
            outcome::Outcome::Answered(status) if status < MIN_FAILURE_STATUS => {
                self.relays.record_proof(now, relayed.peer);
            }
            outcome::Outcome::Unsent
            | outcome::Outcome::Broken
            | outcome::Outcome::Timeout
            | outcome::Outcome::Garbled
                if !relayed.responded =>
            {
                self.relays.record_failure(now, relayed.peer);
            }
            _ => {}
        }
        if relayed.cancelled {
            return;
        }
        let Some(pending) = self.requests.get_mut(&relayed.request) else {
            return;
        };
        pending.attempts.retain(|&a| a != attempt);
        completion.replayable = pending.finish_body(attempt, completion.replayable);
        if completion.outcome == outcome::Outcome::BodyTaken {
            pending.tried_relays.retain(|&peer| peer != relayed.peer);
            if pending.hedge == Some(attempt) {
                self.budget.refund_retry(now);
            }
        }
        let Some(pending) = self.requests.get_mut(&relayed.request) else {
            return;
        };
        match completion.outcome.execution() {
            outcome::Execution::NotRun => pending.relayed_attempts -= relayed.max_attempts,
            outcome::Execution::Unknown => pending.may_have_run = true,
        }
        if let outcome::Outcome::Answered(_) | outcome::Outcome::Cancelled = completion.outcome {
            let others = std::mem::take(&mut pending.attempts);
            self.requests.remove(&relayed.request);
            self.cancel_attempts(&others, actions);
            return;
        }
        if pending.attempts.is_empty() {
            let fingerprint = pending.arrival.fingerprint;
            // The relay itself counts what it sent to servers.
            let added_load = completion.outcome.execution() == outcome::Execution::Unknown;
            let request = relayed.request;
            self.retry_or_refuse(now, request, fingerprint, &completion, added_load, actions);
        }
    }

    /// Records a response of a server, which shows that the path to it was there when its connection
    /// was opened.
    pub(super) fn record_response(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        connected_at: time::Time,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(in_flight) = self.in_flight.get_mut(&attempt) {
            in_flight.responded = true;
            let (server, sent_at) = (in_flight.server, in_flight.sent_at);
            self.record_alive(server, sent_at);
        }
        self.record_path(now, connected_at, actions);
    }

    /// Records a path probe to which there was no response.
    pub(super) fn record_failed_probe(
        &mut self,
        now: time::Time,
        server: handle::Server,
        sent_at: time::Time,
        actions: &mut Vec<action::Action>,
    ) {
        if self.crashes.is_silent(server) {
            // The server has crashed, which says nothing about the path.
            return;
        }
        let failure = path::Failure {
            server,
            sent_at,
            failed_at: now,
            withheld: false,
        };
        let available = self.available_servers();
        if self.path.record_failed_probe(failure, available) {
            self.lose_path(now, actions);
        }
    }

    /// Records that the path was there when a connection was opened, and attributes the failures before
    /// that to their servers.
    pub(super) fn record_path(
        &mut self,
        now: time::Time,
        connected_at: time::Time,
        actions: &mut Vec<action::Action>,
    ) {
        self.last_response_at = now;
        let (servers_fault, was_lost) = self.path.record_response(connected_at);
        for failure in servers_fault {
            if failure.withheld
                && let Some(server) = self.server_mut(failure.server)
            {
                server.record_failure(now);
                self.report_state(now, failure.server, actions);
            }
        }
        self.attribute_crashes(now, actions);
        if was_lost {
            actions.push(action::Action::ReportPath {
                lost: false,
                evidence: "a server responded on a new connection".to_owned(),
            });
        }
    }

    /// Records an attempt that ended without any response, which may be the path's fault.
    pub(super) fn record_path_failure(
        &mut self,
        now: time::Time,
        in_flight: &in_flight::Attempt,
        outcome: outcome::Outcome,
        actions: &mut Vec<action::Action>,
    ) {
        let is_silent = matches!(
            outcome,
            outcome::Outcome::Unsent | outcome::Outcome::Broken | outcome::Outcome::Timeout
        );
        if !is_silent || in_flight.responded {
            return;
        }
        let failure = path::Failure {
            server: in_flight.server,
            sent_at: in_flight.sent_at,
            failed_at: now,
            withheld: outcome == outcome::Outcome::Unsent,
        };
        let available = self.available_servers();
        if self.path.record_failure(failure, available) {
            self.lose_path(now, actions);
        }
    }

    fn available_servers(&self) -> usize {
        self.servers.iter().filter(|s| !s.is_unavailable()).count()
    }

    fn lose_path(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        actions.push(action::Action::ReportPath {
            lost: true,
            evidence: self.path.to_string(),
        });
        self.probe_path(now, actions);
        self.hedge_through_relays(now, actions);
    }

    /// Probes servers while the path is lost, and when attempts wait with no response from any server.
    pub(super) fn probe_path(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        let silent_server = self.silent_server(now);
        if self.path.take_probe(now, silent_server.is_some()) {
            self.send_probes(silent_server, actions);
        }
    }

    /// Probes servers if none has responded lately, so that a daemon without traffic knows whether it
    /// can relay requests.
    pub(super) fn check_own_path(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        let is_unproven = now.since(self.last_response_at) >= relay::PROOF_LIFETIME;
        if self.path.take_probe(now, is_unproven) {
            self.send_probes(None, actions);
        }
    }

    /// Probes servers other than one that may have crashed.
    pub(super) fn probe_others(
        &mut self,
        server: handle::Server,
        actions: &mut Vec<action::Action>,
    ) {
        let mut probes = Vec::new();
        self.send_probes(None, &mut probes);
        probes.retain(|probe| *probe != action::Action::ProbePath(server));
        actions.extend(probes);
    }

    /// Probes the server from which a response is missing, and others, first those that have not failed.
    fn send_probes(
        &mut self,
        silent_server: Option<handle::Server>,
        actions: &mut Vec<action::Action>,
    ) {
        let available = self.servers.iter().filter(|s| !s.is_unavailable());
        let others = available.map(|server| server.spec.handle);
        let others = others.filter(|s| Some(*s) != silent_server);
        let has_failed =
            |s: &handle::Server| self.path.has_failed(*s) || self.crashes.is_silent(*s);
        let (failed, sound): (Vec<_>, Vec<_>) = others.partition(has_failed);
        let count = path::PROBED_SERVERS - usize::from(silent_server.is_some());
        let sound: Vec<_> = sound.sample(&mut self.rng, count).copied().collect();
        let failed: Vec<_> = failed
            .sample(&mut self.rng, count - sound.len())
            .copied()
            .collect();
        let probed = silent_server.into_iter().chain(sound).chain(failed);
        actions.extend(probed.map(action::Action::ProbePath));
    }

    /// Whether attempts wait with no response from any server.
    pub(super) fn is_silent(&self, now: time::Time) -> bool {
        self.silent_server(now).is_some()
    }

    /// Server of the oldest attempt, if that has waited long and no server has responded since it was
    /// sent.
    fn silent_server(&self, now: time::Time) -> Option<handle::Server> {
        let silence = self.typical_latency().mul_f64(SILENCE_RATIO);
        let silence = silence.max(MIN_SILENCE);
        let waiting = self
            .in_flight
            .values()
            .filter(|a| !a.responded && !a.cancelled);
        let oldest = waiting.min_by_key(|attempt| attempt.sent_at)?;
        let is_silent =
            self.last_response_at < oldest.sent_at && now.since(oldest.sent_at) >= silence;
        is_silent.then_some(oldest.server)
    }

    /// Sends repeatable requests, whose only attempt waits for a server behind a lost path, through
    /// relays as well.
    fn hedge_through_relays(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        let waits = |pending: &pending::Request| {
            let [attempt] = pending.attempts.as_slice() else {
                return false;
            };
            let in_flight = self.in_flight.get(attempt);
            pending.body_holder.is_none() && in_flight.is_some_and(|attempt| !attempt.responded)
        };
        let repeatable = self
            .requests
            .iter()
            .filter(|(_, p)| p.arrival.repeatable && waits(p));
        let mut requests: Vec<_> = repeatable.map(|(request, _)| *request).collect();
        requests.sort_unstable();
        for request in requests {
            let Some(pending) = self.requests.get(&request).cloned() else {
                continue;
            };
            if !self.allows_retry(now, pending.arrival.priority) {
                continue;
            }
            if let Some(target @ Target::Relay(_)) = self.select_target(now, &pending) {
                self.send_hedge(now, request, target, actions);
            }
        }
    }
}
