//! Entry sets by data centre: the daemons that callers of a data centre connect to.
//!
//! Each set has few daemons, so that the load, the connections and the evidence of the data
//! centre's servers concentrate there. Callers choose among them evenly, so the capacity of a set
//! is its size times the capacity of its weakest daemon. Daemons are ordered by descending capacity
//! and, at equal capacity, by rendezvous hashing. A daemon that misses probes is left out at once,
//! unless no daemon would be left; so is one that has lost its path to servers.

use std::sync::Arc;

use arc_swap::ArcSwap;
use monsooncart_policy::membership::member;
use monsooncart_policy::rank;
use monsooncart_types::{id, instance, map};

/// Share of the capacity of a data centre's daemons that its entry set must provide.
const CAPACITY_SHARE: f64 = 0.4;

/// Number of daemons of other data centres that are told which servers a data centre uses.
const OBSERVERS: usize = 4;

/// Rendezvous hashing key for daemons.
const RANK_KEY: &[u8] = b"entries";

type Sets = map::Map<id::DataCentre, Vec<member::Member>>;

/// Entry sets of all data centres.
pub struct Entries {
    min_set_size: usize,
    sets: ArcSwap<Sets>,
}

impl Entries {
    /// Creates empty entry sets, which select at least `min_set_size` daemons each if there are as
    /// many.
    #[must_use]
    pub fn new(min_set_size: usize) -> Self {
        Self {
            min_set_size: min_set_size.max(1),
            sets: ArcSwap::default(),
        }
    }

    /// Applies the membership and the daemons that have lost their path to servers; returns whether a
    /// set changed. A data centre has no set while all its daemons have lost theirs and daemons of
    /// others have not.
    ///
    /// Must not be called concurrently.
    pub fn update(&self, members: &[member::Member], lost: &map::Set<instance::Instance>) -> bool {
        let has_path = |m: &member::Member| !lost.contains(&m.instance);
        let is_any_with_path = members
            .iter()
            .any(|m| m.is_eligible() && m.state == member::State::Alive && has_path(m));
        let mut data_centres: map::Map<_, Vec<&member::Member>> = map::Map::default();
        let members = members.iter().filter(|m| m.is_eligible());
        for member in members.filter(|m| !is_any_with_path || has_path(m)) {
            let of_data_centre = data_centres.entry(member.data_centre.clone()).or_default();
            of_data_centre.push(member);
        }
        let select_alive_first = |members: &[&member::Member]| {
            let alive = members.iter().filter(|m| m.state == member::State::Alive);
            let alive: Vec<_> = alive.copied().collect();
            let candidates = if alive.is_empty() { members } else { &alive };
            self.select(candidates)
        };
        let sets = data_centres
            .into_iter()
            .map(|(data_centre, members)| (data_centre, select_alive_first(&members)));
        let sets: Sets = sets.collect();
        if sets == **self.sets.load() {
            return false;
        }
        let vms = sets.values().flatten().map(|m| m.vm.as_str());
        let vms: Vec<_> = vms.collect();
        log::info!(daemons = vms.join(","); "directory: entry sets changed");
        self.sets.store(Arc::new(sets));
        true
    }

    /// Selects the fewest of the strongest daemons that together provide the required capacity.
    fn select(&self, candidates: &[&member::Member]) -> Vec<member::Member> {
        let all = candidates.iter().copied();
        let mut ranked = rank::top(RANK_KEY, all, candidates.len());
        ranked.sort_by_key(|m| std::cmp::Reverse(m.capacity));
        let total: f64 = ranked.iter().map(|m| f64::from(m.capacity)).sum();
        let suffices = |(index, m): (usize, &&member::Member)| {
            (index + 1) as f64 * f64::from(m.capacity) >= total * CAPACITY_SHARE
        };
        let count = ranked.iter().enumerate().position(suffices);
        let count = count.map_or(ranked.len(), |index| index + 1);
        ranked.truncate(count.max(self.min_set_size));
        ranked.into_iter().cloned().collect()
    }

    /// Daemons for callers in a data centre; those of all sets if it is unknown or has no daemons.
    #[must_use]
    pub fn for_data_centre(&self, data_centre: Option<&id::DataCentre>) -> Vec<member::Member> {
        let sets = self.sets.load();
        let set = data_centre.and_then(|data_centre| sets.get(data_centre));
        set.map_or_else(|| self.all(), Vec::clone)
    }

    /// Daemons of all sets.
    #[must_use]
    pub fn all(&self) -> Vec<member::Member> {
        self.sets.load().values().flatten().cloned().collect()
    }

    /// Daemons of the sets of other data centres that are told which servers the daemons of a data centre
    /// use, so that they notice when these are lost. All daemons of the data centre tell the same ones.
    #[must_use]
    pub fn observers(&self, data_centre: &id::DataCentre) -> Vec<member::Member> {
        let sets = self.sets.load();
        let others = sets.values().flatten();
        let others = others.filter(|m| m.data_centre != *data_centre);
        let observers = rank::top(data_centre.as_bytes(), others, OBSERVERS);
        observers.into_iter().cloned().collect()
    }

    /// Instances of the daemons of all sets, in ascending order.
    #[must_use]
    pub fn instances(&self) -> Vec<instance::Instance> {
        let sets = self.sets.load();
        let mut instances: Vec<_> = sets.values().flatten().map(|m| m.instance).collect();
        instances.sort_unstable();
        instances
    }
}
