//! Which daemons the callers of a service are to use: its entry set.
//!
//! The set is small, so that the load, the connections and the evidence of one service meet on few
//! daemons, and spread over data centres, so that the loss of one leaves the others. It is chosen
//! by rendezvous hashing over the daemons of the regions that the service has servers in: nothing
//! has to be agreed, and a member that comes or goes moves only its own share.
//!
//! [`Directory`] keeps the sets of all services. A change of members costs one hash for each
//! service and new member, and a new choice for the few services that it touches.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

use arc_swap::ArcSwap;
use monsooncart_config::{service, snapshot};
use monsooncart_policy::membership::member;
use monsooncart_policy::rank;
use monsooncart_types::{id, map};

/// A service's entry set, in the order of rank.
#[derive(Clone, Debug)]
pub struct Set {
    /// The daemons.
    pub members: Arc<[member::Member]>,
    regions: Arc<BTreeSet<id::Region>>,
    specification: Arc<service::Service>,
    /// Weights of the daemons.
    weights: Arc<[u64]>,
    /// Place of the last daemon, where the set is full: one that comes after it changes nothing.
    last: Option<Place>,
}

/// A daemon's place in a set: the better it ranks among its data centre's daemons, the earlier, and
/// the greater its weight, the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    rank: usize,
    weight: Reverse<u64>,
}

/// What the directory holds at one moment.
#[derive(Clone, Default)]
struct State {
    eligible: Arc<Vec<member::Member>>,
    sets: Arc<map::Map<id::Service, Set>>,
}

/// The entry sets of all services.
pub struct Directory {
    count: usize,
    state: ArcSwap<State>,
}

impl Directory {
    /// A directory of sets with `count` daemons each, without services.
    #[must_use]
    pub fn new(count: usize) -> Self {
        Self {
            count: count.max(1),
            state: ArcSwap::default(),
        }
    }

    /// The entry set of a service; empty for an unknown one.
    #[must_use]
    pub fn entry_set(&self, service: &id::Service) -> Arc<[member::Member]> {
        let state = self.state.load();
        let set = state.sets.get(service);
        set.map_or_else(|| Arc::from([]), |set| set.members.clone())
    }

    /// Follows the configuration and the members; gives the services whose sets changed.
    ///
    /// One task at a time calls it.
    pub fn update(
        &self,
        snapshot: &snapshot::Snapshot,
        members: &[member::Member],
    ) -> Vec<id::Service> {
        let old = self.state.load_full();
        let eligible: Vec<_> = members.iter().filter(|m| m.is_eligible()).collect();
        let (added, removed) = difference(&old.eligible, &eligible);
        let mut sets = old.sets.clone();
        let mut changed = Vec::new();
        let mut count = 0;
        for service in snapshot.services() {
            count += 1;
            let held = old.sets.get(&service.name);
            let kept = held.filter(|set| Arc::ptr_eq(&set.specification, service));
            if kept.is_some_and(|set| !touches(set, &added, &removed)) {
                continue;
            }
            let set = self.choose(snapshot, service, &eligible);
            if held.is_none_or(|held| held.members != set.members) {
                changed.push(service.name.clone());
            }
            Arc::make_mut(&mut sets).insert(service.name.clone(), set);
        }
        if count < sets.len() {
            Arc::make_mut(&mut sets).retain(|name, _| snapshot.service(name).is_some());
        }
        let moved = !added.is_empty() || !removed.is_empty();
        let eligible = match moved {
            true => Arc::new(eligible.into_iter().cloned().collect()),
            false => old.eligible.clone(),
        };
        self.state.store(Arc::new(State { eligible, sets }));
        changed
    }

