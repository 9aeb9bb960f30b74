//! Evidence about servers, from observations to ejection requests.

use std::time::Duration;

use monsooncart_types::{instance, time};

use crate::balancer::{Balancer, backend, in_flight};
use crate::health::{baseline, state};
use crate::{action, event, handle};

/// Weight of a shed request as evidence, relative to an error.
const SHED_WEIGHT: f64 = 0.4;

/// Maximum suspicion contributed by all peers, as a ratio of the ejection threshold.
const MAX_PEER_SUSPICION_RATIO: f64 = 0.6;

/// Suspicion contributed by one peer whose own suspicion is at the ejection threshold, as a ratio
/// of that threshold.
const PEER_SUSPICION_RATIO: f64 = 0.4;

/// Age below which an attempt is never considered stuck.
pub(super) const MIN_STUCK_AGE: Duration = Duration::from_millis(15);

/// Evidence against the other servers, as a log-likelihood ratio, at which the whole service counts
/// as unhealthy.
const UNHEALTHY_SERVICE_EVIDENCE: f64 = 3.0;

/// Maximum evidence of health from one other server, as a multiple of its equal share of the
/// required evidence. With 2, at least half of the other servers must be healthy.
const MAX_EVIDENCE_SHARES: f64 = 2.0;

/// Minimum cap on the evidence of health from one other server, as a log-likelihood ratio: about
/// the evidence of one good observation.
const MIN_EVIDENCE_CAP: f64 = 0.65;

/// Minimum number of other servers at which the evidence of the worst one is left out, since that
/// server may be unhealthy for its own reasons.
const MIN_SERVERS_TO_TRIM: usize = 3;

/// Minimum interval between comparisons of the servers.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(50);

/// Ratio of bad observations at the median server above which the whole service counts as unhealthy
/// and no evidence against single servers is kept.
const UNHEALTHY_SERVICE_RATIO: f64 = 0.25;

/// Time from the start of a suspicion during which the reports of peers are ignored, since they may
/// not take the fault into account yet.
const PEER_REPORT_LAG: Duration = Duration::from_millis(500);

/// Classification of an attempt as evidence about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Observation {
    /// A successful response within the slow threshold.
    Good,
    /// A response slower than the slow threshold, or none within it.
    Slow,
    /// An error response or a failed connection.
    Error,
    /// A refusal by the server.
    Shed,
}

/// Health of the other servers of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServiceHealth {
    /// There is too little evidence.
    Unknown,
    Healthy,
    Unhealthy,
}

impl Balancer {
    /// Records the time to a response head.
    pub(super) fn record_head_time(
        &mut self,
        now: time::Time,
        index: usize,
        head_time: Duration,
        observation: Observation,
    ) {
        let backend = &mut self.backends[index];
        backend.monitor.record_head_time(head_time);
        let in_service = backend.monitor.state() != state::State::Ejected;
        if in_service {
            self.baseline.record(baseline::Sample {
                server: backend.spec.handle,
                observed_at: now,
                seconds: if observation == Observation::Error {
                    f32::INFINITY
                } else {
                    head_time.as_secs_f32()
                },
            });
        }
    }

    /// Records an observation and returns the evidence that it added against the server.
    pub(super) fn observe(
        &mut self,
        now: time::Time,
        index: usize,
        observation: Observation,
        actions: &mut Vec<action::Action>,
    ) -> f64 {
        let bad_ratio = self.expected_bad_ratio(index);
        let backend = &mut self.backends[index];
        self.tally.count(observation == Observation::Good);
        if observation == Observation::Good {
            backend.monitor.record_good(bad_ratio);
            if backend.suspicion > 0.0 {
                self.update_suspicion(now, index);
            }
            return 0.0;
        }
        self.needs_maintenance = true;
        self.compare_servers(now);
        let bad_ratio = bad_ratio.max(self.median_bad_ratio);
        let backend = &mut self.backends[index];
        let slow_in_cold_start = observation == Observation::Slow && backend.is_in_cold_start(now);
        let weight = if observation == Observation::Shed {
            SHED_WEIGHT
        } else {
            1.0
        };
        let added = backend
            .monitor
            .record_bad(bad_ratio, weight, slow_in_cold_start, &self.limits);
        self.evaluate_ejection(now, index, actions);
        added
    }

