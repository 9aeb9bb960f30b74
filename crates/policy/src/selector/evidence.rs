//! Evidence about servers and requests, from the results of attempts and from peers.

use std::time::Duration;

use monsooncart_types::{instance, rate, time};

use super::{Completion, SLOW_RATIO, Selector, in_flight, peer_use};
use crate::{action, event, handle, outcome};

/// Lowest response status that counts as a failure.
pub(super) const MIN_FAILURE_STATUS: u16 = 500;

/// Status with which a server reports that the deadline of the request has passed, which is not a
/// failure of the server.
const DEADLINE_EXCEEDED_STATUS: u16 = 504;

/// A service time longer than this multiple of the mean counts as that multiple.
const MAX_SERVICE_TIME_RATIO: u32 = 2;

/// Maximum number of routes whose work is remembered.
const MAX_ROUTES: usize = 1024;

/// Weight of a new value in the running mean of the latency.
const LATENCY_MEAN_WEIGHT: f64 = 0.05;

/// Returns a running mean with a new value, which is the mean if it is the first one.
fn update_mean(mean: Option<Duration>, value: Duration) -> Duration {
    mean.map_or(value, |mean| {
        mean.mul_f64(1.0 - LATENCY_MEAN_WEIGHT) + value.mul_f64(LATENCY_MEAN_WEIGHT)
    })
}

impl Selector {
    /// Records what the result of an attempt shows about its server and its request.
    pub(super) fn record_outcome(
        &mut self,
        now: time::Time,
        in_flight: &in_flight::Attempt,
        completion: &Completion,
        actions: &mut Vec<action::Action>,
    ) {
        let latency = now.since(in_flight.sent_at);
        let is_slow = latency >= self.typical_latency().mul_f64(SLOW_RATIO);
        if let outcome::Outcome::Answered(status) = completion.outcome {
            self.mean_latency = Some(update_mean(self.mean_latency, latency));
            if in_flight.unqueued {
                // A few slow servers must not shorten the queues of all others.
                let max = self
                    .mean_service_time
                    .map(|mean| mean * MAX_SERVICE_TIME_RATIO);
                let service_time = latency.min(max.unwrap_or(latency));
                self.mean_service_time = Some(update_mean(self.mean_service_time, service_time));
                self.record_work(in_flight.route, latency);
            }
            if let Some(fingerprint) = in_flight.fingerprint {
                self.record_poison_answer(now, fingerprint, in_flight.sent_at, status, actions);
            }
        }
        let server = self.server_mut(in_flight.server);
        if server.is_some_and(|server| !server.spec.local) {
            self.remote_window.record(completion.outcome);
        }
        let Some(server) = self.server_mut(in_flight.server) else {
            return;
        };
        server.record_finished();
        if server.spec.started_millis != in_flight.started_millis {
            // The server was restarted since the attempt was sent.
            if completion.outcome == outcome::Outcome::Broken {
                self.record_restart(now, in_flight, actions);
            }
            return;
        }
        match completion.outcome {
            outcome::Outcome::Answered(status) if status < MIN_FAILURE_STATUS => {
                server.record_success(now);
            }
            outcome::Outcome::Answered(DEADLINE_EXCEEDED_STATUS)
            | outcome::Outcome::Failed(DEADLINE_EXCEEDED_STATUS) => {
                if is_slow && !in_flight.slow_recorded {
                    server.record_slow(now);
                }
            }
            outcome::Outcome::Answered(_)
            | outcome::Outcome::Failed(_)
            | outcome::Outcome::Garbled => {
                server.record_failure(now);
            }
            outcome::Outcome::Broken => {
                server.record_failure(now);
                self.suspect_crash(now, in_flight, actions);
            }
            outcome::Outcome::Timeout if is_slow && !in_flight.slow_recorded => {
                server.record_failure(now);
            }
            outcome::Outcome::Shed { leaving } => {
                server.record_shed(now, completion.retry_after);
                server.announced_leaving |= leaving;
            }
            outcome::Outcome::Misdirected => server.replaced = true,
            outcome::Outcome::Removed => server.removed = true,
            outcome::Outcome::Unsent => server.record_unreachable(now),
            outcome::Outcome::Timeout
            | outcome::Outcome::BodyTaken
            | outcome::Outcome::Cancelled => {}
        }
        self.report_state(now, in_flight.server, actions);
        self.record_path_failure(now, in_flight, completion.outcome, actions);
    }

