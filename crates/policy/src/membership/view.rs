//! Lists of members derived from one version of the table, cached for the protocol.

use std::net;

use monsooncart_types::{id, map};

use super::{member, table};
use crate::rank;

/// Key for ranking the delegates of a region.
const DELEGATES: &[u8] = b"delegates";

/// Lists derived from one version of the table.
#[derive(Default)]
pub struct View {
    /// Version of the table.
    pub version: u64,
    /// Live members of this daemon's region, other than itself, sorted.
    pub peers: Vec<id::Vm>,
    /// Delegates of each other region that has any, sorted by region.
    pub delegates: Vec<Vec<id::Vm>>,
    /// Whether this daemon is a delegate of its own region.
    pub is_delegate: bool,
    /// Peer addresses of all live members, including this daemon.
    pub live: map::Set<net::SocketAddr>,
}

fn delegates(members: &[&member::Member], count: usize) -> Vec<id::Vm> {
    let eligible = members.iter().copied().filter(|m| m.is_eligible());
    let top = rank::top(DELEGATES, eligible, count);
    top.into_iter().map(|m| m.vm.clone()).collect()
}

impl View {
    /// Derives the view of daemon `me`, with `count` delegates per region.
    #[must_use]
    pub fn new(table: &table::Table, me: &member::Member, count: usize) -> Self {
        let mut regions = std::collections::BTreeMap::<&id::Region, Vec<_>>::new();
        for member in table.members().filter(|m| m.state.is_live()) {
            regions.entry(&member.region).or_default().push(member);
        }
        let local = regions.remove(&me.region).unwrap_or_default();
        let others = local.iter().filter(|m| m.vm != me.vm);
        let mut peers: Vec<_> = others.map(|m| m.vm.clone()).collect();
        peers.sort_unstable();
        let remote = regions.values().map(|members| delegates(members, count));
        let live = table.members().filter(|m| m.state.is_live());
        Self {
            version: table.version(),
            peers,
            delegates: remote.filter(|delegates| !delegates.is_empty()).collect(),
            is_delegate: delegates(&local, count).contains(&me.vm),
            live: live.map(|m| m.peers).collect(),
        }
    }
}
