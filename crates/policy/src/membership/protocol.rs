//! The protocol's state machine.

mod exchange;
mod probe;
mod records;

use std::net;
use std::sync::Arc;
use std::time::Duration;

use monsooncart_types::{id, map, time};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use super::{action, event, member, queue, record, relays, suspicions, table, timings, view};
use crate::rank;

/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Bytes of a datagram besides its records, at most.
pub const HEADER: usize = 112;

/// Records waiting to be told, at most.
const QUEUE: usize = 16_384;

/// Daemons of a region that tell a suspected member so directly, on average.
const WARNERS: f64 = 16.0;

/// Time between sweeps for records past their retention.
const SWEEP: Duration = Duration::from_secs(30);

/// The probe of the running period.
struct Probe {
    number: u64,
    vm: id::Vm,
    started: time::Time,
    indirect: bool,
}

/// When things that recur are next due.
#[derive(Default)]
struct Due {
    probe: time::Time,
    gossip: time::Time,
    sync: time::Time,
    sweep: time::Time,
}

/// One daemon's part in the protocol.
///
/// Invariants: the own record is in the table and is never suspected there; a member of another
/// region changes state only by a record or by the VM list; a final state never changes.
pub struct Protocol {
    me: record::Record,
    timings: timings::Timings,
    table: table::Table,
    queue: queue::Queue<id::Vm, record::Record>,
    seeds: Vec<net::SocketAddr>,
    listed: map::Map<id::Vm, event::Vm>,
    suspicions: suspicions::Suspicions,
    view: Arc<view::View>,
    ring: Vec<id::Vm>,
    probe: Option<Probe>,
    relays: relays::Relays,
    number: u64,
    due: Due,
    ticked: time::Time,
    rng: SmallRng,
}

impl Protocol {
    /// A daemon that knows only itself and its seeds.
    ///
    /// `incarnation` is to be greater than that of any earlier run of the VM, such as the time of
    /// day at start; where it is not, the daemon learns so from its peers and raises it.
    #[must_use]
    pub fn new(
        now: time::Time,
        me: member::Member,
        incarnation: u64,
        seeds: Vec<net::SocketAddr>,
        timings: timings::Timings,
        seed: u64,
    ) -> Self {
        let me = record::Record {
            member: me,
            incarnation,
        };
        let mut protocol = Self {
            me,
            timings,
            table: table::Table::default(),
            queue: queue::Queue::new(QUEUE),
            seeds,
            listed: map::Map::default(),
            suspicions: suspicions::Suspicions::default(),
            view: Arc::default(),
            ring: Vec::new(),
            probe: None,
            relays: relays::Relays::default(),
            number: 0,
            due: Due::default(),
            ticked: now,
            rng: SmallRng::seed_from_u64(seed),
        };
        protocol.publish(now);
        protocol
    }

    /// This daemon.
    #[must_use]
    pub const fn me(&self) -> &member::Member {
        &self.me.member
    }

    /// The records held.
    #[must_use]
    pub const fn table(&self) -> &table::Table {
        &self.table
    }

    /// The VM list as last read.
    pub fn listed_vms(&self) -> impl Iterator<Item = &event::Vm> {
        self.listed.values()
    }

    /// Whether this daemon is one of the `count` of its region that rank highest for `key`.
    #[must_use]
    pub fn is_chosen(&self, key: &[u8], count: usize) -> bool {
        self.is_chosen_among(key, count, |_| true)
    }

    /// The same among itself and those others that `may` do the work.
    #[must_use]
    pub fn is_chosen_among(
        &self,
        key: &[u8],
        count: usize,
        may: impl Fn(&member::Member) -> bool,
    ) -> bool {
        let me = &self.me.member;
        let members = self.table.members();
        let peers = members.filter(|m| m.region == me.region && m.is_eligible());
        let able = peers.filter(|m| m.vm == me.vm || may(m));
        let top = rank::top(key, able, count);
        top.iter().any(|m| m.vm == self.me.member.vm)
    }

    /// Where news is told on to next: a few members of the region and, by a delegate, one of
    /// another region.
    pub fn gossip_targets(&mut self) -> Vec<net::SocketAddr> {
        let mut receivers = self.choose(self.timings.gossip_fanout, None);
        receivers.extend(self.foreign_delegate());
        receivers.into_iter().map(|r| r.member.peers).collect()
    }

    /// All other live members of the region.
    pub fn region_peers(&mut self) -> Vec<net::SocketAddr> {
        let view = self.view();
        let peers = view.peers.iter().filter_map(|vm| self.table.get(vm));
        peers.map(|record| record.member.peers).collect()
    }

    /// One delegate of each other region, at random.
    pub fn remote_delegates(&mut self) -> Vec<net::SocketAddr> {
        let view = self.view();
        let delegates = view.delegates.iter();
        let chosen = delegates.filter_map(|region| region.choose(&mut self.rng));
        let held = chosen.filter_map(|vm| self.table.get(vm));
        held.map(|record| record.member.peers).collect()
    }

    /// The members as they are now.
    fn view(&mut self) -> Arc<view::View> {
        if self.view.version != self.table.version() {
            let delegates = self.timings.delegates_per_region;
            let view = view::View::new(&self.table, &self.me.member, delegates);
            self.view = Arc::new(view);
        }
        self.view.clone()
    }

    /// Takes an event and appends the actions that follow.
    pub fn handle(
        &mut self,
        now: time::Time,
        event: event::Event,
        actions: &mut Vec<action::Action>,
    ) {
        match event {
            event::Event::Tick => self.tick(now, actions),
            event::Event::Datagram(message) => self.datagram(now, &message, actions),
            event::Event::Records(records) => self.take_all(now, &records, actions),
            event::Event::Seeds(seeds) => self.seeds = seeds,
            event::Event::Vms(vms) => self.vms(now, vms, actions),
            event::Event::Leave => self.leave(now, actions),
            event::Event::Shutdown => self.end(now, actions),
        }
    }

    fn tick(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if now.since(self.ticked) > self.timings.probe_interval * 2 {
            self.resume(now);
        }
        self.ticked = now;
        self.watch_probe(now, actions);
        self.expire_suspects(now, actions);
        if now >= self.due.probe {
            self.due.probe = now + self.timings.probe_interval;
            self.start_probe(now, actions);
            self.knock(actions);
        }
        if now >= self.due.gossip {
            self.due.gossip = now + self.timings.gossip_interval;
            self.gossip(actions);
        }
        if now >= self.due.sync {
            self.due.sync = now + self.timings.sync_interval;
            self.sync(actions);
        }
        if now >= self.due.sweep {
            self.due.sweep = now + SWEEP;
            self.sweep(now);
        }
    }
}
