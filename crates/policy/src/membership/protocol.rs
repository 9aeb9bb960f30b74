//! State machine of the membership protocol.

mod exchange;
mod probe;
mod records;

use std::net;
use std::sync::Arc;
use std::time::Duration;

use monsooncart_types::{id, instance, map, time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::{action, event, member, queue, record, relays, suspicions, table, timings, view};
use crate::rank;
use crate::rollout::watcher;

/// Maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Maximum encoded size of a datagram without its records.
pub const MAX_HEADER_BYTES: usize = 112;

/// Maximum number of records in the dissemination queue.
const MAX_QUEUED_RECORDS: usize = 16_384;

/// Mean number of daemons of a region that notify a suspected member directly.
const MEAN_NOTIFIERS: f64 = 16.0;

/// Time between removals of the records whose retention has ended.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// The probe of the current interval.
struct Probe {
    number: u64,
    vm: id::Vm,
    instance: instance::Instance,
    started_at: time::Time,
    indirect_started: bool,
}

/// Times at which the periodic tasks run next.
#[derive(Default)]
struct Schedule {
    probe_at: time::Time,
    gossip_at: time::Time,
    sync_at: time::Time,
    sweep_at: time::Time,
}

/// Protocol state of one daemon.
///
/// Invariants: the daemon's own record is in the table and is never suspected there; a member of
/// another region changes state only by a received record or by the VM list; a final state never
/// changes.
pub struct Protocol {
    local: record::Record,
    timings: timings::Timings,
    table: table::Table,
    queue: queue::Queue<id::Vm, record::Record>,
    seeds: Vec<net::SocketAddr>,
    vm_list: map::Map<id::Vm, event::Vm>,
    suspicions: suspicions::Suspicions,
    view: Arc<view::View>,
    probe_order: Vec<id::Vm>,
    /// Whether the current round of probes is in descending order of capacity.
    is_strongest_first: bool,
    probe: Option<Probe>,
    relays: relays::Relays,
    last_ping_number: u64,
    schedule: Schedule,
    last_tick_at: time::Time,
    rng: SmallRng,
}

impl Protocol {
    /// Creates the state of the daemon `local`, which knows only itself and its seeds.
    ///
    /// `incarnation` should be greater than that of any earlier instance on the VM, such as the
    /// wall-clock time at startup. If it is not, the daemon learns so from its peers and raises it.
    #[must_use]
    pub fn new(
        now: time::Time,
        local: member::Member,
        incarnation: u64,
        seeds: Vec<net::SocketAddr>,
        timings: timings::Timings,
        rng_seed: u64,
    ) -> Self {
        let local = record::Record {
            member: local,
            incarnation,
        };
        let mut protocol = Self {
            local,
            timings,
            table: table::Table::default(),
            queue: queue::Queue::new(MAX_QUEUED_RECORDS),
            seeds,
            vm_list: map::Map::default(),
            suspicions: suspicions::Suspicions::default(),
            view: Arc::default(),
            probe_order: Vec::new(),
            is_strongest_first: false,
            probe: None,
            relays: relays::Relays::default(),
            last_ping_number: 0,
            schedule: Schedule::default(),
            last_tick_at: now,
            rng: SmallRng::seed_from_u64(rng_seed),
        };
        protocol.publish_own_record(now);
        protocol
    }

    /// Returns this daemon's own member entry.
    #[must_use]
    pub const fn local(&self) -> &member::Member {
        &self.local.member
    }

    /// Returns the membership table.
    #[must_use]
    pub const fn table(&self) -> &table::Table {
        &self.table
    }

    /// Iterates over the VM list as last read.
    pub fn listed_vms(&self) -> impl Iterator<Item = &event::Vm> {
        self.vm_list.values()
    }

    /// Whether this daemon is among the `count` members of its region that rank highest for `key`.
    #[must_use]
    pub fn is_top_ranked(&self, key: &[u8], count: usize) -> bool {
        let top = rank::top(key, self.eligible_in_region(), count);
        top.iter().any(|m| m.vm == self.local.member.vm)
    }

    /// Position of this daemon in the order of the watchers for `key`, which consists of this daemon and
    /// the members of its region that satisfy `is_candidate`.
    #[must_use]
    pub fn watcher_place(
        &self,
        key: &[u8],
        is_candidate: impl Fn(&member::Member) -> bool,
    ) -> usize {
        let local = &self.local.member;
        let eligible = self.eligible_in_region();
        let candidates = eligible.filter(|m| m.vm == local.vm || is_candidate(m));
        let order = watcher::select(key, candidates, usize::MAX);
        let place = order.iter().position(|m| m.vm == local.vm);
        place.unwrap_or(usize::MAX)
    }

    /// Members of the region that may be assigned responsibilities, including this one.
    fn eligible_in_region(&self) -> impl Iterator<Item = &member::Member> {
        let region = &self.local.member.region;
        let members = self.table.members();
        members.filter(move |m| m.region == *region && m.is_eligible())
    }

    /// Chooses the receivers of the next gossip: some members of the region and, if this daemon is
    /// a delegate, one delegate of another region.
    pub fn gossip_targets(&mut self) -> Vec<net::SocketAddr> {
        let mut receivers = self.random_peers(self.timings.gossip_fanout, None);
        receivers.extend(self.remote_delegate());
        receivers.into_iter().map(|r| r.member.peers).collect()
    }

    /// Returns the addresses of all other live members of the region.
    pub fn region_peers(&mut self) -> Vec<net::SocketAddr> {
        let view = self.view();
        let peers = view.peers.iter().filter_map(|vm| self.table.get(vm));
        peers.map(|record| record.member.peers).collect()
    }

    /// Chooses a random delegate of each other region.
    pub fn remote_delegates(&mut self) -> Vec<net::SocketAddr> {
        let view = self.view();
        let delegates = view.delegates.iter();
        let chosen = delegates.filter_map(|region| region.choose(&mut self.rng));
        let records = chosen.filter_map(|vm| self.table.get(vm));
        records.map(|record| record.member.peers).collect()
    }

    /// Returns the lists derived from the current table, recomputing them if the table has changed.
    fn view(&mut self) -> Arc<view::View> {
        if self.view.table_version != self.table.version() {
            let count = self.timings.delegates_per_region;
            let view = view::View::new(&self.table, &self.local.member, count);
            self.view = Arc::new(view);
        }
        self.view.clone()
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: time::Time,
        event: event::Event,
        actions: &mut Vec<action::Action>,
    ) {
        match event {
            event::Event::Tick => self.tick(now, actions),
            event::Event::Datagram(message) => self.handle_datagram(now, &message, actions),
            event::Event::Records(records) => self.merge_records(now, &records, actions),
            event::Event::Seeds(seeds) => self.seeds = seeds,
            event::Event::Vms(vms) => self.handle_vm_list(now, vms, actions),
            event::Event::Leave => self.leave(now, actions),
            event::Event::Shutdown => self.shut_down(now, actions),
        }
    }

    fn tick(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if now.since(self.last_tick_at) > self.timings.probe_interval * 2 {
            self.reset_after_pause(now);
        }
        self.last_tick_at = now;
        self.check_probe(now, actions);
        self.check_suspicions(now, actions);
        if now >= self.schedule.probe_at {
            self.schedule.probe_at = now + self.timings.probe_interval;
            self.start_probe(now, actions);
            self.probe_non_live(actions);
        }
        if now >= self.schedule.gossip_at {
            self.schedule.gossip_at = now + self.timings.gossip_interval;
            self.send_gossip(actions);
        }
        if now >= self.schedule.sync_at {
            self.schedule.sync_at = now + self.timings.sync_interval;
            self.start_sync(actions);
        }
        if now >= self.schedule.sweep_at {
            self.schedule.sweep_at = now + SWEEP_INTERVAL;
            self.remove_expired(now);
        }
    }
}
