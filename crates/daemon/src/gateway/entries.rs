//! Which daemons the callers of a data centre are to use.
//!
//! A few daemons of each data centre, chosen by rendezvous hashing: there the load, the
//! connections and the evidence of its servers meet. A daemon that misses probes is left out at
//! once, unless too few are left without it.

use std::sync::Arc;

use arc_swap::ArcSwap;
use monsooncart_policy::membership::member;
use monsooncart_policy::rank;
use monsooncart_types::{id, map};

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
        let choose = |members: Vec<&member::Member>| {
            let alive = members.iter().filter(|m| m.state == member::State::Alive);
            let mut chosen = rank::top(KEY, alive.copied(), self.count);
            if chosen.is_empty() {
                chosen = rank::top(KEY, members, self.count);
            }
            chosen.into_iter().cloned().collect()
        };
        let sets = centres.into_iter().map(|(c, members)| (c, choose(members)));
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