    fn choose(
        &self,
        snapshot: &snapshot::Snapshot,
        service: &Arc<service::Service>,
        eligible: &[&member::Member],
    ) -> Set {
        let regions = regions(snapshot, service);
        let near = |m: &&&member::Member| regions.is_empty() || regions.contains(&m.region);
        let mut candidates: Vec<_> = eligible.iter().filter(near).copied().collect();
        let mut regions = Arc::new(regions);
        if candidates.is_empty() {
            candidates.extend(eligible);
            regions = Arc::default();
        }
        let members: Arc<[member::Member]> = choose(service, &candidates, self.count)
            .into_iter()
            .cloned()
            .collect();
        let key = service.name.as_bytes();
        let weights: Arc<[u64]> = members.iter().map(|m| rank::weight(key, &m.vm)).collect();
        let place = |(member, weight): (&member::Member, &u64)| {
            place(&members, &weights, &member.data_centre, *weight)
        };
        let last = members.iter().zip(weights.iter()).map(place).max();
        Set {
            last: last.filter(|_| members.len() == self.count),
            weights,
            members,
            regions,
            specification: service.clone(),
        }
    }
}

/// Whether a change of members may change a set.
fn touches(
    set: &Set,
    added: &[&member::Member],
    removed: &map::Set<monsooncart_types::instance::Instance>,
) -> bool {
    if set.members.iter().any(|m| removed.contains(&m.instance)) {
        return true;
    }
    let key = set.specification.name.as_bytes();
    added.iter().any(|member| {
        let near = set.regions.is_empty() || set.regions.contains(&member.region);
        near && set.last.is_none_or(|last| {
            let weight = rank::weight(key, &member.vm);
            place(&set.members, &set.weights, &member.data_centre, weight) <= last
        })
    })
}

/// The earliest place that a daemon of `data_centre` with `weight` can have.
///
/// Daemons of its data centre that are not in the set and have a greater weight would make the
/// place later.
fn place(
    members: &[member::Member],
    weights: &[u64],
    data_centre: &id::DataCentre,
    weight: u64,
) -> Place {
    let before = members.iter().zip(weights);
    let before = before.filter(|(m, w)| m.data_centre == *data_centre && **w > weight);
    Place {
        rank: before.count(),
        weight: Reverse(weight),
    }
}

/// The daemons that came, and the runs that went or changed.
fn difference<'a>(
    old: &[member::Member],
    new: &[&'a member::Member],
) -> (
    Vec<&'a member::Member>,
    map::Set<monsooncart_types::instance::Instance>,
) {
    let before: map::Map<_, _> = old.iter().map(|m| (m.instance, m)).collect();
    let after: map::Map<_, _> = new.iter().map(|m| (m.instance, *m)).collect();
    let same = |a: &member::Member, b: &member::Member| a.callers == b.callers && a.vm == b.vm;
    let stays = |m: &member::Member| after.get(&m.instance).is_some_and(|a| same(a, m));
    let known = |m: &member::Member| before.get(&m.instance).is_some_and(|b| same(b, m));
    let added = new.iter().copied().filter(|m| !known(m)).collect();
    let removed = old.iter().filter(|m| !stays(m)).map(|m| m.instance);
    (added, removed.collect())
}

/// The regions that a service has servers in.
fn regions(snapshot: &snapshot::Snapshot, service: &service::Service) -> BTreeSet<id::Region> {
    let centres: BTreeSet<_> = service.servers.iter().map(|s| &s.data_centre).collect();
    let zones = snapshot.zones().iter();
    let zones = zones.filter(|zone| centres.contains(&zone.data_centre));
    zones.map(|zone| zone.region.clone()).collect()
}

/// The best ranked daemon of each data centre first, then the next ones, until there are `count`.
fn choose<'a>(
    service: &service::Service,
    candidates: &[&'a member::Member],
    count: usize,
) -> Vec<&'a member::Member> {
    let all = candidates.iter().copied();
    let ranked = rank::top(service.name.as_bytes(), all, candidates.len());
    let mut seen = map::Map::<&id::DataCentre, usize>::default();
    let mut rounds: Vec<(usize, &member::Member)> = Vec::with_capacity(ranked.len());
    for member in ranked {
        let round = seen.entry(&member.data_centre).or_default();
        rounds.push((*round, member));
        *round += 1;
    }
    rounds.sort_by_key(|(round, _)| *round);
    rounds.truncate(count);
    rounds.into_iter().map(|(_, member)| member).collect()
}
