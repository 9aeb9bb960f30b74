//! Admission and dispatch: an arriving request is sent, queued or refused.

use std::time::Duration;

use monsooncart_types::time;
use rand::RngExt;

use crate::balancer::{Balancer, backend, in_flight, pending};
use crate::health::state;
use crate::slots::{choice, room};
use crate::{action, event, handle, outcome, queue};

/// Maximum number of queued requests per slot of the service, over all daemons.
const MAX_QUEUED_PER_SLOT: usize = 8;

/// Minimum queue capacity of one daemon, in requests.
const MIN_QUEUE_CAPACITY: usize = 8;

const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Minimum interval between exploration requests to a doubtful or ejected server.
const EXPLORATION_INTERVAL: Duration = Duration::from_millis(20);

/// Number of recent attempts in flight at which a doubtful server gets no more exploration
/// requests.
const MAX_RECENT_ATTEMPTS: usize = 2;

/// Minimum interval between exploration requests to a suspect server.
const SUSPECT_EXPLORATION_INTERVAL: Duration = Duration::from_secs(1);

/// Assumed time to the response head, and time in a slot, until the first one is observed, as a
/// ratio of the latency objective.
const DEFAULT_ATTEMPT_TIME_RATIO: f64 = 0.25;

/// The server selected for an attempt.
#[derive(Clone, Copy, Debug)]
struct Target {
    index: usize,
    fresh_connection: bool,
    is_trial: bool,
}

impl Balancer {
    pub(super) fn admit(
        &mut self,
        now: time::Time,
        arrival: event::Arrival,
        actions: &mut Vec<action::Action>,
    ) {
        let request = arrival.request;
        if self.requests.contains_key(&request) {
            return;
        }
        self.budget.deposit();
        if let Some(fingerprint) = arrival.fingerprint {
            self.judge_suspect(now, fingerprint, actions);
        }
        let quarantined = |f| self.poison.quarantined_until(now, f);
        let expires_at = arrival.fingerprint.and_then(quarantined);
        let is_trial = arrival
            .fingerprint
            .is_some_and(|f| self.poison.take_trial(now, f));
        if let Some(expires_at) = expires_at.filter(|_| !is_trial) {
            let refusal = outcome::Refusal {
                reason: outcome::Reason::Poison,
                execution: outcome::Execution::NotRun,
                retry_after: Some(expires_at.since(now)),
            };
            actions.push(action::Action::Refuse { request, refusal });
            return;
        }
        let pending = pending::Request::new(arrival);
        if arrival.repeatable
            && let Some(target) = self.pick_exploration_server(now, &pending)
        {
            self.requests.insert(request, pending);
            self.send(now, request, target, actions);
            return;
        }
        if self.queue.is_empty()
            && let Some(target) = self.pick_server(now, &pending)
        {
            self.requests.insert(request, pending);
            self.send(now, request, target, actions);
            return;
        }
        self.requests.insert(request, pending);
        self.enqueue(now, request, actions);
    }

    pub(super) fn cancel_request(
        &mut self,
        request: handle::Request,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.remove(&request) else {
            return;
        };
        if pending.queued {
            self.queue.remove(pending.arrival.organisation, request);
        }
        self.cancel_attempts(&pending.attempts, actions);
    }

    /// Sends a request again, or enqueues it.
    pub(super) fn retry(
        &mut self,
        now: time::Time,
        request: handle::Request,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        let target = if self.queue.is_empty() {
            let pending = pending.clone();
            self.pick_server(now, &pending)
        } else {
            None
        };
        match target {
            Some(target) => self.send(now, request, target, actions),
            None => self.enqueue(now, request, actions),
        }
    }