    /// Expected ratio of bad observations of a server: the long-term ratio of the other servers, or
    /// the recent ratio of the median server if that is worse.
    fn expected_bad_ratio(&self, index: usize) -> f64 {
        let others = self
            .tally
            .bad_ratio_without(&self.backends[index].monitor.tally);
        others.max(self.median_bad_ratio)
    }

    /// Compares the servers, and discounts the evidence against all of them if the whole service
    /// is unhealthy.
    pub(super) fn compare_servers(&mut self, now: time::Time) {
        if now.since(self.last_comparison_at) < COMPARISON_INTERVAL {
            return;
        }
        self.last_comparison_at = now;
        let available = self.backends.iter();
        let available =
            available.filter(|b| b.availability(&self.limits) > backend::Availability::Unavailable);
        let (mut bad_ratios, mut available_count, mut stuck_count) = (Vec::new(), 0, 0);
        for backend in available {
            bad_ratios.extend(backend.monitor.recent.bad_ratio());
            available_count += 1;
            let may_be_stuck = backend.oldest_awaiting_age(now) >= MIN_STUCK_AGE;
            stuck_count += u32::from(
                may_be_stuck && backend.has_stuck_attempt(now, self.slow_threshold(backend)),
            );
        }
        let middle = bad_ratios.len().saturating_sub(1) / 2;
        self.median_bad_ratio = if bad_ratios.is_empty() {
            0.0
        } else {
            *bad_ratios.select_nth_unstable_by(middle, f64::total_cmp).1
        };
        if self.median_bad_ratio > UNHEALTHY_SERVICE_RATIO
            || stuck_count * 2 > available_count && stuck_count > 1
        {
            let limits = self.limits;
            let backends = self.backends.iter_mut();
            backends.for_each(|b| b.discount_evidence(now, &limits));
        }
    }

    /// The time to the response head above which an attempt at the server counts as slow.
    pub(super) fn slow_threshold(&self, backend: &backend::Backend) -> Duration {
        self.baseline
            .slow_threshold(backend.spec.handle, self.latency_objective)
    }

    /// Records an attempt that finished, or is about to be cancelled, without a response head.
    pub(super) fn record_silence(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        in_flight: &in_flight::Attempt,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(index) = self.index_of(in_flight.server) else {
            return;
        };
        let slow_threshold = self
            .baseline
            .slow_threshold(in_flight.server, self.latency_objective);
        let backend = &mut self.backends[index];
        let entry = backend.awaiting_head.iter().find(|h| h.attempt == attempt);
        let discounted = entry.is_none_or(|h| h.discounted);
        backend.remove_awaiting(attempt);
        if discounted || in_flight.is_trial || now.since(in_flight.sent_at) < slow_threshold {
            return;
        }
        self.baseline.record(baseline::Sample {
            server: in_flight.server,
            observed_at: now,
            seconds: now.since(in_flight.sent_at).as_secs_f32(),
        });
        let added = self.observe(now, index, Observation::Slow, actions);
        let tracker = &mut self.backends[index].connections;
        tracker.record_silence(in_flight.sent_at, in_flight.fresh_connection, added);
        self.check_connections(now, index, actions);
    }

    /// Closes stale connections, and retracts the evidence that they caused against the server.
    pub(super) fn check_connections(
        &mut self,
        now: time::Time,
        index: usize,
        actions: &mut Vec<action::Action>,
    ) {
        let backend = &mut self.backends[index];
        if backend.connections.oldest_silent_sent_at().is_none() && backend.awaiting_head.is_empty()
        {
            return;
        }
        let slow_threshold = self
            .baseline
            .slow_threshold(backend.spec.handle, self.latency_objective);
        let (stuck_count, oldest_sent_at) =
            backend.stuck_on_reused_connections(now, slow_threshold);
        let Some(stale) = backend
            .connections
            .detect_stale(stuck_count, oldest_sent_at)
        else {
            return;
        };
        backend.monitor.retract(stale.evidence);
        for awaiting in &mut backend.awaiting_head {
            awaiting.discounted |= !awaiting.fresh_connection;
        }
        actions.push(action::Action::CloseConnections {
            server: backend.spec.handle,
            opened_before: stale.opened_before,
        });
        self.update_suspicion(now, index);
    }

