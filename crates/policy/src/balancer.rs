//! Load balancing, retries and outlier ejection for one service.
//!
//! [`Balancer`] combines the parts: [`slots`] selects servers, [`queue`] holds waiting requests,
//! [`crate::health`] detects unhealthy servers, [`crate::connections`] detects stale connections,
//! [`retry`] bounds the added load and [`poison`] quarantines requests that crash servers.
//!
//! Invariants: every request has exactly one result, which is an answered attempt, a refusal or the
//! disconnection of its caller; no attempt follows a refusal; an unrepeatable request has at most
//! one attempt that may have been executed; a server never has more of this daemon's attempts in
//! flight than it has slots.

mod backend;
mod config;
mod dispatch;
mod evidence;
mod finish;
mod in_flight;
mod maintenance;
mod pending;

use std::time::Duration;

use monsooncart_types::{map, time};
use rand::rngs::SmallRng;

use crate::health::{baseline, limits, peers, state, tally};
use crate::{action, event, handle, inventory, poison, queue, retry, service, slots};

pub use config::Config;

/// The [`service::Policy`] of one service.
pub struct Balancer {
    config: Config,
    rng: SmallRng,
    backends: Vec<backend::Backend>,
    indices: map::Map<handle::Server, usize>,
    requests: map::Map<handle::Request, pending::Request>,
    in_flight: map::Map<handle::Attempt, in_flight::Attempt>,
    attempts_sent: u64,
    queue: queue::Queue,
    budget: retry::Budget,
    poison: poison::Detector,
    peers: peers::Peers,
    baseline: baseline::Baseline,
    /// Decaying counts of the observations of all servers.
    tally: tally::Tally,
    limits: limits::Limits,
    /// Time to the response head that the service aims for.
    latency_objective: Duration,
    daemons: u32,
    /// When a request was last taken from the queue or added to an empty queue.
    last_dequeue_at: time::Time,
    /// Running mean of the time that an attempt occupies a slot.
    mean_slot_time: Option<Duration>,
    /// Running mean of the time to the response head.
    mean_head_time: Option<Duration>,
    /// Whether some server may need exploration requests or work on a tick.
    needs_maintenance: bool,
    /// Recent ratio of bad observations at the median server.
    median_bad_ratio: f64,
    last_comparison_at: time::Time,
    last_rotation_at: time::Time,
    last_decay_at: time::Time,
    /// Whether a configuration was applied; servers that are added later ramp up.
    configured: bool,
}

impl service::Policy for Balancer {
    fn handle(&mut self, now: time::Time, event: event::Event, actions: &mut Vec<action::Action>) {
        match event {
            event::Event::Inventory(inventory) => self.apply_inventory(now, inventory, actions),
            event::Event::Arrive(arrival) => self.admit(now, arrival, actions),
            event::Event::Identified {
                request,
                fingerprint,
            } => self.identify(now, request, fingerprint, actions),
            event::Event::CancelRequest(request) => self.cancel_request(request, actions),
            event::Event::ResponseHead { attempt, status } => {
                self.record_head(now, attempt, status, actions);
            }
            event::Event::BodyTaken(attempt) => {
                let request = self.in_flight.get(&attempt).map(|sent| sent.request);
                if let Some(pending) = request.and_then(|r| self.requests.get_mut(&r)) {
                    pending.body_holder = Some(attempt);
                }
            }
            event::Event::Finish {
                attempt,
                outcome,
                replayable,
                retry_after,
            } => {
                let completion = finish::Completion {
                    outcome,
                    replayable,
                    retry_after,
                };
                self.record_completion(now, attempt, completion, actions);
            }
            event::Event::Probe { server, healthy } => {
                self.record_probe(now, server, healthy, actions);
            }
            event::Event::Ejection { server, ejection } => {
                self.record_ejection(now, server, ejection, actions);
            }
            event::Event::Leaving(server) => self.record_leaving(now, server, actions),
            event::Event::Evidence { from, digests } => self.merge_evidence(now, from, digests),
            event::Event::CrashReport { fingerprint, run } => {
                self.record_crash_report(now, fingerprint, run, actions);
            }
            event::Event::Quarantine {
                fingerprint,
                expires_at,
            } => {
                self.poison.quarantine(now, fingerprint, expires_at);
            }
            event::Event::Acquittal(fingerprint) => {
                self.poison.record_acquittal(now, fingerprint);
            }
            event::Event::Tick => self.tick(now, actions),
            // The servers of this policy's deployments announce neither. Their retry delay arrives with
            // the result of the attempt.
            event::Event::RateLimit { .. }
            | event::Event::PeerRateLimit { .. }
            | event::Event::RetryAfter { .. } => {}
            // This policy has no belief about the path apart from the servers.
            event::Event::Responded { .. }
            | event::Event::CrashProbe { .. }
            | event::Event::PathProbe { .. }
            | event::Event::PeerPathLost => {}
        }
    }

