//! Which daemons the callers of a data centre are to use.
//!
//! A few daemons of each data centre: there the load, the connections and the evidence of its
//! servers meet. Callers choose among them evenly, so that as many as the least of them can carry
//! count; the strongest go first, and rendezvous hashing orders those alike. A daemon that misses
//! probes is left out at once, unless too few are left without it.

use std::sync::Arc;

use arc_swap::ArcSwap;
use monsooncart_policy::membership::member;
use monsooncart_policy::rank;
use monsooncart_types::{id, map};

/// Part of what a data centre's daemons can carry that its entry set is to be able to.
const SHARE: f64 = 0.4;

/// Key by which daemons are ranked.
const KEY: &[u8] = b"entries";

type Sets = map::Map<id::DataCentre, Vec<member::Member>>;

/// The entry sets of all data centres.
pub struct Entries {
    count: usize,
    sets: ArcSwap<Sets>,
}

impl Entries {
    /// Sets of `count` daemons each, without members.
    #[must_use]
    pub fn new(count: usize) -> Self {
        Self {
            count: count.max(1),
            sets: ArcSwap::default(),
        }
    }

    /// Follows the members; whether a set changed.
    ///
    /// One task at a time calls it.
    pub fn follow(&self, members: &[member::Member]) -> bool {
        let mut centres: map::Map<_, Vec<&member::Member>> = map::Map::default();
        for member in members.iter().filter(|m| m.is_eligible()) {
            let centre = centres.entry(member.data_centre.clone()).or_default();
            centre.push(member);
        }
        let choose = |members: &[&member::Member]| {
            let alive = members.iter().filter(|m| m.state == member::State::Alive);
            let alive: Vec<_> = alive.copied().collect();
            let candidates = if alive.is_empty() { members } else { &alive };
            self.choose(candidates)
        };
        let sets = centres
            .into_iter()
            .map(|(c, members)| (c, choose(&members)));
        let sets: Sets = sets.collect();
        if sets == **self.sets.load() {
            return false;
        }
        let named = sets.values().flatten().map(|m| m.vm.as_str());
        let named: Vec<_> = named.collect();
        log::info!(daemons = named.join(","); "directory: entry sets changed");
        self.sets.store(Arc::new(sets));
        true
    }

    /// The fewest of the strongest daemons that can carry their share between them.
    fn choose(&self, candidates: &[&member::Member]) -> Vec<member::Member> {
        let all = candidates.iter().copied();
        let mut ranked = rank::top(KEY, all, candidates.len());
        ranked.sort_by_key(|m| std::cmp::Reverse(m.capacity));
        let total: f64 = ranked.iter().map(|m| f64::from(m.capacity)).sum();
        let carries = |(place, m): (usize, &&member::Member)| {
            (place + 1) as f64 * f64::from(m.capacity) >= total * SHARE
        };
        let count = ranked.iter().enumerate().position(carries);
        let count = count.map_or(ranked.len(), |place| place + 1);
        ranked.truncate(count.max(self.count));
        ranked.into_iter().cloned().collect()
    }

    /// The daemons for callers of a data centre; those of all where it has none or is not known.
    #[must_use]
    pub fn near(&self, data_centre: Option<&id::DataCentre>) -> Vec<member::Member> {
        let sets = self.sets.load();
        let near = data_centre.and_then(|centre| sets.get(centre));
        near.map_or_else(|| self.all(), Vec::clone)
    }

    /// The daemons of all sets.
    #[must_use]
    pub fn all(&self) -> Vec<member::Member> {
        self.sets.load().values().flatten().cloned().collect()
    }

    /// Number of daemons in all sets, at least one.
    #[must_use]
    pub fn count(&self) -> usize {
        self.sets
            .load()
            .values()
            .map(Vec::len)
            .sum::<usize>()
            .max(1)
    }
}
