//! Lists of members derived from one version of the table, cached for the protocol.

use std::net;

use monsooncart_types::{id, map};

use super::{member, table};
use crate::rank;

/// Key by which the delegates of a region are ranked.
const DELEGATE_RANK_KEY: &[u8] = b"delegates";

/// Lists derived from one version of the table.
#[derive(Default)]
pub struct View {
    /// Version of the table that the lists are derived from.
    pub table_version: u64,
    /// Live members of this daemon's region, other than itself, sorted.
    pub peers: Vec<id::Vm>,
    /// Delegates of each other region that has any, sorted by region.
    pub delegates: Vec<Vec<id::Vm>>,
    /// Whether this daemon is a delegate of its own region.
    pub is_delegate: bool,
    /// Peer addresses of all live members, including this daemon.
    pub live_addresses: map::Set<net::SocketAddr>,
}

fn delegates(members: &[&member::Member], count: usize) -> Vec<id::Vm> {
    let eligible = members.iter().copied().filter(|m| m.is_eligible());
    let top = rank::top(DELEGATE_RANK_KEY, eligible, count);
    top.into_iter().map(|m| m.vm.clone()).collect()
}

impl View {
    /// Derives the lists of the daemon `local`, with `count` delegates per region.
    #[must_use]
    pub fn new(table: &table::Table, local: &member::Member, count: usize) -> Self {
        let mut regions = std::collections::BTreeMap::<&id::Region, Vec<_>>::new();
        for member in table.members().filter(|m| m.state.is_live()) {
            regions.entry(&member.region).or_default().push(member);
        }
        let own_region = regions.remove(&local.region).unwrap_or_default();
        let others = own_region.iter().filter(|m| m.vm != local.vm);
        let mut peers: Vec<_> = others.map(|m| m.vm.clone()).collect();
        peers.sort_unstable();
        let remote = regions.values().map(|members| delegates(members, count));
        let live = table.members().filter(|m| m.state.is_live());
        Self {
            table_version: table.version(),
            peers,
            delegates: remote.filter(|delegates| !delegates.is_empty()).collect(),
            is_delegate: delegates(&own_region, count).contains(&local.vm),
            live_addresses: live.map(|m| m.peers).collect(),
        }
    }
}
