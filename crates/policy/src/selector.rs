//! Chooses servers by what was seen of each of them last.
//!
//! For services whose servers turn gray for a few seconds at a time, many at once, and whose
//! floor leaves no room to take them out: no server is ejected. Each attempt goes where it costs
//! the least, as `server::Server::cost` has it: by the chance that it fails, the wait, the way
//! between data centres. Requests that may run again are the scouts: they go where evidence has
//! grown old, and once more elsewhere where they fail. Requests that may not run again go where
//! a success was seen last.
//!
//! Invariants: every request that arrives gets exactly one end, an answered attempt, a refusal or
//! the caller's own departure; no request is sent to more servers than it allows; one that may
//! not run again has at most one attempt whose end is unknown, and none after it.

pub mod belief;
pub mod budget;
mod choice;
mod config;
mod cost;
mod evidence;
mod flight;
mod server;

use std::time::Duration;

use monsooncart_types::{map, time};
use rand::RngExt as _;
use rand::rngs::SmallRng;

use crate::{action, event, handle, inventory, outcome, poison, service};

pub use config::Config;

/// Part of the objective after which a repeatable request is sent to a second server.
const HEDGE: f64 = 0.5;

/// Times the usual time to an answer before which no request is sent to a second server.
const HEDGE_USUAL: f64 = 2.0;

/// Times the usual time to an answer from which an attempt counts as slow.
const SLOW: f64 = 3.0;

/// Share of the objective that an attempt is taken to last before any was seen.
const UNSEEN: f64 = 0.25;

/// When a refused caller is to come back, in times of the usual time to an answer.
const COME_BACK: f64 = 1.0;

/// Shortest and longest time to come back in.
const COME_BACK_BOUNDS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

/// A request without an end.
#[derive(Clone, Debug)]
struct Pending {
    arrival: event::Arrival,
    attempts: Vec<handle::Attempt>,
    tried: Vec<handle::Server>,
    unknown: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
struct Report {
    end: outcome::Outcome,
    replayable: bool,
    retry_after: Option<Duration>,
}

/// Decides about one service.
pub struct Selector {
    config: Config,
    rng: SmallRng,
    servers: Vec<server::Server>,
    places: map::Map<handle::Server, usize>,
    requests: map::Map<handle::Request, Pending>,
    flights: map::Map<handle::Attempt, flight::Flight>,
    attempts: u64,
    budget: budget::Budget,
    poison: poison::Detector,
    /// Running mean of the time to an answer.
    usual: Option<Duration>,
    /// Time within which the service's answers are worth the most.
    promise: Duration,
    daemons: u32,
}

impl service::Policy for Selector {
    fn handle(&mut self, now: time::Time, event: event::Event, actions: &mut Vec<action::Action>) {
        match event {
            event::Event::Inventory(inventory) => self.inventory(now, inventory),
            event::Event::Arrive(arrival) => self.arrive(now, arrival, actions),
            event::Event::CancelRequest(request) => self.withdraw(request, actions),
            event::Event::Finish {
                attempt,
                outcome: end,
                replayable,
                retry_after,
            } => {
                let report = Report {
                    end,
                    replayable,
                    retry_after,
                };
                self.finish(now, attempt, report, actions);
            }
            event::Event::Leaving(server) => {
                if let Some(server) = self.server(server) {
                    server.left = true;
                }
            }
            event::Event::Evidence { from, digests } => {
                if from != self.config.instance {
                    self.hear(now, from, &digests, actions);
                }
            }
            event::Event::CrashReport {
                fingerprint,
                server,
            } => self.blame(now, fingerprint, server, actions),
            event::Event::Quarantine {
                fingerprint,
                expires_at: until,
            } => {
                self.poison.quarantine(fingerprint, until);
            }
            event::Event::Tick => self.tick(now, actions),
            event::Event::ResponseHead { .. }
            | event::Event::Probe { .. }
            | event::Event::Ejection { .. } => {}
        }
    }

    fn is_idle(&self) -> bool {
        self.flights.is_empty()
    }

    fn digest(&mut self, _now: time::Time) -> Vec<(handle::Server, event::Digest)> {
        let changed = self.servers.iter_mut();
        changed.filter_map(server::Server::digest).collect()
    }