    /// Records the time of an attempt that found a free slot.
    fn record_work(&mut self, route: handle::Route, work: Duration) {
        let known = self.work_by_route.get(&route).copied();
        if known.is_some() || self.work_by_route.len() < MAX_ROUTES {
            // The same bound as for the service: a few slow servers say nothing about the route.
            let work = known.map_or(work, |mean| work.min(mean * MAX_SERVICE_TIME_RATIO));
            self.work_by_route.insert(route, update_mean(known, work));
        }
    }

    /// Reports a changed state of a server to operators.
    pub(super) fn report_state(
        &mut self,
        now: time::Time,
        server: handle::Server,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(known) = self.server_mut(server) else {
            return;
        };
        if let Some(change) = known.update_reported_state(now) {
            let evidence = known.evidence(now);
            actions.push(action::Action::ReportState {
                server,
                change,
                evidence,
            });
        }
    }

    /// Records the rate limit in the response to an attempt.
    pub(super) fn record_rate_limit(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        limit: Option<rate::Rate>,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(in_flight) = self.in_flight.get(&attempt) else {
            return;
        };
        let (server, started_millis) = (in_flight.server, in_flight.started_millis);
        let Some(known) = self.server_in_run(server, started_millis) else {
            return;
        };
        if known.observe_rate_limit(now, limit) {
            actions.push(action::Action::ReportRateLimit {
                server,
                started_millis,
                limit,
            });
        }
    }

    /// Records the retry delay in the response to an attempt.
    pub(super) fn record_retry_after(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        delay: Duration,
    ) {
        let Some(in_flight) = self.in_flight.get(&attempt) else {
            return;
        };
        let (server, started_millis) = (in_flight.server, in_flight.started_millis);
        if let Some(known) = self.server_in_run(server, started_millis) {
            known.set_retry_at(now + delay);
        }
    }

    /// Applies the rate limit that a peer reported.
    pub(super) fn merge_rate_limit(
        &mut self,
        now: time::Time,
        server: handle::Server,
        started_millis: u64,
        limit: Option<rate::Rate>,
    ) {
        if let Some(known) = self.server_in_run(server, started_millis) {
            known.set_rate_limit(now, limit);
        }
    }

    /// The server, configured or removed, if the run that started at `started_millis` is its latest
    /// one.
    fn server_in_run(
        &mut self,
        server: handle::Server,
        started_millis: u64,
    ) -> Option<&mut super::server::Server> {
        let known = match self.indices.get(&server) {
            Some(index) => self.servers.get_mut(*index)?,
            None => &mut self.removed_servers.get_mut(&server)?.1,
        };
        (known.spec.started_millis == started_millis).then_some(known)
    }

    /// Merges the evidence that a peer reported.
    pub(super) fn merge_evidence(
        &mut self,
        now: time::Time,
        from: instance::Instance,
        digests: &[(handle::Server, event::Digest)],
        actions: &mut Vec<action::Action>,
    ) {
        if digests.iter().any(|(_, digest)| digest.good > 0) {
            self.relays.record_proof(now, from);
        }
        // Only reports to the observers contain nothing else.
        let is_use = digests.iter().all(|(_, d)| *d == event::Digest::USED);
        if is_use {
            peer_use::record_heard(&mut self.heard, now, from);
        }
        for (server, digest) in digests {
            let Some(known) = self.server_mut(*server) else {
                continue;
            };
            if is_use {
                known.activity.record_use(now, from);
                continue;
            }
            known.merge_digest(now, from, digest);
            self.report_state(now, *server, actions);
        }
    }
}
