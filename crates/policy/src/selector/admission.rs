//! Requests that wait for room, instead of being refused or risked at a server that is in doubt.

use std::time::Duration;

use monsooncart_types::time;

use super::choice::OBJECTIVE_SHARE;
use super::{Selector, path_loss, pending};
use crate::{action, event, handle, outcome, waiting};

/// Probability of failure above which a request rather waits for another server.
const MAX_RISK: f64 = 0.4;

/// Share of its latency objective for which a request waits for a server that is trusted.
const TRUST_WAIT_SHARE: f64 = 0.3;

impl Selector {
    /// Highest probability of failure at which a request is sent now.
    pub(super) fn max_risk(&self, now: time::Time, pending: &pending::Request) -> f64 {
        let objective = self.latency_objective(&pending.arrival);
        // Repeatable requests explore: they are what shows that a server is well again.
        let waits = self.waits && !pending.arrival.repeatable;
        let waits = waits && now.since(pending.arrived_at) < objective.mul_f64(TRUST_WAIT_SHARE);
        if waits { MAX_RISK } else { 1.0 }
    }

    /// Whether the budget permits another retry. Where requests wait for room, those that are less urgent
    /// than others leave a part of the budget to them.
    pub(super) fn allows_retry(&mut self, now: time::Time, priority: u32) -> bool {
        let priority = self.retry_priority(priority);
        self.budget.allows_retry(now, priority)
    }

    /// Counts a retry that the budget permitted.
    pub(super) fn record_retry(&mut self, now: time::Time, priority: u32) {
        let priority = self.retry_priority(priority);
        self.budget.record_retry(now, priority);
    }

    /// Priority of a retry; all are equal where requests do not wait.
    fn retry_priority(&self, priority: u32) -> u32 {
        if self.waits { priority } else { 0 }
    }

    /// Expected time of a request at a server: the work of its route, and the time that requests spend
    /// in the queues of the servers at present.
    fn expected_work(&self, arrival: &event::Arrival) -> Duration {
        let typical = self.typical_latency();
        let queueing = typical.saturating_sub(self.mean_service_time.unwrap_or(typical));
        let of_route = self.work_by_route.get(&arrival.route);
        of_route.map_or(typical, |work| *work + queueing)
    }

    /// Lets a request that finds no room wait, if it is expected to be served in its time; refuses it
    /// otherwise, or another one that waits and costs less.
    pub(super) fn wait_or_refuse(
        &mut self,
        now: time::Time,
        request: handle::Request,
        reason: outcome::Reason,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(pending) = self.requests.get(&request) else {
            return;
        };
        // Servers that ask for a delay are waited for by the caller, who is told the time.
        let may_wait = self.waits
            && reason == outcome::Reason::Overload
            && !self.path.is_lost()
            && self.time_until_available(now).is_zero();
        if !may_wait {
            self.refuse(now, request, reason, actions);
            return;
        }
        let arrival = &pending.arrival;
        let objective = self.latency_objective(arrival);
        let waiter = waiting::Waiter {
            request,
            priority: arrival.priority,
            arrived_at: pending.arrived_at,
            due_at: pending.arrived_at + objective.mul_f64(OBJECTIVE_SHARE),
            deadline: arrival.deadline,
            work: self.expected_work(arrival),
        };
        match self.queue.admit(now, waiter) {
            waiting::Admission::Waits => {}
            waiting::Admission::Replaces(other) => {
                self.refuse(now, other.request, reason, actions);
            }
            waiting::Admission::Refused => self.refuse(now, request, reason, actions),
        }
    }

    /// Sends a request that is a suspect of many crashes to one server, if none has it yet; refuses it
    /// otherwise. It would be sent the moment at which a server that crashed is back.
    pub(super) fn admit_grave(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        mut pending: pending::Request,
        actions: &mut Vec<action::Action>,
    ) {
        pending.arrival.max_attempts = 1;
        let request = pending.arrival.request;
        let mut others = self.in_flight.values();
        let is_tried = others.any(|a| a.fingerprint == Some(fingerprint) && !a.cancelled);
        let target = match is_tried {
            true => None,
            false => self.select_target(now, &pending),
        };
        self.requests.insert(request, pending);
        match target {
            Some(target) => self.send_to(now, request, target, actions),
            None => self.refuse(now, request, outcome::Reason::Overload, actions),
        }
    }

    /// Whether a request that waits became a suspect of many crashes, or was quarantined, meanwhile.
    fn is_withheld(&self, now: time::Time, request: handle::Request) -> bool {
        let pending = self.requests.get(&request);
        let fingerprint = pending.and_then(|p| p.arrival.fingerprint);
        fingerprint.is_some_and(|f| {
            self.poison.is_grave(f) || self.poison.quarantined_until(now, f).is_some()
        })
    }

    /// Sends the requests that wait while there is room, and refuses those that can no longer be served
    /// in their time.
    pub(super) fn serve_queue(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if self.queue.is_empty() {
            return;
        }
        for expired in self.queue.expire(now) {
            self.refuse(now, expired.request, outcome::Reason::Overload, actions);
        }
        while let Some((request, target)) = self.next_from_queue(now) {
            self.queue.take(request);
            if self.is_withheld(now, request) {
                self.refuse(now, request, outcome::Reason::Overload, actions);
                continue;
            }
            let pending = self.requests.get(&request);
            if let Some(retried) = pending.filter(|p| !p.tried_servers.is_empty()) {
                let priority = retried.arrival.priority;
                self.record_retry(now, priority);
            }
            self.send_to(now, request, target, actions);
        }
    }

    /// The next request that waits and for which there is room.
    fn next_from_queue(&mut self, now: time::Time) -> Option<(handle::Request, path_loss::Target)> {
        for request in self.queue.candidates(now).into_iter().flatten() {
            let Some(pending) = self.requests.get(&request).cloned() else {
                self.queue.remove(request);
                continue;
            };
            let is_retry = !pending.tried_servers.is_empty();
            if is_retry && !self.allows_retry(now, pending.arrival.priority) {
                continue;
            }
            if let Some(target) = self.select_target(now, &pending) {
                return Some((request, target));
            }
        }
        None
    }
}
