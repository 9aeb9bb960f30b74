//! What the passing of time brings.

use std::time::Duration;

use monsooncart_types::time;

use crate::balancer::evidence::YOUNG;
use crate::balancer::{Balancer, backend};
use crate::health::state;
use crate::{action, handle, outcome};

/// Interval of the counters that peers are told.
const ROTATION: Duration = Duration::from_millis(250);

/// Interval at which old evidence is scaled down.
const DECAY: Duration = Duration::from_secs(1);

/// Factor by which it is.
const DECAY_FACTOR: f64 = 0.93;

/// Interval of the probes of a server that gets little work.
const PROBE: Duration = Duration::from_secs(2);

impl Balancer {
    pub(super) fn tick(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        self.rotate(now);
        let expired = self.peers.expire(now);
        if !expired.is_empty() {
            self.forget_load(&expired);
            self.divide();
        }
        if !self.poison.is_empty() {
            self.poison.expire(now);
        }
        if !self.uneasy && self.flights.is_empty() && self.queue.is_empty() {
            return;
        }
        self.uneasy = false;
        self.compare(now);
        for at in 0..self.backends.len() {
            self.inspect(now, at, actions);
        }
        self.sweep(now, actions);
        self.pump(now, actions);
    }

    /// Ages the counts.
    fn rotate(&mut self, now: time::Time) {
        if now.since(self.rotated) >= ROTATION {
            self.rotated = now;
            for backend in &mut self.backends {
                backend.monitor.rotate();
            }
        }
        if now.since(self.decayed) < DECAY {
            return;
        }
        self.decayed = now;
        self.tally = crate::health::tally::Tally::default();
        for backend in &mut self.backends {
            backend.monitor.decay(DECAY_FACTOR);
            self.tally.merge(&backend.monitor.tally);
        }
    }

    /// Brings one server up to date.
    fn inspect(&mut self, now: time::Time, at: usize, actions: &mut Vec<action::Action>) {
        let backend = &mut self.backends[at];
        if backend.load.ramp.is_some() {
            self.uneasy = true;
            if !backend.load.growing(now) {
                backend.load.ramp = None;
                backend.monitor.finish_return();
            }
        }
        let aged = backend.oldest(now) >= YOUNG;
        if aged || backend.suspicion > 0.0 || backend.monitor.score() > 0.0 {
            self.uneasy = true;
            self.judge_connections(now, at, actions);
            self.evaluate(now, at, actions);
        }
        if aged {
            self.hedge_stuck(now, at, actions);
        }
        let limits = self.limits;
        let backend = &mut self.backends[at];
        match backend.monitor.state() {
            state::State::Suspect => {
                self.uneasy = true;
                if backend.suspicion < limits.suspect_threshold() {
                    backend.monitor.clear_suspect();
                }
            }
            state::State::Ejected => self.uneasy = true,
            state::State::Active | state::State::Returning => return,
        }
        self.probe(now, at, actions);
    }

    /// Asks the health endpoint of a server that gets little work.
    fn probe(&mut self, now: time::Time, at: usize, actions: &mut Vec<action::Action>) {
        let backend = &mut self.backends[at];
        if backend.leaving() || now.since(backend.probed) < PROBE {
            return;
        }
        backend.probed = now;
        actions.push(action::Action::Probe(backend.spec.handle));
    }

    /// Hedges the repeatable requests that wait too long at a server.
    fn hedge_stuck(&mut self, now: time::Time, at: usize, actions: &mut Vec<action::Action>) {
        let backend = &self.backends[at];
        let limit = self.limit(backend);
        let stuck: Vec<handle::Request> = backend
            .headless
            .iter()
            .take_while(|h| now.since(h.sent) >= limit)
            .filter_map(|h| self.flights.get(&h.attempt))
            .filter(|f| !f.cancelled)
            .map(|f| f.request)
            .collect();
        for request in stuck {
            if !self.may_hedge(now, request) {
                continue;
            }
            if !self.budget.hedge() {
                return;
            }
            if !self.hedge(now, request, actions) {
                self.budget.give_back();
            }
        }
    }

    fn may_hedge(&self, now: time::Time, request: handle::Request) -> bool {
        let Some(pending) = self.requests.get(&request) else {
            return false;
        };
        let arrival = pending.arrival;
        let blamed = |f| self.poison.is_suspected(f);
        arrival.repeatable
            && !pending.hedged
            && !pending.headed
            && !arrival.fingerprint.is_some_and(blamed)
            && now + self.head_time() <= arrival.deadline
    }

    /// Refuses what can no longer make its deadline or finds no server.
    pub(super) fn sweep(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if self.queue.is_empty() {
            return;
        }
        let pace = self.pace(now);
        for request in self.queue.sweep(now, &pace) {
            self.refuse(now, request, outcome::Reason::Overload, actions);
        }
        let out = self.best_standing(&[]) == backend::Standing::Out;
        let lost: Vec<_> = self
            .queue
            .requests()
            .filter(|r| out || self.tried_all(*r))
            .collect();
        for request in lost {
            self.refuse(now, request, outcome::Reason::NoServer, actions);
        }
    }

    /// Whether no server is left for a request that was sent before.
    fn tried_all(&self, request: handle::Request) -> bool {
        let tried = self.requests.get(&request).map(|p| &p.tried);
        tried.is_some_and(|tried| {
            !tried.is_empty() && self.best_standing(tried) == backend::Standing::Out
        })
    }
}
