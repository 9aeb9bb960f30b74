//! Queue of requests that wait for a slot.
//!
//! The queue is bounded, and fair between organisations by deficit round robin: under load each
//! organisation gets slots in proportion to its weight, independent of its request rate. A request
//! that is not expected to meet its deadline, given its position and the pace of the queue, is not
//! queued: it is refused on arrival, or as soon as the pace becomes too slow. When the queue is
//! full, the newest request of the organisation with the most queued requests for its weight is
//! displaced.

pub mod lane;
pub mod pace;
pub mod waiter;

use std::collections::VecDeque;

use monsooncart_types::{map, time};

use crate::handle;

/// Deficit in requests from which a lane may be served; slightly below one to absorb rounding
/// errors.
const MIN_DEFICIT: f64 = 1.0 - 1e-9;

/// A fair, bounded, deadline-aware queue.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: map::Map<handle::Organisation, lane::Lane>,
    /// Organisations with a lane; the first is served next.
    round_robin: VecDeque<handle::Organisation>,
    total_weight: u64,
    len: usize,
}

/// Result of [`Queue::push`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is queued.
    Queued,
    /// The request is queued in place of this one, which was removed.
    Displaced(handle::Request),
    /// The request would miss its deadline, or the queue is full.
    Refused,
}

impl Queue {
    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The queued requests, in no particular order.
    pub fn requests(&self) -> impl Iterator<Item = handle::Request> {
        let waiters = self.lanes.values().flat_map(|l| l.waiters.iter());
        waiters.map(|w| w.request)
    }

    /// Adds a request of an organisation if it is expected to meet its deadline; `capacity` is the
    /// maximum number of queued requests.
    pub fn push(
        &mut self,
        now: time::Time,
        organisation: handle::Organisation,
        weight: u32,
        waiter: waiter::Waiter,
        pace: &pace::Pace,
        capacity: usize,
    ) -> Admission {
        let weight = weight.max(1);
        let lane_len = self.lanes.get(&organisation).map_or(0, |l| l.waiters.len());
        let ahead = self.requests_ahead(lane_len, weight, !self.lanes.contains_key(&organisation));
        if now + pace.expected_head_delay(ahead) > waiter.deadline {
            return Admission::Refused;
        }
        if self.len < capacity {
            self.append(organisation, weight, waiter);
            return Admission::Queued;
        }
        let Some(longest) = self.longest_lane() else {
            return Admission::Refused;
        };
        let share = |len: usize, weight: u32| len as f64 / f64::from(weight);
        let lane = &self.lanes[&longest];
        if share(lane.waiters.len(), lane.weight) <= share(lane_len + 1, weight) {
            return Admission::Refused;
        }
        let Some(displaced) = self.pop_back(longest) else {
            return Admission::Refused;
        };
        self.append(organisation, weight, waiter);
        Admission::Displaced(displaced.request)
    }

    /// Puts back a popped request at the head of its organisation's lane, with its deficit.
    pub fn push_front(
        &mut self,
        organisation: handle::Organisation,
        weight: u32,
        waiter: waiter::Waiter,
    ) {
        let lane = self.lane_mut(organisation, weight.max(1));
        lane.waiters.push_front(waiter);
        lane.deficit += 1.0;
        self.len += 1;
    }

    /// Removes the next request by deficit round robin.
    pub fn pop(&mut self) -> Option<(handle::Organisation, waiter::Waiter)> {
        if self.len == 0 {
            return None;
        }
        if !self.lanes.values().any(|l| l.deficit >= MIN_DEFICIT) {
            self.replenish();
        }
        while let Some(&organisation) = self.round_robin.front() {
            let lane = self.lanes.get_mut(&organisation)?;
            if lane.deficit < MIN_DEFICIT {
                self.round_robin.rotate_left(1);
                continue;
            }
            lane.deficit -= 1.0;
            let waiter = lane.waiters.pop_front()?;
            self.len -= 1;
            self.remove_if_empty(organisation);
            return Some((organisation, waiter));
        }
        None
    }

    /// Removes a request; returns whether it was queued.
    pub fn remove(&mut self, organisation: handle::Organisation, request: handle::Request) -> bool {
        let Some(lane) = self.lanes.get_mut(&organisation) else {
            return false;
        };
        let Some(index) = lane.waiters.iter().position(|w| w.request == request) else {
            return false;
        };
        lane.waiters.remove(index);
        self.len -= 1;
        self.remove_if_empty(organisation);
        true
    }