    /// Recomputes the suspicion of a server.
    pub(super) fn update_suspicion(&mut self, now: time::Time, index: usize) {
        let bad_ratio = self.expected_bad_ratio(index);
        let backend = &mut self.backends[index];
        let slow_threshold = self
            .baseline
            .slow_threshold(backend.spec.handle, self.latency_objective);
        let own_suspicion = backend.compute_suspicion(now, slow_threshold, bad_ratio, &self.limits);
        if backend
            .monitor
            .set_suspected(now, own_suspicion >= self.limits.suspect_threshold())
        {
            backend.initial_slow_threshold = slow_threshold;
            let oldest_sent_at = backend.awaiting_head.front().map(|h| h.sent_at);
            let stuck_since = oldest_sent_at.filter(|at| now.since(*at) >= slow_threshold);
            backend.fault_began_at = stuck_since.unwrap_or(now);
        }
        self.needs_maintenance |= own_suspicion > 0.0;
        let mut suspicion = own_suspicion;
        if own_suspicion >= self.limits.suspect_threshold() && !self.peers.is_empty() {
            let since = backend.monitor.suspected_since(now) + PEER_REPORT_LAG;
            let peer_suspicion = self.peers.assess(backend.spec.handle, since).suspicion;
            suspicion += self.limits.threshold
                * (peer_suspicion * PEER_SUSPICION_RATIO).min(MAX_PEER_SUSPICION_RATIO);
        }
        let explained_by_cold_start =
            backend.is_in_cold_start(now) && backend.monitor.score() < self.limits.threshold;
        if explained_by_cold_start {
            suspicion = suspicion.min(self.limits.threshold * 0.9);
        }
        backend.suspicion = suspicion;
    }

    /// Recomputes the suspicion of a server and requests its ejection if it passes the threshold.
    pub(super) fn evaluate_ejection(
        &mut self,
        now: time::Time,
        index: usize,
        actions: &mut Vec<action::Action>,
    ) {
        self.update_suspicion(now, index);
        let limits = self.limits;
        let backend = &self.backends[index];
        let monitor = &backend.monitor;
        if monitor.state() == state::State::Ejected || backend.is_leaving() {
            return;
        }
        if backend.suspicion < monitor.threshold(&limits) {
            return;
        }
        let suspected_since = monitor.suspected_since(now);
        let dwell = if self.peers.is_empty() {
            limits.dwell
        } else {
            limits.dwell_with_peers
        };
        if now.since(suspected_since) < dwell {
            return;
        }
        match self.service_health(now, index) {
            ServiceHealth::Unknown => return,
            ServiceHealth::Unhealthy => {
                self.backends[index].discount_evidence(now, &limits);
                return;
            }
            ServiceHealth::Healthy => {}
        }
        let server = backend.spec.handle;
        let assessment = self.peers.assess(server, suspected_since + PEER_REPORT_LAG);
        let backend = &mut self.backends[index];
        backend.monitor.mark_suspect();
        let contradicted = assessment.healthy_reports > assessment.unhealthy_reports;
        if contradicted || !backend.monitor.try_request_ejection(now) {
            return;
        }
        let evidence = backend.describe_evidence(now);
        actions.push(action::Action::Eject { server, evidence });
    }