    fn view(&self, now: time::Time) -> Vec<service::View> {
        self.servers.iter().map(|s| s.view(now)).collect()
    }
}

impl Selector {
    fn server(&mut self, server: handle::Server) -> Option<&mut server::Server> {
        let place = *self.places.get(&server)?;
        self.servers.get_mut(place)
    }

    /// Takes a configuration; what is known of a run of a server stays.
    fn inventory(&mut self, now: time::Time, inventory: inventory::Inventory) {
        self.promise = inventory.latency_objective;
        self.daemons = inventory.daemons.max(1);
        let mut old: map::Map<_, _> = self
            .servers
            .drain(..)
            .map(|server| (server.spec.handle, server))
            .collect();
        for spec in inventory.servers {
            let held = old.remove(&spec.handle);
            self.servers.push(match held {
                Some(held) => held.respecified(now, spec),
                None => server::Server::new(now, spec),
            });
        }
        let places = self.servers.iter().enumerate();
        self.places = places.map(|(i, s)| (s.spec.handle, i)).collect();
    }

    fn arrive(
        &mut self,
        now: time::Time,
        arrival: event::Arrival,
        actions: &mut Vec<action::Action>,
    ) {
        let request = arrival.request;
        if self.requests.contains_key(&request) {
            return;
        }
        self.budget.arrived(now);
        let quarantined = |f| self.poison.quarantined_until(now, f);
        if let Some(until) = arrival.fingerprint.and_then(quarantined) {
            let refusal = outcome::Refusal {
                reason: outcome::Reason::Poison,
                execution: outcome::Execution::NotRun,
                retry_after: Some(until.since(now)),
            };
            actions.push(action::Action::Refuse { request, refusal });
            return;
        }
        let pending = Pending {
            arrival,
            attempts: Vec::new(),
            tried: Vec::new(),
            unknown: false,
        };
        let target = self.choose(now, &pending);
        self.requests.insert(request, pending);
        match target {
            Some(target) => self.send(now, request, target, actions),
            None => {
                let reason = self.lack();
                self.refuse(request, reason, actions);
            }
        }
    }

    /// Why no server was found for a request.
    fn lack(&self) -> outcome::Reason {
        if self.servers.iter().all(server::Server::is_out) {
            outcome::Reason::NoServer
        } else {
            outcome::Reason::Overload
        }
    }

    fn withdraw(&mut self, request: handle::Request, actions: &mut Vec<action::Action>) {
        if let Some(pending) = self.requests.remove(&request) {
            self.cancel(&pending.attempts, actions);
        }
    }

    fn cancel(&mut self, attempts: &[handle::Attempt], actions: &mut Vec<action::Action>) {
        for attempt in attempts {
            if let Some(flight) = self.flights.get_mut(attempt) {
                flight.cancelled = true;
                actions.push(action::Action::Cancel(*attempt));
            }
        }
    }

    /// Time that an attempt usually takes to its answer.
    fn usual(&self) -> Duration {
        self.usual.unwrap_or(self.promise.mul_f64(UNSEEN))
    }

    fn send(
        &mut self,
        now: time::Time,
        request: handle::Request,
        place: usize,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        self.attempts += 1;
        let attempt = handle::Attempt(self.attempts);
        let target = &mut self.servers[place];
        let server = target.spec.handle;
        let grounds = target.grounds(now);
        target.sent(now);
        pending.attempts.push(attempt);
        pending.tried.push(server);
        let flight = flight::Flight {
            request,
            server,
            started_millis: target.spec.started_millis,
            sent: now,
            slow: false,
            cancelled: false,
            fingerprint: pending.arrival.fingerprint,
        };
        self.flights.insert(attempt, flight);
        actions.push(action::Action::Send {
            request,
            attempt,
            server,
            fresh_connection: !pending.arrival.repeatable,
            grounds,
        });
    }