    /// Sends a second attempt of a request in flight; returns whether a server was found.
    pub(super) fn hedge(
        &mut self,
        now: time::Time,
        request: handle::Request,
        actions: &mut Vec<action::Action>,
    ) -> bool {
        let Some(pending) = self.requests.get(&request).cloned() else {
            return false;
        };
        let Some(target) = self.pick_server(now, &pending) else {
            return false;
        };
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.hedged = true;
        }
        self.send(now, request, target, actions);
        true
    }

    /// Sends queued requests while servers have free slots.
    pub(super) fn dispatch_queued(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        while let Some((organisation, waiter)) = self.queue.pop() {
            let Some(pending) = self.requests.get(&waiter.request).cloned() else {
                continue;
            };
            if now + self.expected_head_time() > waiter.deadline {
                self.refuse(now, waiter.request, outcome::Reason::Overload, actions);
                continue;
            }
            let Some(target) = self.pick_server(now, &pending) else {
                let weight = pending.arrival.weight;
                self.queue.push_front(organisation, weight, waiter);
                return;
            };
            if let Some(pending) = self.requests.get_mut(&waiter.request) {
                pending.queued = false;
            }
            self.last_dequeue_at = now;
            self.send(now, waiter.request, target, actions);
        }
    }

    /// Refuses a request and cancels its attempts.
    pub(super) fn refuse(
        &mut self,
        now: time::Time,
        request: handle::Request,
        reason: outcome::Reason,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.remove(&request) else {
            return;
        };
        if pending.queued {
            self.queue.remove(pending.arrival.organisation, request);
        }
        self.cancel_attempts(&pending.attempts, actions);
        let execution = if pending.may_have_run || !pending.attempts.is_empty() {
            outcome::Execution::Unknown
        } else {
            outcome::Execution::NotRun
        };
        let refusal = outcome::Refusal {
            reason,
            execution,
            retry_after: Some(self.retry_after(now)),
        };
        actions.push(action::Action::Refuse { request, refusal });
    }

    pub(super) fn cancel_attempts(
        &mut self,
        attempts: &[handle::Attempt],
        actions: &mut Vec<action::Action>,
    ) {
        for attempt in attempts {
            if let Some(in_flight) = self.in_flight.get_mut(attempt) {
                in_flight.cancelled = true;
                actions.push(action::Action::Cancel(*attempt));
            }
        }
    }

    /// Expected time from sending an attempt to its response head.
    pub(super) fn expected_head_time(&self) -> Duration {
        self.mean_head_time
            .unwrap_or(self.latency_objective.mul_f64(DEFAULT_ATTEMPT_TIME_RATIO))
    }

    /// Estimates how fast the queue drains. The interval at which slots become free is assumed to
    /// be at least the time since the last dequeue, so that the estimate follows a stalled queue.
    pub(super) fn queue_pace(&self, now: time::Time) -> queue::pace::Pace {
        let usable = self.backends.iter();
        let usable =
            usable.filter(|b| b.availability(&self.limits) >= backend::Availability::Doubtful);
        let (mut total_in_flight, mut first_backoff_ends_at) = (0, time::Time::NEVER);
        for backend in usable {
            total_in_flight += backend.load.in_flight;
            first_backoff_ends_at = first_backoff_ends_at.min(backend.load.backoff_ends_at);
        }
        let slot_time = self
            .mean_slot_time
            .unwrap_or(self.latency_objective.mul_f64(DEFAULT_ATTEMPT_TIME_RATIO));
        let stalled_for = if self.queue.is_empty() {
            Duration::ZERO
        } else {
            now.since(self.last_dequeue_at)
        };
        let waits_for_backoff = total_in_flight == 0 && first_backoff_ends_at != time::Time::NEVER;
        queue::pace::Pace {
            slot_interval: stalled_for.max(slot_time / total_in_flight.max(1)),
            head_time: self.expected_head_time(),
            initial_delay: if waits_for_backoff {
                first_backoff_ends_at.since(now)
            } else {
                Duration::ZERO
            },
        }
    }

    /// The `retry-after` of a refusal, with jitter so that callers do not return at the same time.
    fn retry_after(&mut self, now: time::Time) -> Duration {
        let delay = self
            .queue_pace(now)
            .expected_head_delay(self.queue.len() as f64);
        let delay = delay.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        delay.mul_f64(1.0 + 0.5 * self.jitter())
    }

    /// A random number in `0.0..1.0`.
    pub(super) fn jitter(&mut self) -> f64 {
        self.rng.random()
    }

    /// Enqueues a request, or refuses it if no server is available for it, the queue is full or the
    /// request is not expected to meet its deadline.
    fn enqueue(
        &mut self,
        now: time::Time,
        request: handle::Request,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        let arrival = pending.arrival;
        let best = self.best_availability(&pending.tried_servers);
        if best == backend::Availability::Unavailable {
            let reason = if pending.tried_servers.is_empty() {
                outcome::Reason::NoServer
            } else {
                outcome::Reason::Exhausted
            };
            self.refuse(now, request, reason, actions);
            return;
        }
        let waiter = queue::waiter::Waiter {
            request,
            deadline: arrival.deadline,
        };
        if self.queue.is_empty() {
            self.last_dequeue_at = now;
        }
        let pace = self.queue_pace(now);
        let slots: usize = self.backends.iter().map(|b| b.spec.slots as usize).sum();
        // All daemons queue for the same slots, so each gets an equal part of the queue capacity.
        let daemons = usize::try_from(self.daemons.max(1)).unwrap_or(usize::MAX);
        let capacity = MIN_QUEUE_CAPACITY.max(slots * MAX_QUEUED_PER_SLOT / daemons);
        let (organisation, weight) = (arrival.organisation, arrival.weight);
        let admission = self
            .queue
            .push(now, organisation, weight, waiter, &pace, capacity);
        if admission == queue::Admission::Refused {
            self.refuse(now, request, outcome::Reason::Overload, actions);
            return;
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.queued = true;
        }
        if let queue::Admission::Displaced(displaced) = admission {
            self.refuse_displaced(now, displaced, actions);
        }
    }

    fn refuse_displaced(
        &mut self,
        now: time::Time,
        request: handle::Request,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.queued = false;
        }
        self.refuse(now, request, outcome::Reason::Overload, actions);
    }

    /// The best availability among the servers that are not in `excluded`, whether busy or not.
    pub(super) fn best_availability(&self, excluded: &[handle::Server]) -> backend::Availability {
        let others = self
            .backends
            .iter()
            .filter(|b| !excluded.contains(&b.spec.handle));
        let availabilities = others.map(|b| b.availability(&self.limits));
        availabilities
            .max()
            .unwrap_or(backend::Availability::Unavailable)
    }

    /// Selects a server with a free slot for an ordinary attempt.
    fn pick_server(&mut self, now: time::Time, pending: &pending::Request) -> Option<Target> {
        let required = self.required_server(pending);
        let avoided = self.server_to_avoid(pending);
        let strategy = self.config.strategy;
        let mut best = backend::Availability::Unavailable;
        let mut choices = [choice::Choice::default(); 3];
        for (index, backend) in self.backends.iter().enumerate() {
            let availability = backend.availability(&self.limits);
            let tier = match availability {
                backend::Availability::Unavailable => continue,
                backend::Availability::Suspect => 0,
                backend::Availability::Doubtful => 1,
                backend::Availability::Healthy => 2,
            };
            let handle = backend.spec.handle;
            let excluded = avoided == Some(handle) || required.is_some_and(|r| r != handle);
            if excluded || pending.tried_servers.contains(&handle) {
                continue;
            }
            best = best.max(availability);
            let room = backend.load.room(now, strategy);
            if room == room::Room::Full {
                continue;
            }
            let candidate = choice::Candidate {
                index,
                room,
                score: backend.load.score(now, strategy),
                idle: backend.load.known_in_flight(strategy) == 0,
                last_sent_at: backend.load.last_sent_at,
            };
            choices[tier].offer(candidate, &mut self.rng);
        }
        let allow_doubtful = pending.arrival.repeatable || best == backend::Availability::Doubtful;
        let [suspects, doubtful, healthy] = choices.map(|c| c.selected(now));
        let index = match best {
            backend::Availability::Unavailable => None,
            backend::Availability::Suspect => suspects,
            _ => healthy.or(doubtful.filter(|_| allow_doubtful)),
        }?;
        Some(Target {
            index,
            fresh_connection: !pending.arrival.repeatable,
            is_trial: false,
        })
    }

    /// The server that crashed on the fingerprint of a request, if another server is available.
    fn server_to_avoid(&self, pending: &pending::Request) -> Option<handle::Server> {
        let crashed = self.poison.crashed_run(pending.arrival.fingerprint?)?;
        let crashed = crashed.server;
        let mut excluded = pending.tried_servers.clone();
        excluded.push(crashed);
        (self.best_availability(&excluded) > backend::Availability::Unavailable).then_some(crashed)
    }

    /// The only server that a request may be sent to: one that already runs its fingerprint after
    /// another server crashed on it. This keeps the request from crashing a third server.
    fn required_server(&self, pending: &pending::Request) -> Option<handle::Server> {
        let fingerprint = pending.arrival.fingerprint?;
        let crashed = self.poison.crashed_run(fingerprint)?.server;
        let runs_fingerprint =
            |f: &&in_flight::Attempt| f.fingerprint == Some(fingerprint) && f.server != crashed;
        self.in_flight
            .values()
            .find(runs_fingerprint)
            .map(|f| f.server)
    }

    /// Selects a server for an exploration request, a live repeatable request that is sent to
    /// gather evidence: a doubtful or suspect server, or an ejected one whose next trial is due.
    fn pick_exploration_server(
        &mut self,
        now: time::Time,
        pending: &pending::Request,
    ) -> Option<Target> {
        if !self.needs_maintenance || !self.budget.can_hedge() {
            return None;
        }
        let suspected = |f| self.poison.is_suspected(f);
        if pending.arrival.fingerprint.is_some_and(suspected) {
            return None;
        }
        let can_explore = |b: &backend::Backend| {
            now >= b.next_exploration_at
                && !b.is_leaving()
                && b.load.in_flight < b.spec.slots
                && b.load.backoff_ends_at <= now
                && !b.trial_in_flight
        };
        let needs_evidence = |b: &backend::Backend| match b.monitor.state() {
            state::State::Ejected => b.monitor.is_trial_due(now) && b.load.in_flight == 0,
            state::State::Suspect => true,
            _ => {
                let below_threshold = b.suspicion < b.monitor.threshold(&self.limits);
                below_threshold
                    && b.suspicion >= self.limits.suspect_threshold()
                    && self.has_few_recent_attempts(now, b)
            }
        };
        let has_healthy_server = self.best_availability(&[]) == backend::Availability::Healthy;
        if !has_healthy_server {
            return None;
        }
        let index = self
            .backends
            .iter()
            .position(|b| can_explore(b) && needs_evidence(b))?;
        let backend = &mut self.backends[index];
        let is_ejected = backend.monitor.state() == state::State::Ejected;
        let is_suspect = backend.monitor.state() == state::State::Suspect;
        backend.next_exploration_at = now
            + if is_suspect {
                SUSPECT_EXPLORATION_INTERVAL
            } else {
                EXPLORATION_INTERVAL
            };
        let oldest_sent_at = backend.connections.oldest_silent_sent_at();
        let oldest_sent_at = oldest_sent_at.or(backend.awaiting_head.front().map(|h| h.sent_at));
        let answered_since = |at| backend.connections.fresh_connection_answered_since(at);
        Some(Target {
            index,
            fresh_connection: is_ejected || oldest_sent_at.is_some_and(|at| !answered_since(at)),
            is_trial: is_ejected,
        })
    }

    /// Whether fewer than [`MAX_RECENT_ATTEMPTS`] attempts in flight are still within the slow
    /// threshold.
    fn has_few_recent_attempts(&self, now: time::Time, backend: &backend::Backend) -> bool {
        let slow_threshold = self
            .baseline
            .slow_threshold(backend.spec.handle, self.latency_objective);
        let recent = |h: &&backend::AwaitingHead| now.since(h.sent_at) < slow_threshold;
        backend
            .awaiting_head
            .iter()
            .rev()
            .take_while(recent)
            .count()
            < MAX_RECENT_ATTEMPTS
    }

    fn send(
        &mut self,
        now: time::Time,
        request: handle::Request,
        target: Target,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get_mut(&request) else {
            return;
        };
        self.attempts_sent += 1;
        let attempt = handle::Attempt(self.attempts_sent);
        let backend = &mut self.backends[target.index];
        let server = backend.spec.handle;
        pending.attempts.push(attempt);
        pending.tried_servers.push(server);
        backend.load.record_sent(now);
        backend.trial_in_flight |= target.is_trial;
        backend.awaiting_head.push_back(backend::AwaitingHead {
            attempt,
            sent_at: now,
            fresh_connection: target.fresh_connection,
            discounted: false,
        });
        let in_flight = in_flight::Attempt {
            request,
            server,
            sent_at: now,
            fresh_connection: target.fresh_connection,
            has_head: false,
            has_good_head: false,
            cancelled: false,
            is_trial: target.is_trial,
            fingerprint: pending.arrival.fingerprint,
        };
        self.in_flight.insert(attempt, in_flight);
        actions.push(action::Action::Send {
            request,
            attempt,
            server,
            fresh_connection: target.fresh_connection,
            grounds: action::Grounds::default(),
        });
    }
}
