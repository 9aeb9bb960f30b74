//! Which server an attempt goes to.

use std::time::Duration;

use monsooncart_types::time;
use rand::RngExt as _;

use super::{Pending, Selector, cost, server};
use crate::event;

/// Difference in cost below which servers are taken for equal, so that daemons do not all choose
/// the same one.
const EQUAL: f64 = 0.01;

/// The least and the second least of some costs; infinite where there are too few.
fn least_two(costs: impl Iterator<Item = f64>) -> (f64, f64) {
    costs.fold((f64::INFINITY, f64::INFINITY), |(least, second), cost| {
        if cost < least {
            (cost, least)
        } else {
            (least, second.min(cost))
        }
    })
}

impl Selector {
    /// The server that costs the least; at random between those that cost about the same.
    ///
    /// A request that can be sent once more elsewhere is weighed with the best server for that.
    pub(super) fn choose(&mut self, now: time::Time, pending: &Pending) -> Option<usize> {
        let arrival = &pending.arrival;
        let left = arrival.attempts.saturating_sub(pending.tried.len() as u32);
        if left == 0 {
            return None;
        }
        let costs = self.costs(now, pending);
        let first = arrival.repeatable && left > 1 && pending.tried.is_empty();
        let first = first && self.budget.affords(now, self.daemons);
        let (best, second) = least_two(costs.iter().map(|(_, cost)| cost.last()));
        let total = |cost: &cost::Cost| {
            if !first {
                return cost.last();
            }
            let is_best = cost.last() <= best;
            cost.first(if is_best { second } else { best })
        };
        let totals: Vec<(usize, f64)> = costs.iter().map(|(p, cost)| (*p, total(cost))).collect();
        let (least, _) = least_two(totals.iter().map(|(_, total)| *total));
        let equal: Vec<usize> = totals
            .iter()
            .filter(|(_, total)| *total <= least + EQUAL)
            .map(|(place, _)| *place)
            .collect();
        if equal.is_empty() {
            return None;
        }
        equal.get(self.rng.random_range(0..equal.len())).copied()
    }

    /// What an attempt costs at each server that may take it.
    fn costs(&self, now: time::Time, pending: &Pending) -> Vec<(usize, cost::Cost)> {
        let arrival = &pending.arrival;
        let broke = arrival
            .fingerprint
            .and_then(|f| self.poison.crashed_server(f));
        let errand = server::Errand {
            priority: arrival.priority,
            answer_bytes: arrival.expected_response_bytes,
            wait_unit: self.usual().div_duration_f64(self.objective(arrival)),
        };
        let servers = self.servers.iter().enumerate();
        let untried = servers.filter(|(_, server)| {
            let handle = server.spec.handle;
            !pending.tried.contains(&handle) && broke != Some(handle)
        });
        let costs = untried.filter_map(|(place, s)| s.cost(now, &errand).map(|c| (place, c)));
        costs.collect()
    }

    pub(super) fn objective(&self, arrival: &event::Arrival) -> Duration {
        let objective = arrival.objective.unwrap_or(self.promise);
        objective.max(Duration::from_millis(1))
    }
}
