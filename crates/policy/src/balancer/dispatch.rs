//! From the arrival of a request to an attempt, a place in the queue or a refusal.

use std::time::Duration;

use monsooncart_types::time;
use rand::RngExt;

use crate::balancer::{Balancer, backend, flight, pending};
use crate::health::state;
use crate::slots::{choice, room};
use crate::{action, event, handle, outcome, queue};

/// Waiting requests over all daemons for each slot of the service.
const WAITERS: usize = 8;

/// Waiting requests that a service may have at one daemon at least.
const WAITERS_MIN: usize = 8;

/// Shortest time to come back in.
const COME_BACK_MIN: Duration = Duration::from_secs(1);

/// Longest time to come back in.
const COME_BACK_MAX: Duration = Duration::from_secs(30);

/// Time between the examinations of a doubtful server.
const EXAMINE: Duration = Duration::from_millis(20);

/// Examinations of a doubtful server at once.
const EXAMINATIONS: usize = 2;

/// Time between the requests that a suspect gets.
const SUSPECT_SHARE: Duration = Duration::from_secs(1);

/// Share of the promised time that an attempt is taken to hold a slot before any was seen.
const UNSEEN: f64 = 0.25;

/// A server that is to get an attempt.
#[derive(Clone, Copy, Debug)]
struct Target {
    index: usize,
    fresh: bool,
    trial: bool,
}

impl Balancer {
    pub(super) fn arrive(
        &mut self,
        now: time::Time,
        arrival: event::Arrival,
        actions: &mut Vec<action::Action>,
    ) {
        let request = arrival.request;
        if self.requests.contains_key(&request) {
            return;
        }
        self.budget.earn();
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
        let pending = pending::Pending::new(arrival);
        if arrival.repeatable
            && let Some(target) = self.errand(now, &pending)
        {
            self.requests.insert(request, pending);
            self.send(now, request, target, actions);
            return;
        }
        if self.queue.is_empty()
            && let Some(target) = self.pick(now, &pending)
        {
            self.requests.insert(request, pending);
            self.send(now, request, target, actions);
            return;
        }
        self.requests.insert(request, pending);
        self.wait(now, request, actions);
    }

    pub(super) fn withdraw(&mut self, request: handle::Request, actions: &mut Vec<action::Action>) {
        let Some(pending) = self.requests.remove(&request) else {
            return;
        };
        if pending.waiting {
            self.queue.remove(pending.arrival.organisation, request);
        }
        self.cancel(&pending.attempts, actions);
    }