    fn refuse(
        &mut self,
        request: handle::Request,
        reason: outcome::Reason,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.remove(&request) else {
            return;
        };
        let run = if pending.unknown || !pending.attempts.is_empty() {
            outcome::Execution::Unknown
        } else {
            outcome::Execution::NotRun
        };
        self.cancel(&pending.attempts, actions);
        let jitter: f64 = self.rng.random();
        let [least, most] = COME_BACK_BOUNDS;
        let back = self.usual().mul_f64(COME_BACK * (0.5 + jitter));
        let refusal = outcome::Refusal {
            reason,
            execution: run,
            retry_after: Some(back.clamp(least, most)),
        };
        actions.push(action::Action::Refuse { request, refusal });
    }

    fn finish(
        &mut self,
        now: time::Time,
        attempt: handle::Attempt,
        report: Report,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(flight) = self.flights.remove(&attempt) else {
            return;
        };
        self.learn(now, &flight, &report, actions);
        if flight.cancelled {
            return;
        }
        let Some(pending) = self.requests.get_mut(&flight.request) else {
            return;
        };
        pending.attempts.retain(|&a| a != attempt);
        pending.unknown |= report.end.execution() == outcome::Execution::Unknown;
        if let outcome::Outcome::Answered(_) | outcome::Outcome::Cancelled = report.end {
            let others = std::mem::take(&mut pending.attempts);
            self.requests.remove(&flight.request);
            self.cancel(&others, actions);
            return;
        }
        if !pending.attempts.is_empty() {
            return;
        }
        self.again(now, &flight, &report, actions);
    }

    /// Sends a request once more where it may, and ends it elsewhere.
    fn again(
        &mut self,
        now: time::Time,
        flight: &flight::Flight,
        report: &Report,
        actions: &mut Vec<action::Action>,
    ) {
        let request = flight.request;
        let Some(pending) = self.requests.get(&request).cloned() else {
            return;
        };
        let arrival = pending.arrival;
        let quarantined = |f| self.poison.quarantined_until(now, f).is_some();
        let poisonous = flight.fingerprint.is_some_and(quarantined);
        let may = report.replayable
            && (arrival.repeatable || !pending.unknown)
            && !poisonous
            && now < arrival.deadline;
        // An attempt that reached no server adds no work.
        let free = report.end == outcome::Outcome::Unsent;
        let target = if may && (free || self.budget.affords(now, self.daemons)) {
            self.choose(now, &pending)
        } else {
            None
        };
        if let Some(target) = target {
            if !free {
                self.budget.spend(now);
            }
            self.send(now, request, target, actions);
            return;
        }
        let reason = match report.end {
            _ if poisonous => outcome::Reason::Poison,
            outcome::Outcome::Timeout => outcome::Reason::Timeout,
            _ if pending.unknown && !arrival.repeatable => outcome::Reason::Unknown,
            outcome::Outcome::Shed { .. } => outcome::Reason::Overload,
            // Nothing was run: the caller is told so, and when to come back.
            _ if !pending.unknown => outcome::Reason::NoServer,
            _ => outcome::Reason::Exhausted,
        };
        self.refuse(request, reason, actions);
    }

    /// Looks at the attempts that wait for their answers.
    fn tick(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if !self.poison.is_empty() {
            self.poison.expire(now);
        }
        let slow = self.usual().mul_f64(SLOW);
        let mut waiting = Vec::new();
        for (attempt, flight) in &mut self.flights {
            let age = now.since(flight.sent);
            if age >= slow && !flight.slow && !flight.cancelled {
                flight.slow = true;
                if let Some(place) = self.places.get(&flight.server) {
                    self.servers[*place].slow(now);
                }
            }
            waiting.push((*attempt, flight.request, age));
        }
        for (_, request, age) in waiting {
            self.hedge(now, request, age, actions);
        }
    }

    /// Sends a second attempt of a repeatable request that waits too long for its answer.
    fn hedge(
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
        let blamed = |f| self.poison.is_suspected(f);
        let due = self.objective(arrival).mul_f64(HEDGE);
        let due = due.max(self.usual().mul_f64(HEDGE_USUAL));
        let may = arrival.repeatable
            && pending.attempts.len() == 1
            && age >= due
            && now < arrival.deadline
            && !arrival.fingerprint.is_some_and(blamed);
        if !may || !self.budget.affords(now, self.daemons) {
            return;
        }
        let pending = pending.clone();
        if let Some(target) = self.choose(now, &pending) {
            self.budget.spend(now);
            self.send(now, request, target, actions);
        }
    }
}
