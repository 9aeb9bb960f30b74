//! Entry sets: the daemons that callers of a service connect to.
//!
//! A set is small, so that the load, the connections and the evidence of one service concentrate
//! on few daemons, and spans data centres, so that the loss of one leaves the others. It is
//! selected by rendezvous hashing over the daemons in the regions where the service has servers:
//! daemons need no agreement, and a member that joins or leaves moves only its own share.
//!
//! [`Directory`] stores the sets of all services. A membership change costs one hash for each
//! pair of service and new member, and a new selection only for the few affected services.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

use arc_swap::ArcSwap;
use monsooncart_config::{service, snapshot};
use monsooncart_policy::membership::member;
use monsooncart_policy::rank;
use monsooncart_types::{id, map};

/// A service's entry set, ordered by rank.
#[derive(Clone, Debug)]
pub struct Set {
    /// Daemons of the set.
    pub members: Arc<[member::Member]>,
    /// Regions whose daemons are candidates; empty if all are.
    regions: Arc<BTreeSet<id::Region>>,
    service: Arc<service::Service>,
    /// Rendezvous weights of the daemons.
    weights: Arc<[u64]>,
    /// Position of the last daemon if the set is full; later positions do not affect the set.
    last_position: Option<Position>,
}

/// A daemon's position in a set: ordered by rank within its data centre, then by descending weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    rank: usize,
    weight: Reverse<u64>,
}

/// State of the directory, replaced as a whole.
#[derive(Clone, Default)]
struct State {
    eligible: Arc<Vec<member::Member>>,
    sets: Arc<map::Map<id::Service, Set>>,
}

/// Entry sets of all services.
pub struct Directory {
    /// Maximum number of daemons in a set.
    set_size: usize,
    state: ArcSwap<State>,
}

impl Directory {
    /// Creates an empty directory of sets with at most `set_size` daemons each.
    #[must_use]
    pub fn new(set_size: usize) -> Self {
        Self {
            set_size: set_size.max(1),
            state: ArcSwap::default(),
        }
    }

    /// The entry set of a service; empty for an unknown service.
    #[must_use]
    pub fn entry_set(&self, service: &id::Service) -> Arc<[member::Member]> {
        let state = self.state.load();
        let set = state.sets.get(service);
        set.map_or_else(|| Arc::from([]), |set| set.members.clone())
    }

    /// Applies the configuration and the membership; returns the services whose sets changed.
    ///
    /// Must not be called concurrently.
    pub fn update(
        &self,
        snapshot: &snapshot::Snapshot,
        members: &[member::Member],
    ) -> Vec<id::Service> {
        let old = self.state.load_full();
        let eligible: Vec<_> = members.iter().filter(|m| m.is_eligible()).collect();
        let (added, removed) = diff_members(&old.eligible, &eligible);
        let mut sets = old.sets.clone();
        let mut changed = Vec::new();
        let mut service_count = 0;
        for service in snapshot.services() {
            service_count += 1;
            let current = old.sets.get(&service.name);
            let unchanged = current.filter(|set| Arc::ptr_eq(&set.service, service));
            if unchanged.is_some_and(|set| !is_affected(set, &added, &removed)) {
                continue;
            }
            let set = self.build_set(snapshot, service, &eligible);
            if current.is_none_or(|current| current.members != set.members) {
                changed.push(service.name.clone());
            }
            Arc::make_mut(&mut sets).insert(service.name.clone(), set);
        }
        if service_count < sets.len() {
            Arc::make_mut(&mut sets).retain(|name, _| snapshot.service(name).is_some());
        }
        let members_changed = !added.is_empty() || !removed.is_empty();
        let eligible = match members_changed {
            true => Arc::new(eligible.into_iter().cloned().collect()),
            false => old.eligible.clone(),
        };
        self.state.store(Arc::new(State { eligible, sets }));
        changed
    }

