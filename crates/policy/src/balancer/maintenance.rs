//! Periodic work: decay of evidence, probes, hedges and refusals of late requests.

use std::time::Duration;

use monsooncart_types::time;

use crate::balancer::evidence::MIN_STUCK_AGE;
use crate::balancer::{Balancer, backend};
use crate::health::state;
use crate::{action, handle, outcome};

/// Interval of the counters that are reported to peers.
const ROTATION_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which evidence decays.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);

/// Factor by which evidence decays in each [`DECAY_INTERVAL`].
const DECAY_FACTOR: f64 = 0.93;

/// Interval of health probes to a suspect or ejected server.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

impl Balancer {
    pub(super) fn tick(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        self.age_counters(now);
        let expired = self.peers.expire(now);
        if !expired.is_empty() {
            self.subtract_peer_load(&expired);
            self.divide_slots();
        }
        if !self.poison.is_empty() {
            self.poison.expire(now);
        }
        if !self.needs_maintenance && self.in_flight.is_empty() && self.queue.is_empty() {
            return;
        }
        self.needs_maintenance = false;
        self.compare_servers(now);
        for index in 0..self.backends.len() {
            self.maintain_server(now, index, actions);
        }
        self.refuse_unservable(now, actions);
        self.dispatch_queued(now, actions);
    }

    /// Rotates the counters and decays the evidence of all servers.
    fn age_counters(&mut self, now: time::Time) {
        if now.since(self.last_rotation_at) >= ROTATION_INTERVAL {
            self.last_rotation_at = now;
            for backend in &mut self.backends {
                backend.monitor.rotate();
            }
        }
        if now.since(self.last_decay_at) < DECAY_INTERVAL {
            return;
        }
        self.last_decay_at = now;
        self.tally = crate::health::tally::Tally::default();
        for backend in &mut self.backends {
            backend.monitor.decay(DECAY_FACTOR);
            self.tally.merge(&backend.monitor.tally);
        }
    }

    /// Runs the periodic work for one server.
    fn maintain_server(
        &mut self,
        now: time::Time,
        index: usize,
        actions: &mut Vec<action::Action>,
    ) {
        let backend = &mut self.backends[index];
        if backend.load.ramp_started_at.is_some() {
            self.needs_maintenance = true;
            if !backend.load.is_ramping(now) {
                backend.load.ramp_started_at = None;
                backend.monitor.finish_return();
            }
        }
        let may_be_stuck = backend.oldest_awaiting_age(now) >= MIN_STUCK_AGE;
        if may_be_stuck || backend.suspicion > 0.0 || backend.monitor.score() > 0.0 {
            self.needs_maintenance = true;
            self.check_connections(now, index, actions);
            self.evaluate_ejection(now, index, actions);
        }
        if may_be_stuck {
            self.hedge_stuck(now, index, actions);
        }
        let limits = self.limits;
        let backend = &mut self.backends[index];
        match backend.monitor.state() {
            state::State::Suspect => {
                self.needs_maintenance = true;
                if backend.suspicion < limits.suspect_threshold() {
                    backend.monitor.clear_suspect();
                }
            }
            state::State::Ejected => self.needs_maintenance = true,
            state::State::Active | state::State::Returning => return,
        }
        self.probe_if_due(now, index, actions);
    }

    /// Probes the health endpoint of a server if a probe is due.
    fn probe_if_due(&mut self, now: time::Time, index: usize, actions: &mut Vec<action::Action>) {
        let backend = &mut self.backends[index];
        if backend.is_leaving() || now.since(backend.last_probe_at) < PROBE_INTERVAL {
            return;
        }
        backend.last_probe_at = now;
        actions.push(action::Action::Probe(backend.spec.handle));
    }

    /// Hedges the repeatable requests whose attempts at a server exceed the slow threshold.
    fn hedge_stuck(&mut self, now: time::Time, index: usize, actions: &mut Vec<action::Action>) {
        let backend = &self.backends[index];
        let slow_threshold = self.slow_threshold(backend);
        let stuck: Vec<handle::Request> = backend
            .awaiting_head
            .iter()
            .take_while(|h| now.since(h.sent_at) >= slow_threshold)
            .filter_map(|h| self.in_flight.get(&h.attempt))
            .filter(|f| !f.cancelled)
            .map(|f| f.request)
            .collect();
        for request in stuck {
            if !self.may_hedge(now, request) {
                continue;
            }
            if !self.budget.withdraw_hedge() {
                return;
            }
            if !self.hedge(now, request, actions) {
                self.budget.refund();
            }
        }
    }

    fn may_hedge(&self, now: time::Time, request: handle::Request) -> bool {
        let Some(pending) = self.requests.get(&request) else {
            return false;
        };
        let arrival = pending.arrival;
        let suspected = |f| self.poison.is_suspected(f);
        arrival.repeatable
            && !pending.hedged
            && pending.body_holder.is_none()
            && !pending.has_head
            && !arrival.fingerprint.is_some_and(suspected)
            && now + self.expected_head_time() <= arrival.deadline
    }

    /// Refuses queued requests that cannot meet their deadlines or have no server left.
    pub(super) fn refuse_unservable(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if self.queue.is_empty() {
            return;
        }
        let pace = self.queue_pace(now);
        for request in self.queue.remove_late(now, &pace) {
            self.refuse(now, request, outcome::Reason::Overload, actions);
        }
        let none_available = self.best_availability(&[]) == backend::Availability::Unavailable;
        let unservable: Vec<_> = self
            .queue
            .requests()
            .filter(|r| none_available || self.tried_all_available(*r))
            .collect();
        for request in unservable {
            self.refuse(now, request, outcome::Reason::NoServer, actions);
        }
    }

    /// Whether a request was sent before and no untried server is available for it.
    fn tried_all_available(&self, request: handle::Request) -> bool {
        let tried_servers = self.requests.get(&request).map(|p| &p.tried_servers);
        tried_servers.is_some_and(|tried_servers| {
            !tried_servers.is_empty()
                && self.best_availability(tried_servers) == backend::Availability::Unavailable
        })
    }
}