    /// Removes and returns the requests that are no longer expected to meet their deadlines.
    pub fn remove_late(&mut self, now: time::Time, pace: &pace::Pace) -> Vec<handle::Request> {
        let mut late = Vec::new();
        let (total_weight, queued) = (self.total_weight as f64, self.len as f64);
        for lane in self.lanes.values_mut() {
            let scale = total_weight / f64::from(lane.weight);
            let mut kept = 0.0;
            lane.waiters.retain(|waiter| {
                let ahead = (kept * scale).min(queued);
                let on_time = now + pace.expected_head_delay(ahead) <= waiter.deadline;
                if on_time {
                    kept += 1.0;
                } else {
                    late.push(waiter.request);
                }
                on_time
            });
        }
        self.len -= late.len();
        if !late.is_empty() {
            let empty = |lane: &lane::Lane| lane.waiters.is_empty();
            let emptied: Vec<_> = self.lanes.iter().filter(|(_, l)| empty(l)).collect();
            let emptied: Vec<_> = emptied.into_iter().map(|(&o, _)| o).collect();
            emptied.into_iter().for_each(|o| self.remove_if_empty(o));
        }
        late
    }

    /// Estimated number of requests that get a slot before a request that has `lane_len` requests
    /// of its own organisation ahead of it.
    fn requests_ahead(&self, lane_len: usize, weight: u32, is_new_lane: bool) -> f64 {
        let weights = self.total_weight + if is_new_lane { u64::from(weight) } else { 0 };
        let fair = lane_len as f64 * weights as f64 / f64::from(weight);
        let others = weights as f64 / f64::from(weight) - 1.0;
        (fair + others).min(self.len as f64)
    }

    fn append(&mut self, organisation: handle::Organisation, weight: u32, waiter: waiter::Waiter) {
        self.lane_mut(organisation, weight)
            .waiters
            .push_back(waiter);
        self.len += 1;
    }

    fn lane_mut(&mut self, organisation: handle::Organisation, weight: u32) -> &mut lane::Lane {
        let lane = self.lanes.entry(organisation).or_insert_with(|| {
            self.round_robin.push_back(organisation);
            lane::Lane::default()
        });
        self.total_weight = self.total_weight - u64::from(lane.weight) + u64::from(weight);
        lane.weight = weight;
        lane
    }

    /// The organisation with the most queued requests for its weight.
    fn longest_lane(&self) -> Option<handle::Organisation> {
        let share = |l: &lane::Lane| l.waiters.len() as f64 / f64::from(l.weight);
        let order = |a: &(f64, handle::Organisation), b: &(f64, handle::Organisation)| {
            a.0.total_cmp(&b.0).then(b.1.cmp(&a.1))
        };
        let shares = self.lanes.iter().map(|(&o, l)| (share(l), o));
        shares.max_by(order).map(|(_, o)| o)
    }

    fn pop_back(&mut self, organisation: handle::Organisation) -> Option<waiter::Waiter> {
        let waiter = self.lanes.get_mut(&organisation)?.waiters.pop_back()?;
        self.len -= 1;
        self.remove_if_empty(organisation);
        Some(waiter)
    }

    /// Runs as many rounds of the round robin as are needed until one lane may be served; a round
    /// adds to the deficit of each lane its quantum.
    fn replenish(&mut self) {
        let heaviest = self.lanes.values().map(|l| l.weight).max().unwrap_or(1);
        let quantum = |l: &lane::Lane| f64::from(l.weight) / f64::from(heaviest);
        let needed = |l: &lane::Lane| ((1.0 - l.deficit) / quantum(l)).ceil().max(1.0);
        let rounds = self
            .lanes
            .values()
            .map(needed)
            .fold(f64::INFINITY, f64::min);
        for lane in self.lanes.values_mut() {
            lane.deficit += rounds * quantum(lane);
        }
    }

    fn remove_if_empty(&mut self, organisation: handle::Organisation) {
        let empty = |l: &lane::Lane| l.waiters.is_empty();
        if !self.lanes.get(&organisation).is_some_and(empty) {
            return;
        }
        if let Some(lane) = self.lanes.remove(&organisation) {
            self.total_weight -= u64::from(lane.weight);
        }
        self.round_robin.retain(|&o| o != organisation);
    }
}
