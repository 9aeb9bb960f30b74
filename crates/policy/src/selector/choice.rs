//! Selection of the server for an attempt.

use std::time::Duration;

use monsooncart_types::time;
use rand::RngExt as _;

use super::{Selector, cost, coverage, pending, server};
use crate::event;

/// Difference in cost up to which servers count as equal, so that daemons do not all select the
/// same one.
const COST_TOLERANCE: f64 = 0.01;

/// Maximum number of attempts queued at a server beyond its slots, as a multiple of the slots, for
/// the lowest priority and for all others.
const MAX_QUEUED_RATIOS: [f64; 2] = [1.0, 3.0];

/// The maximum is at least this, so that a slot that becomes free is used at once.
const MIN_QUEUED_RATIO: f64 = 0.5;

/// Number of servers to which no connection could be opened after which a request is tried at no
/// further one.
const MAX_UNREACHABLE_SERVERS: usize = 4;

/// Priority value from which a request counts as lowest priority.
const LOWEST_PRIORITY: u32 = 2;

/// Share of the latency objective that waiting and processing may take on average; the rest covers
/// requests that take longer than the mean.
pub(super) const OBJECTIVE_SHARE: f64 = 0.8;

/// The lowest and the second lowest cost; infinite if there are too few.
fn two_lowest(costs: impl Iterator<Item = f64>) -> (f64, f64) {
    costs.fold((f64::INFINITY, f64::INFINITY), |(lowest, second), cost| {
        if cost < lowest {
            (cost, lowest)
        } else {
            (lowest, second.min(cost))
        }
    })
}

impl Selector {
    /// Selects the index of the server with the lowest cost, at random among those within
    /// [`COST_TOLERANCE`].
    ///
    /// If the request can be retried, the cost includes a retry at the best other server.
    pub(super) fn select_server(
        &mut self,
        now: time::Time,
        pending: &pending::Request,
    ) -> Option<usize> {
        let arrival = &pending.arrival;
        let attempts_left = self.attempts_left(pending);
        if attempts_left == 0 || pending.unreachable_servers.len() >= MAX_UNREACHABLE_SERVERS {
            return None;
        }
        for server in &mut self.servers {
            server.start_rate_limit_interval(now, &self.fleet);
        }
        let costs = self.costs(now, pending);
        let is_first = pending.tried_servers.is_empty();
        let retryable = arrival.repeatable && attempts_left > 1 && is_first;
        let retryable = retryable && self.allows_retry(now, arrival.priority);
        if is_first && let Some(index) = self.select_idle_server(now, &costs, retryable) {
            return Some(index);
        }
        let (best, second) = two_lowest(costs.iter().map(|(_, cost)| cost.without_retry()));
        let total = |cost: &cost::Cost| {
            if !retryable {
                return cost.without_retry();
            }
            let is_best = cost.without_retry() <= best;
            cost.with_retry(if is_best { second } else { best })
        };
        let totals: Vec<(usize, f64)> = costs
            .iter()
            .map(|(index, cost)| (*index, total(cost)))
            .collect();
        let (lowest, _) = two_lowest(totals.iter().map(|(_, total)| *total));
        let cheapest: Vec<usize> = totals
            .iter()
            .filter(|(_, total)| *total <= lowest + COST_TOLERANCE)
            .map(|(index, _)| *index)
            .collect();
        if cheapest.is_empty() {
            return None;
        }
        cheapest
            .get(self.rng.random_range(0..cheapest.len()))
            .copied()
    }

    /// Selects the server that most needs a request to stay in use.
    fn select_idle_server(
        &self,
        now: time::Time,
        costs: &[(usize, cost::Cost)],
        is_retryable: bool,
    ) -> Option<usize> {
        if !self.config.covers_servers {
            return None;
        }
        let (mut in_use, mut available, mut remote_in_flight) = (0, 0, 0);
        for server in &self.servers {
            if !server.spec.local {
                remote_in_flight += server.in_flight;
            }
            if !server.is_unavailable() && server.activity.is_covered(now) {
                available += 1;
                in_use += usize::from(server.activity.is_in_use(now, &self.heard));
            }
        }
        let max_risk = coverage::max_risk(in_use, available);
        let has_remote_room = self.remote_window.has_room(remote_in_flight);
        let candidates = costs.iter().filter(|(index, cost)| {
            cost.failure_probability <= max_risk
                && (self.servers[*index].spec.local || has_remote_room)
        });
        let overdue = candidates.filter_map(|(index, _)| {
            let overdue_time = self.servers[*index].overdue_time(now, &self.heard, is_retryable)?;
            Some((overdue_time, *index))
        });
        overdue.max().map(|(_, index)| index)
    }

    /// Index and cost of each server that the request may be sent to.
    fn costs(&self, now: time::Time, pending: &pending::Request) -> Vec<(usize, cost::Cost)> {
        let arrival = &pending.arrival;
        let crashed = arrival.fingerprint.and_then(|f| self.poison.crashed_run(f));
        let profile = self.request_profile(arrival);
        let servers = self.servers.iter().enumerate();
        let eligible = servers.filter(|(_, server)| {
            let handle = server.spec.handle;
            !pending.tried_servers.contains(&handle)
                && !pending.unreachable_servers.contains(&handle)
                && crashed != Some(server.run())
        });
        let max_risk = self.max_risk(now, pending);
        let costs = eligible.filter_map(|(index, s)| s.cost(now, &profile).map(|c| (index, c)));
        let costs = costs.filter(|(_, cost)| cost.failure_probability <= max_risk);
        costs.collect()
    }

    /// Properties of a request that affect the cost of its attempts.
    pub(super) fn request_profile(&self, arrival: &event::Arrival) -> server::RequestProfile {
        server::RequestProfile {
            max_queued_ratio: self.max_queued_ratio(arrival),
            expected_response_bytes: arrival.expected_response_bytes,
            queue_wait_cost: self
                .typical_latency()
                .div_duration_f64(self.latency_objective(arrival)),
        }
    }

    /// Maximum number of attempts queued at a server beyond its slots, as a multiple of the slots:
    /// with more of them the response would be late, without any more requests being served.
    fn max_queued_ratio(&self, arrival: &event::Arrival) -> f64 {
        let [low, high] = MAX_QUEUED_RATIOS;
        let max = if arrival.priority >= LOWEST_PRIORITY {
            low
        } else {
            high
        };
        let Some(service_time) = self.mean_service_time else {
            return max;
        };
        let in_time = self
            .latency_objective(arrival)
            .mul_f64(OBJECTIVE_SHARE)
            .div_duration_f64(service_time.max(Duration::from_millis(1)));
        (in_time - 1.0).clamp(MIN_QUEUED_RATIO, max)
    }

    /// Latency objective of a request.
    pub(super) fn latency_objective(&self, arrival: &event::Arrival) -> Duration {
        let objective = arrival.objective.unwrap_or(self.latency_objective);
        objective.max(Duration::from_millis(1))
    }
}