    fn build_set(
        &self,
        snapshot: &snapshot::Snapshot,
        service: &Arc<service::Service>,
        eligible: &[&member::Member],
    ) -> Set {
        let regions = regions(snapshot, service);
        let in_regions = |m: &&&member::Member| regions.is_empty() || regions.contains(&m.region);
        let mut candidates: Vec<_> = eligible.iter().filter(in_regions).copied().collect();
        let mut regions = Arc::new(regions);
        if candidates.is_empty() {
            candidates.extend(eligible);
            regions = Arc::default();
        }
        let members: Arc<[member::Member]> = select(service, &candidates, self.set_size)
            .into_iter()
            .cloned()
            .collect();
        let key = service.name.as_bytes();
        let weights: Arc<[u64]> = members.iter().map(|m| rank::weight(key, &m.vm)).collect();
        let position = |(member, weight): (&member::Member, &u64)| {
            earliest_position(&members, &weights, &member.data_centre, *weight)
        };
        let last = members.iter().zip(weights.iter()).map(position).max();
        Set {
            last_position: last.filter(|_| members.len() == self.set_size),
            weights,
            members,
            regions,
            service: service.clone(),
        }
    }
}

/// Whether a membership change may change a set.
fn is_affected(
    set: &Set,
    added: &[&member::Member],
    removed: &map::Set<monsooncart_types::instance::Instance>,
) -> bool {
    if set.members.iter().any(|m| removed.contains(&m.instance)) {
        return true;
    }
    let key = set.service.name.as_bytes();
    added.iter().any(|member| {
        let in_regions = set.regions.is_empty() || set.regions.contains(&member.region);
        in_regions
            && set.last_position.is_none_or(|last| {
                let weight = rank::weight(key, &member.vm);
                earliest_position(&set.members, &set.weights, &member.data_centre, weight) <= last
            })
    })
}

/// The earliest possible position of a daemon in `data_centre` with `weight`.
///
/// Daemons of that data centre with a greater weight that are not in the set would make the actual
/// position later.
fn earliest_position(
    members: &[member::Member],
    weights: &[u64],
    data_centre: &id::DataCentre,
    weight: u64,
) -> Position {
    let weighted = members.iter().zip(weights);
    let ahead = weighted.filter(|(m, w)| m.data_centre == *data_centre && **w > weight);
    Position {
        rank: ahead.count(),
        weight: Reverse(weight),
    }
}

/// Members that joined or changed, and instances that left or changed.
fn diff_members<'a>(
    old: &[member::Member],
    new: &[&'a member::Member],
) -> (
    Vec<&'a member::Member>,
    map::Set<monsooncart_types::instance::Instance>,
) {
    let old_by_instance: map::Map<_, _> = old.iter().map(|m| (m.instance, m)).collect();
    let new_by_instance: map::Map<_, _> = new.iter().map(|m| (m.instance, *m)).collect();
    let is_same = |a: &member::Member, b: &member::Member| a.callers == b.callers && a.vm == b.vm;
    let is_kept = |m: &member::Member| {
        new_by_instance
            .get(&m.instance)
            .is_some_and(|a| is_same(a, m))
    };
    let is_known = |m: &member::Member| {
        old_by_instance
            .get(&m.instance)
            .is_some_and(|b| is_same(b, m))
    };
    let added = new.iter().copied().filter(|m| !is_known(m)).collect();
    let removed = old.iter().filter(|m| !is_kept(m)).map(|m| m.instance);
    (added, removed.collect())
}

/// Regions in which a service has servers.
fn regions(snapshot: &snapshot::Snapshot, service: &service::Service) -> BTreeSet<id::Region> {
    let data_centres: BTreeSet<_> = service.servers.iter().map(|s| &s.data_centre).collect();
    let zones = snapshot.zones().iter();
    let zones = zones.filter(|zone| data_centres.contains(&zone.data_centre));
    zones.map(|zone| zone.region.clone()).collect()
}

/// Selects up to `set_size` daemons: the best ranked of each data centre first, then the second
/// best, and so on.
fn select<'a>(
    service: &service::Service,
    candidates: &[&'a member::Member],
    set_size: usize,
) -> Vec<&'a member::Member> {
    let all = candidates.iter().copied();
    let ranked = rank::top(service.name.as_bytes(), all, candidates.len());
    let mut next_rounds = map::Map::<&id::DataCentre, usize>::default();
    let mut members_by_round: Vec<(usize, &member::Member)> = Vec::with_capacity(ranked.len());
    for member in ranked {
        let round = next_rounds.entry(&member.data_centre).or_default();
        members_by_round.push((*round, member));
        *round += 1;
    }
    members_by_round.sort_by_key(|(round, _)| *round);
    members_by_round.truncate(set_size);
    members_by_round
        .into_iter()
        .map(|(_, member)| member)
        .collect()
}