    /// Health of the servers other than the suspect at `index` since its fault began, by the slow
    /// threshold at the start of the suspicion.
    fn service_health(&self, now: time::Time, index: usize) -> ServiceHealth {
        let suspect = &self.backends[index];
        let (slow_threshold, since) = (suspect.initial_slow_threshold, suspect.fault_began_at);
        let mut tallies = self
            .baseline
            .tallies_since(suspect.spec.handle, since, slow_threshold);
        for (other_index, other) in self.backends.iter().enumerate() {
            if other_index == index || other.oldest_awaiting_age(now) <= slow_threshold {
                continue;
            }
            let stuck = other.awaiting_head.iter();
            let stuck_count = stuck
                .filter(|h| now.since(h.sent_at) > slow_threshold)
                .count();
            let tally = tallies.entry(other.spec.handle).or_default();
            (0..stuck_count).for_each(|_| tally.count(false));
        }
        let other_count = self.backends.len().saturating_sub(1).max(1);
        let cap = (self.limits.health_evidence * MAX_EVIDENCE_SHARES / other_count as f64)
            .max(MIN_EVIDENCE_CAP);
        let evidence = tallies.values().map(|t| t.health_evidence().min(cap));
        let mut evidence: Vec<f64> = evidence.collect();
        evidence.sort_unstable_by(f64::total_cmp);
        // Fewer than half of the servers may be unhealthy for their own reasons, which is no
        // evidence about the whole service. That many of the worst servers are left out; the
        // suspect itself counts as one of them.
        let minority = evidence.len() / 2;
        let trimmed_count = minority
            .saturating_sub(1)
            .max(usize::from(evidence.len() >= MIN_SERVERS_TO_TRIM));
        let health_evidence: f64 = evidence[trimmed_count..].iter().sum();
        if health_evidence >= self.limits.health_evidence {
            ServiceHealth::Healthy
        } else if health_evidence <= -UNHEALTHY_SERVICE_EVIDENCE {
            ServiceHealth::Unhealthy
        } else {
            ServiceHealth::Unknown
        }
    }

    /// Merges the evidence and the load reported by a peer.
    pub(super) fn merge_evidence(
        &mut self,
        now: time::Time,
        from: instance::Instance,
        digests: Vec<(handle::Server, event::Digest)>,
    ) {
        if from == self.config.instance {
            return;
        }
        let reported_loads: Vec<_> = digests.iter().map(|(s, d)| (*s, d.in_flight)).collect();
        let peer_count = self.peers.instances().len();
        let Some(replaced) = self.peers.record_report(now, from, digests) else {
            return;
        };
        self.subtract_peer_load(&replaced);
        for (server, in_flight) in reported_loads {
            if let Some(index) = self.index_of(server) {
                self.backends[index].load.peer_in_flight += in_flight;
            }
        }
        if self.peers.instances().len() != peer_count {
            self.divide_slots();
        }
    }

    /// Subtracts the load of an outdated report.
    pub(super) fn subtract_peer_load(&mut self, digests: &[(handle::Server, event::Digest)]) {
        for (server, digest) in digests {
            if let Some(index) = self.index_of(*server) {
                let peer_in_flight = &mut self.backends[index].load.peer_in_flight;
                *peer_in_flight = peer_in_flight.saturating_sub(digest.in_flight);
            }
        }
    }

    /// Records the result of a health probe.
    pub(super) fn record_probe(
        &mut self,
        now: time::Time,
        server: handle::Server,
        healthy: bool,
        actions: &mut Vec<action::Action>,
    ) {
        /// Consecutive healthy probes that restore a server when there is no live traffic for
        /// trials.
        const PROBES_TO_RESTORE: u32 = 15;
        let Some(index) = self.index_of(server) else {
            return;
        };
        let bad_ratio = self.expected_bad_ratio(index);
        let backend = &mut self.backends[index];
        backend
            .monitor
            .record_probe(healthy, bad_ratio, &self.limits);
        if backend.monitor.state() != state::State::Ejected {
            self.update_suspicion(now, index);
            return;
        }
        backend.healthy_probes = if healthy {
            backend.healthy_probes + 1
        } else {
            0
        };
        if backend.healthy_probes >= PROBES_TO_RESTORE && backend.monitor.is_trial_due(now) {
            backend.healthy_probes = 0;
            actions.push(action::Action::Restore(server));
        }
    }
}