    fn is_suspected(&self, fingerprint: handle::Fingerprint) -> bool {
        self.poison.is_suspected(fingerprint)
    }

    fn is_quarantined(&self, now: time::Time, fingerprint: handle::Fingerprint) -> bool {
        self.poison.quarantined_until(now, fingerprint).is_some()
    }

    fn digest(&mut self, now: time::Time) -> Vec<(handle::Server, event::Digest)> {
        let digest = |b: &backend::Backend| b.digest(now, &self.limits);
        let digests = self.backends.iter().map(|b| (b.spec.handle, digest(b)));
        digests
            .filter(|(_, d)| !backend::is_empty_digest(d))
            .collect()
    }

    fn view(&self, now: time::Time) -> Vec<service::View> {
        let view = |b: &backend::Backend| b.view(now, &self.limits);
        self.backends.iter().map(view).collect()
    }
}

impl Balancer {
    /// Records the fingerprint of a request that was sent by that of its head.
    fn identify(
        &mut self,
        now: time::Time,
        request: handle::Request,
        fingerprint: handle::Fingerprint,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.arrival.fingerprint = Some(fingerprint);
        }
        for attempt in self.in_flight.values_mut() {
            if attempt.request == request {
                attempt.fingerprint = Some(fingerprint);
            }
        }
        self.judge_suspect(now, fingerprint, actions);
    }

    fn index_of(&self, server: handle::Server) -> Option<usize> {
        self.indices.get(&server).copied()
    }

    /// Applies a configuration; the state of a server is kept as long as its handle is listed.
    fn apply_inventory(
        &mut self,
        now: time::Time,
        inventory: inventory::Inventory,
        actions: &mut Vec<action::Action>,
    ) {
        self.limits = inventory.sensitivity.into();
        self.latency_objective = inventory.latency_objective;
        self.daemons = u32::try_from(inventory.daemons.len())
            .unwrap_or(u32::MAX)
            .max(1);
        let mut known: map::Map<_, _> = std::mem::take(&mut self.backends)
            .into_iter()
            .map(|b| (b.spec.handle, b))
            .collect();
        for spec in inventory.servers {
            let backend = match known.remove(&spec.handle) {
                Some(mut backend) => {
                    backend.update_spec(spec);
                    backend
                }
                None => backend::Backend::new(spec, self.configured.then_some(now)),
            };
            self.backends.push(backend);
        }
        self.configured = true;
        self.needs_maintenance = true;
        let entries = self.backends.iter().enumerate();
        self.indices = entries.map(|(i, b)| (b.spec.handle, i)).collect();
        self.divide_slots();
        self.refuse_unservable(now, actions);
        self.dispatch_queued(now, actions);
    }

    /// Divides the slots between the daemons that share them.
    fn divide_slots(&mut self) {
        if self.config.strategy != slots::Strategy::DividedSlots {
            return;
        }
        let peers = self.peers.instances();
        let known_daemons = peers.len() as u32 + 1;
        let unknown_peers = self.daemons.saturating_sub(known_daemons);
        for backend in &mut self.backends {
            backend.load.owned_slots = slots::division::owned_slots(
                self.config.instance,
                &peers,
                unknown_peers,
                &backend.spec.name,
                backend.spec.slots,
            );
        }
    }

    /// Records that a server is leaving, which is permanent.
    fn record_leaving(
        &mut self,
        now: time::Time,
        server: handle::Server,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(index) = self.index_of(server) {
            self.backends[index].announced_leaving = true;
            self.refuse_unservable(now, actions);
            self.dispatch_queued(now, actions);
        }
    }

    fn record_ejection(
        &mut self,
        now: time::Time,
        server: handle::Server,
        ejection: event::Ejection,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(index) = self.index_of(server) else {
            return;
        };
        self.needs_maintenance = true;
        let jitter = self.jitter();
        let backend = &mut self.backends[index];
        match ejection {
            event::Ejection::Granted => {
                backend.monitor.eject(now, jitter);
                backend.healthy_probes = 0;
            }
            event::Ejection::Denied => {
                if backend.monitor.state() == state::State::Suspect {
                    backend.monitor.record_denial(now);
                }
            }
            event::Ejection::Restored => {
                backend.monitor.restore(now);
                backend.load.ramp_started_at = Some(now);
                backend.suspicion = 0.0;
            }
        }
        self.refuse_unservable(now, actions);
        self.dispatch_queued(now, actions);
    }
}