    /// Sends a request once more, at once or from the queue.
    pub(super) fn send_again(
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
            self.pick(now, &pending)
        } else {
            None
        };
        match target {
            Some(target) => self.send(now, request, target, actions),
            None => self.wait(now, request, actions),
        }
    }

    /// Sends a second attempt of a request that waits for its answer.
    pub(super) fn hedge(
        &mut self,
        now: time::Time,
        request: handle::Request,
        actions: &mut Vec<action::Action>,
    ) -> bool {
        let Some(pending) = self.requests.get(&request).cloned() else {
            return false;
        };
        let Some(target) = self.pick(now, &pending) else {
            return false;
        };
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.hedged = true;
        }
        self.send(now, request, target, actions);
        true
    }

    /// Sends what waits while there is room.
    pub(super) fn pump(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        while let Some((organisation, waiter)) = self.queue.pop() {
            let Some(pending) = self.requests.get(&waiter.request).cloned() else {
                continue;
            };
            if now + self.head_time() > waiter.deadline {
                self.refuse(now, waiter.request, outcome::Reason::Overload, actions);
                continue;
            }
            let Some(target) = self.pick(now, &pending) else {
                let weight = pending.arrival.weight;
                self.queue.push_front(organisation, weight, waiter);
                return;
            };
            if let Some(pending) = self.requests.get_mut(&waiter.request) {
                pending.waiting = false;
            }
            self.moved = now;
            self.send(now, waiter.request, target, actions);
        }
    }

    /// Ends a request by a refusal.
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
        if pending.waiting {
            self.queue.remove(pending.arrival.organisation, request);
        }
        self.cancel(&pending.attempts, actions);
        let run = if pending.unknown || !pending.attempts.is_empty() {
            outcome::Execution::Unknown
        } else {
            outcome::Execution::NotRun
        };
        let refusal = outcome::Refusal {
            reason,
            execution: run,
            retry_after: Some(self.come_back(now)),
        };
        actions.push(action::Action::Refuse { request, refusal });
    }

    /// Gives up attempts.
    pub(super) fn cancel(
        &mut self,
        attempts: &[handle::Attempt],
        actions: &mut Vec<action::Action>,
    ) {
        for attempt in attempts {
            if let Some(flight) = self.flights.get_mut(attempt) {
                flight.cancelled = true;
                actions.push(action::Action::Cancel(*attempt));
            }
        }
    }

    /// Time from an attempt to the head of its answer.
    pub(super) fn head_time(&self) -> Duration {
        self.head.unwrap_or(self.promise.mul_f64(UNSEEN))
    }

    /// How fast the queue moves; where it stands still, as slowly as it has stood still.
    pub(super) fn pace(&self, now: time::Time) -> queue::pace::Pace {
        let usable = self.backends.iter();
        let usable = usable.filter(|b| b.standing(&self.limits) >= backend::Standing::Doubtful);
        let (mut working, mut opens) = (0, time::Time::NEVER);
        for backend in usable {
            working += backend.load.in_flight;
            opens = opens.min(backend.load.closed_until);
        }
        let hold = self.hold.unwrap_or(self.promise.mul_f64(UNSEEN));
        let standstill = if self.queue.is_empty() {
            Duration::ZERO
        } else {
            now.since(self.moved)
        };
        let blocked = working == 0 && opens != time::Time::NEVER;
        queue::pace::Pace {
            interval: standstill.max(hold / working.max(1)),
            head: self.head_time(),
            delay: if blocked {
                opens.since(now)
            } else {
                Duration::ZERO
            },
        }
    }

    /// When a refused caller is to come back, spread so that not all come at once.
    fn come_back(&mut self, now: time::Time) -> Duration {
        let waits = self.pace(now).answer(self.queue.len() as f64);
        let waits = waits.clamp(COME_BACK_MIN, COME_BACK_MAX);
        waits.mul_f64(1.0 + 0.5 * self.jitter())
    }

    /// A random number from 0 to 1.
    pub(super) fn jitter(&mut self) -> f64 {
        self.rng.random()
    }

    /// Lets a request wait for a slot, or refuses it at once.
    fn wait(
        &mut self,
        now: time::Time,
        request: handle::Request,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        let arrival = pending.arrival;
        let best = self.best_standing(&pending.tried);
        if best == backend::Standing::Out {
            let reason = if pending.tried.is_empty() {
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
            self.moved = now;
        }
        let pace = self.pace(now);
        let slots: usize = self.backends.iter().map(|b| b.spec.slots as usize).sum();
        // The daemons that share the slots share the wait for them.
        let sharers = usize::try_from(self.daemons.max(1)).unwrap_or(usize::MAX);
        let capacity = WAITERS_MIN.max(slots * WAITERS / sharers);
        let (organisation, weight) = (arrival.organisation, arrival.weight);
        let admission = self
            .queue
            .push(now, organisation, weight, waiter, &pace, capacity);
        if admission == queue::Admission::Refused {
            self.refuse(now, request, outcome::Reason::Overload, actions);
            return;
        }
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.waiting = true;
        }
        if let queue::Admission::Displaced(displaced) = admission {
            self.displace(now, displaced, actions);
        }
    }

    fn displace(
        &mut self,
        now: time::Time,
        request: handle::Request,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.waiting = false;
        }
        self.refuse(now, request, outcome::Reason::Overload, actions);
    }

    /// The best standing of any server that was not tried, busy or not.
    pub(super) fn best_standing(&self, tried: &[handle::Server]) -> backend::Standing {
        let untried = self
            .backends
            .iter()
            .filter(|b| !tried.contains(&b.spec.handle));
        let standings = untried.map(|b| b.standing(&self.limits));
        standings.max().unwrap_or(backend::Standing::Out)
    }

    /// Chooses a server with room for ordinary work.
    fn pick(&mut self, now: time::Time, pending: &pending::Pending) -> Option<Target> {
        let confined = self.confined(pending);
        let broke = self.spared(pending);
        let strategy = self.config.strategy;
        let mut best = backend::Standing::Out;
        let mut choices = [choice::Choice::default(); 3];
        for (index, backend) in self.backends.iter().enumerate() {
            let standing = backend.standing(&self.limits);
            let place = match standing {
                backend::Standing::Out => continue,
                backend::Standing::Suspect => 0,
                backend::Standing::Doubtful => 1,
                backend::Standing::Good => 2,
            };
            let handle = backend.spec.handle;
            let excluded = broke == Some(handle) || confined.is_some_and(|c| c != handle);
            if excluded || pending.tried.contains(&handle) {
                continue;
            }
            best = best.max(standing);
            let room = backend.load.room(now, strategy);
            if room == room::Room::Full {
                continue;
            }
            let candidate = choice::Candidate {
                index,
                room,
                score: backend.load.score(now, strategy),
                idle: backend.load.known(strategy) == 0,
                last_sent: backend.load.last_sent,
            };
            choices[place].offer(candidate, &mut self.rng);
        }
        let doubtful = pending.arrival.repeatable || best == backend::Standing::Doubtful;
        let [suspects, doubtfuls, good] = choices.map(|c| c.taken(now));
        let index = match best {
            backend::Standing::Out => None,
            backend::Standing::Suspect => suspects,
            _ => good.or(doubtfuls.filter(|_| doubtful)),
        }?;
        Some(Target {
            index,
            fresh: !pending.arrival.repeatable,
            trial: false,
        })
    }

    /// The server that the fingerprint of a request broke, where there is another for it.
    fn spared(&self, pending: &pending::Pending) -> Option<handle::Server> {
        let broke = self.poison.crashed_server(pending.arrival.fingerprint?)?;
        let mut excluded = pending.tried.clone();
        excluded.push(broke);
        (self.best_standing(&excluded) > backend::Standing::Out).then_some(broke)
    }

    /// The one server that a request may go to, where its fingerprint broke a server and runs at
    /// another: so it cannot break a third.
    fn confined(&self, pending: &pending::Pending) -> Option<handle::Server> {
        let fingerprint = pending.arrival.fingerprint?;
        let broke = self.poison.crashed_server(fingerprint)?;
        let same = |f: &&flight::Flight| f.fingerprint == Some(fingerprint) && f.server != broke;
        self.flights.values().find(same).map(|f| f.server)
    }

    /// Chooses a server that needs a repeatable request for evidence: a doubtful one, a suspect,
    /// or an ejected one that is due for a trial.
    fn errand(&mut self, now: time::Time, pending: &pending::Pending) -> Option<Target> {
        if !self.uneasy || !self.budget.affords_hedge() {
            return None;
        }
        let blamed = |f| self.poison.is_suspected(f);
        if pending.arrival.fingerprint.is_some_and(blamed) {
            return None;
        }
        let due = |b: &backend::Backend| {
            now >= b.errand_at
                && !b.leaving()
                && b.load.in_flight < b.spec.slots
                && b.load.closed_until <= now
                && !b.trying
        };
        let needs = |b: &backend::Backend| match b.monitor.state() {
            state::State::Ejected => b.monitor.trial_due(now) && b.load.in_flight == 0,
            state::State::Suspect => true,
            _ => {
                let open = b.suspicion < b.monitor.threshold(&self.limits);
                open && b.suspicion >= self.limits.suspect_threshold() && self.unexamined(now, b)
            }
        };
        let others = self.best_standing(&[]) == backend::Standing::Good;
        if !others {
            return None;
        }
        let index = self.backends.iter().position(|b| due(b) && needs(b))?;
        let backend = &mut self.backends[index];
        let ejected = backend.monitor.state() == state::State::Ejected;
        let suspect = backend.monitor.state() == state::State::Suspect;
        backend.errand_at = now + if suspect { SUSPECT_SHARE } else { EXAMINE };
        let oldest = backend.watch.oldest();
        let oldest = oldest.or(backend.headless.front().map(|h| h.sent));
        let proved = |at| backend.watch.fresh_worked(at);
        Some(Target {
            index,
            fresh: ejected || oldest.is_some_and(|at| !proved(at)),
            trial: ejected,
        })
    }

    /// Whether few attempts are in flight to a server that may still answer in time.
    fn unexamined(&self, now: time::Time, backend: &backend::Backend) -> bool {
        let limit = self
            .baseline
            .slow_threshold(backend.spec.handle, self.promise);
        let young = |h: &&backend::Headless| now.since(h.sent) < limit;
        backend.headless.iter().rev().take_while(young).count() < EXAMINATIONS
    }

    /// Sends a request to a server.
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
        self.attempts += 1;
        let attempt = handle::Attempt(self.attempts);
        let backend = &mut self.backends[target.index];
        let server = backend.spec.handle;
        pending.attempts.push(attempt);
        pending.tried.push(server);
        backend.load.sent(now);
        backend.trying |= target.trial;
        backend.headless.push_back(backend::Headless {
            attempt,
            sent: now,
            fresh: target.fresh,
            excused: false,
        });
        let flight = flight::Flight {
            request,
            server,
            sent: now,
            fresh: target.fresh,
            head: false,
            prompt: false,
            cancelled: false,
            trial: target.trial,
            fingerprint: pending.arrival.fingerprint,
        };
        self.flights.insert(attempt, flight);
        actions.push(action::Action::Send {
            request,
            attempt,
            server,
            fresh_connection: target.fresh,
            grounds: action::Grounds::default(),
        });
    }
}
