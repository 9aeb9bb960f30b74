//! Selects servers by expected cost, based on the latest observations of each server.
//!
//! This policy is for services in which many servers have gray failures of a few seconds at the
//! same time, and whose floor on capacity leaves no room for ejections: no server is ejected. Each
//! attempt goes to the server with the lowest cost, which combines the probability of failure,
//! queueing and the distance between data centres (`server::Server::cost`). Repeatable requests
//! also serve as exploration: they go to servers whose evidence is old, and are retried elsewhere
//! if they fail. Unrepeatable requests go to servers with a recent success.
//!
//! Invariants: every request that arrives has exactly one result, which is an answered attempt, a
//! refusal or the disconnection of its caller; no request is sent to more servers than it allows;
//! an unrepeatable request has at most one attempt that may have been executed, and none after it.

mod activity;
mod admission;
pub mod belief;
pub mod budget;
mod choice;
mod completion;
mod config;
mod cost;
mod coverage;
mod crash;
mod evidence;
mod explain;
mod in_flight;
mod path_loss;
mod peer_use;
mod pending;
pub mod rate_limit;
mod relay;
mod remote_window;
pub mod report;
mod retry;
mod server;

use std::time::Duration;

use monsooncart_types::{map, time};
use rand::RngExt as _;
use rand::rngs::SmallRng;

use crate::{action, event, handle, inventory, outcome, path, poison, service, waiting};

pub use config::Config;

/// Time from which an attempt counts as slow, as a multiple of the typical latency.
const SLOW_RATIO: f64 = 3.0;

/// Typical latency before the first response, as a fraction of the latency objective.
const INITIAL_LATENCY_RATIO: f64 = 0.25;

/// Mean retry delay of a refused caller, as a multiple of the typical latency.
const RETRY_AFTER_RATIO: f64 = 1.0;

/// Minimum and maximum retry delay of a refused caller.
const RETRY_AFTER_BOUNDS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(2)];

/// Time for which a server that was removed from the configuration is remembered.
const REMOVED_SERVER_RETENTION: Duration = Duration::from_secs(60);

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
struct Completion {
    outcome: outcome::Outcome,
    replayable: bool,
    retry_after: Option<Duration>,
}

/// Policy for one service that selects servers by expected cost.
pub struct Selector {
    config: Config,
    rng: SmallRng,
    servers: Vec<server::Server>,
    indices: map::Map<handle::Server, usize>,
    requests: map::Map<handle::Request, pending::Request>,
    in_flight: map::Map<handle::Attempt, in_flight::Attempt>,
    attempts_sent: u64,
    budget: budget::Budget,
    /// Whether requests wait for room.
    waits: bool,
    queue: waiting::Queue,
    /// Running mean of the time to a complete response of attempts that found a free slot, by route.
    work_by_route: map::Map<handle::Route, Duration>,
    poison: poison::Detector,
    crashes: crash::Suspicions,
    /// Running mean of the time to a complete response; `None` before the first one.
    mean_latency: Option<Duration>,
    /// Running mean of the time to a complete response of attempts that found a free slot; `None`
    /// before the first one.
    mean_service_time: Option<Duration>,
    latency_objective: Duration,
    fleet: rate_limit::Fleet,
    path: path::Path,
    relays: relay::Relays,
    remote_window: remote_window::RemoteWindow,
    heard: peer_use::Heard,
    /// When a server responded last.
    last_response_at: time::Time,
    /// Servers that were removed from the configuration, with the time of their removal. What they
    /// asked for stays in force if the same run returns.
    removed_servers: map::Map<handle::Server, (time::Time, server::Server)>,
}

impl service::Policy for Selector {
    fn handle(&mut self, now: time::Time, event: event::Event, actions: &mut Vec<action::Action>) {
        self.apply(now, event, actions);
        self.serve_queue(now, actions);
    }

    fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
            && self.queue.is_empty()
            && self.relays.is_idle()
            && !self.path.is_lost()
            && self.crashes.is_empty()
    }

    fn is_suspected(&self, fingerprint: handle::Fingerprint) -> bool {
        self.poison.is_suspected(fingerprint) || self.crashes.contains(fingerprint)
    }

    fn is_quarantined(&self, now: time::Time, fingerprint: handle::Fingerprint) -> bool {
        self.poison.quarantined_until(now, fingerprint).is_some()
    }

    fn digest(&mut self, _now: time::Time) -> Vec<(handle::Server, event::Digest)> {
        let servers = self.servers.iter_mut();
        servers.filter_map(server::Server::take_digest).collect()
    }

    fn explain(&self, now: time::Time, arrival: event::Arrival) -> Option<service::Explanation> {
        Some(self.explain_arrival(now, arrival))
    }

    fn view(&self, now: time::Time) -> Vec<service::View> {
        self.servers.iter().map(|s| s.view(now)).collect()
    }
}

impl Selector {
    fn apply(&mut self, now: time::Time, event: event::Event, actions: &mut Vec<action::Action>) {
        match event {
            event::Event::Inventory(inventory) => self.apply_inventory(now, inventory, actions),
            event::Event::Arrive(arrival) => self.admit(now, arrival, actions),
            event::Event::Identified {
                request,
                fingerprint,
            } => self.identify(now, request, fingerprint, actions),
            event::Event::CancelRequest(request) => self.cancel_request(request, actions),
            event::Event::Finish {
                attempt,
                outcome,
                replayable,
                retry_after,
            } => {
                let completion = Completion {
                    outcome,
                    replayable,
                    retry_after,
                };
                self.record_completion(now, attempt, completion, actions);
            }
            event::Event::BodyTaken(attempt) => self.record_body_taken(attempt),
            event::Event::Responded {
                attempt,
                connected_at,
            } => self.record_response(now, attempt, connected_at, actions),
            event::Event::PathProbe {
                sent_at,
                responded: true,
                ..
            } => self.record_path(now, sent_at, actions),
            event::Event::PathProbe {
                server,
                sent_at,
                responded: false,
            } => self.record_failed_probe(now, server, sent_at, actions),
            event::Event::PeerPathLost => self.check_own_path(now, actions),
            event::Event::Leaving(server) => {
                if let Some(server) = self.server_mut(server) {
                    server.announced_leaving = true;
                }
            }
            event::Event::RateLimit { attempt, limit } => {
                self.record_rate_limit(now, attempt, limit, actions);
            }
            event::Event::RetryAfter { attempt, delay } => {
                self.record_retry_after(now, attempt, delay);
            }
            event::Event::PeerRateLimit {
                server,
                started_millis,
                limit,
            } => self.merge_rate_limit(now, server, started_millis, limit),
            event::Event::Evidence { from, digests } => {
                if from != self.config.instance {
                    self.merge_evidence(now, from, &digests, actions);
                }
            }
            event::Event::CrashReport { fingerprint, run } => {
                self.record_crash_report(now, fingerprint, run);
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
            event::Event::CrashProbe {
                server,
                sent_at,
                responded,
            } => self.record_crash_probe(now, server, sent_at, responded, actions),
            event::Event::Tick => self.tick(now, actions),
            event::Event::ResponseHead { attempt, .. } => self.relays.record_head(now, attempt),
            event::Event::Probe { .. } | event::Event::Ejection { .. } => {}
        }
    }

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

    fn server_mut(&mut self, server: handle::Server) -> Option<&mut server::Server> {
        let index = *self.indices.get(&server)?;
        self.servers.get_mut(index)
    }

    /// Applies a new configuration; evidence about a server is kept until the server restarts.
    fn apply_inventory(
        &mut self,
        now: time::Time,
        inventory: inventory::Inventory,
        actions: &mut Vec<action::Action>,
    ) {
        self.latency_objective = inventory.latency_objective;
        self.fleet.daemons = inventory.daemons;
        let is_member = self.fleet.daemons.is_empty() || self.fleet.is_member();
        let daemons = self.daemon_count();
        self.budget.set_daemons(now, daemons, is_member);
        self.poison.set_daemons(daemons);
        self.fleet.unix_origin = inventory.unix_origin;
        self.relays.configure(inventory.relays);
        let mut old: map::Map<_, _> = self
            .servers
            .drain(..)
            .map(|server| (server.spec.handle, server))
            .collect();
        self.attribute_ended_runs(&inventory.servers, actions);
        for spec in inventory.servers {
            let removed = self.removed_servers.remove(&spec.handle);
            let readded = removed.map(|(_, server)| server.readded());
            let known = old.remove(&spec.handle).or(readded);
            self.servers.push(match known {
                Some(known) => known.with_spec(now, spec),
                None => server::Server::new(now, spec, self.config.instance),
            });
        }
        let removed = old
            .into_iter()
            .map(|(handle, server)| (handle, (now, server)));
        self.removed_servers.extend(removed);
        self.expire_removed_servers(now);
        let servers = self.servers.iter().enumerate();
        self.indices = servers.map(|(i, s)| (s.spec.handle, i)).collect();
    }

    /// Discards servers that were removed long ago and whose retry delay has ended.
    fn expire_removed_servers(&mut self, now: time::Time) {
        self.removed_servers.retain(|_, (removed_at, server)| {
            now.since(*removed_at) < REMOVED_SERVER_RETENTION || server.retry_at() > now
        });
    }

    /// Number of daemons that share the traffic, including this one.
    fn daemon_count(&self) -> u32 {
        u32::try_from(self.fleet.daemons.len())
            .unwrap_or(u32::MAX)
            .max(1)
    }

    fn admit(
        &mut self,
        now: time::Time,
        arrival: event::Arrival,
        actions: &mut Vec<action::Action>,
    ) {
        let request = arrival.request;
        if self.requests.contains_key(&request) {
            return;
        }
        // The daemon that received a relayed request from its caller counts it.
        if !arrival.relayed {
            self.budget.record_request(now);
        }
        if let Some(fingerprint) = arrival.fingerprint {
            self.judge_suspect(now, fingerprint, actions);
        }
        let quarantined = |f| self.poison.quarantined_until(now, f);
        if let Some(expires_at) = arrival.fingerprint.and_then(quarantined) {
            if let Some(fingerprint) = arrival.fingerprint
                && self.poison.take_trial(now, fingerprint)
            {
                let pending = pending::Request::new(now, arrival);
                self.admit_grave(now, fingerprint, pending, actions);
                return;
            }
            let refusal = outcome::Refusal {
                reason: outcome::Reason::Poison,
                execution: outcome::Execution::NotRun,
                retry_after: Some(expires_at.since(now)),
            };
            actions.push(action::Action::Refuse { request, refusal });
            return;
        }
        let pending = pending::Request::new(now, arrival);
        if let Some(fingerprint) = arrival.fingerprint
            && self.poison.is_grave(fingerprint)
        {
            self.admit_grave(now, fingerprint, pending, actions);
            return;
        }
        // Those that wait go before it, unless it costs more to let it wait.
        let target = match self.queue.is_empty() {
            true => self.select_target(now, &pending),
            false => None,
        };
        self.requests.insert(request, pending);
        self.queue.record_arrival(now, target.is_some());
        match target {
            Some(target) => self.send_to(now, request, target, actions),
            None => {
                let reason = self.unavailable_reason();
                self.wait_or_refuse(now, request, reason, actions);
            }
        }
    }

    /// Time until the first retry delay of a server ends; zero if one of them asked for none.
    fn time_until_available(&self, now: time::Time) -> Duration {
        let servers = self.servers.iter().filter(|s| !s.is_unavailable());
        let delay = servers.map(|server| server.retry_at().since(now)).min();
        delay.unwrap_or(Duration::ZERO)
    }

    /// Reason of a refusal for lack of a server.
    fn unavailable_reason(&self) -> outcome::Reason {
        if self.servers.iter().all(server::Server::is_unavailable) {
            outcome::Reason::NoServer
        } else {
            outcome::Reason::Overload
        }
    }

    fn cancel_request(&mut self, request: handle::Request, actions: &mut Vec<action::Action>) {
        if let Some(pending) = self.requests.remove(&request) {
            self.queue.remove(request);
            self.cancel_attempts(&pending.attempts, actions);
        }
    }

    fn cancel_attempts(&mut self, attempts: &[handle::Attempt], actions: &mut Vec<action::Action>) {
        for attempt in attempts {
            if self.relays.cancel(*attempt) {
                actions.push(action::Action::Cancel(*attempt));
            }
            if let Some(in_flight) = self.in_flight.get_mut(attempt) {
                in_flight.cancelled = true;
                actions.push(action::Action::Cancel(*attempt));
            }
        }
    }

    /// Typical time from sending an attempt to its complete response.
    fn typical_latency(&self) -> Duration {
        self.mean_latency
            .unwrap_or(self.latency_objective.mul_f64(INITIAL_LATENCY_RATIO))
    }

    fn send(
        &mut self,
        now: time::Time,
        request: handle::Request,
        index: usize,
        actions: &mut Vec<action::Action>,
    ) {
        let daemons = self.budget.divisor();
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        self.attempts_sent += 1;
        let attempt = handle::Attempt(self.attempts_sent);
        self.queue.record_sent(now);
        let target = &mut self.servers[index];
        let server = target.spec.handle;
        let grounds = action::Grounds {
            daemons,
            ..target.grounds(now)
        };
        let unqueued = grounds.load < grounds.slots;
        target.record_sent(now);
        pending.attempts.push(attempt);
        pending.tried_servers.push(server);
        let in_flight = in_flight::Attempt {
            request,
            server,
            started_millis: target.spec.started_millis,
            sent_at: now,
            route: pending.arrival.route,
            unqueued,
            responded: false,
            slow_recorded: false,
            cancelled: false,
            fingerprint: pending.arrival.fingerprint,
        };
        self.in_flight.insert(attempt, in_flight);
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
        now: time::Time,
        request: handle::Request,
        reason: outcome::Reason,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.remove(&request) else {
            return;
        };
        let execution = if pending.may_have_run || !pending.attempts.is_empty() {
            outcome::Execution::Unknown
        } else {
            outcome::Execution::NotRun
        };
        self.cancel_attempts(&pending.attempts, actions);
        let jitter: f64 = self.rng.random();
        let [min, max] = RETRY_AFTER_BOUNDS;
        let retry_after = self
            .typical_latency()
            .mul_f64(RETRY_AFTER_RATIO * (0.5 + jitter));
        // Before the first retry delay ends, a retry would be refused again.
        let queued = match self.queue.is_empty() {
            true => Duration::ZERO,
            false => self.queue.time_to_empty(now),
        };
        let retry_after = retry_after.clamp(min, max) + queued + self.time_until_available(now);
        let refusal = outcome::Refusal {
            reason,
            execution,
            retry_after: Some(retry_after),
        };
        actions.push(action::Action::Refuse { request, refusal });
    }

    /// Records attempts in flight that have become slow, and hedges requests.
    fn tick(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        self.probe_crashes(now, actions);
        self.expire_crashes(now);
        if !self.poison.is_empty() {
            self.poison.expire(now);
        }
        self.expire_removed_servers(now);
        let slow_threshold = self.typical_latency().mul_f64(SLOW_RATIO);
        let mut ages = Vec::new();
        for in_flight in self.in_flight.values_mut() {
            let age = now.since(in_flight.sent_at);
            if age >= slow_threshold && !in_flight.slow_recorded && !in_flight.cancelled {
                in_flight.slow_recorded = true;
                if let Some(index) = self.indices.get(&in_flight.server) {
                    self.servers[*index].record_slow(now);
                }
            }
            ages.push((in_flight.request, age));
        }
        ages.extend(self.relays.ages(now));
        self.probe_path(now, actions);
        for (request, age) in ages {
            self.hedge(now, request, age, actions);
        }
    }
}
