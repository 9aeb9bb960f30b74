//! Simulated network: a datagram takes one step and may be lost, at random or because its path is
//! blocked.

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

use monsooncart_policy::membership::{action, event, member, message, protocol, record, timings};
use monsooncart_types::{id, instance, time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(100);

/// Identifies a daemon by the last octet of its address.
pub type Host = u8;

pub struct Network {
    pub now: time::Time,
    pub daemons: BTreeMap<Host, protocol::Protocol>,
    /// Blocked paths as pairs of sender and receiver.
    pub blocked: BTreeSet<(Host, Host)>,
    /// Daemons that neither run nor receive.
    pub paused: BTreeSet<Host>,
    /// Probability that a datagram is lost.
    pub loss: f64,
    pub timings: timings::Timings,
    /// Daemons that start with four times the capacity of the others.
    pub strong: BTreeSet<Host>,
    /// Changes reported by each daemon.
    pub changes: Vec<(Host, member::Member)>,
    /// Pings sent, as pairs of sender and receiver.
    pub pings: Vec<(Host, Host)>,
    /// Datagrams sent by each daemon.
    pub sent: BTreeMap<Host, usize>,
    in_flight: Vec<(Host, Host, message::Message)>,
    rng: SmallRng,
    instance_count: u64,
}

pub fn address(host: Host) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, host], 7000))
}

pub fn host(address: net::SocketAddr) -> Host {
    match address.ip() {
        net::IpAddr::V4(ip) => ip.octets()[3],
        net::IpAddr::V6(_) => unreachable!("the network only has IPv4 addresses"),
    }
}

pub fn vm(host: Host) -> id::Vm {
    format!("vm-{host}").parse().unwrap()
}

pub fn member(host: Host, number: u64, region: &str) -> member::Member {
    member::Member {
        vm: vm(host),
        instance: instance::Instance(u64::from(host) << 32 | number),
        peers: address(host),
        callers: address(host),
        admin: address(host),
        data_centre: "attica-a".parse().unwrap(),
        region: region.parse().unwrap(),
        state: member::State::Alive,
        leaving: false,
        capacity: 1000,
    }
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Self {
            now: time::Time::ZERO,
            daemons: BTreeMap::new(),
            blocked: BTreeSet::new(),
            paused: BTreeSet::new(),
            loss: 0.0,
            timings: timings::Timings::default(),
            strong: BTreeSet::new(),
            changes: Vec::new(),
            pings: Vec::new(),
            sent: BTreeMap::new(),
            in_flight: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            instance_count: 0,
        }
    }

    /// Creates a network in which daemons 1 to `count` have joined one fleet.
    pub fn with_members(count: Host, seed: u64) -> Self {
        let mut network = Self::new(seed);
        for host in 1..=count {
            network.start(host, "attica");
        }
        network.run_until("joined", 60, |n| n.all_alive());
        network
    }

    /// Starts a daemon with daemon 1 as its seed.
    pub fn start(&mut self, host: Host, region: &str) {
        let incarnation = 1000 + self.now.0 / 1_000_000;
        self.start_with_incarnation(host, region, incarnation);
    }

    /// Starts a daemon with a given initial incarnation.
    pub fn start_with_incarnation(&mut self, host: Host, region: &str, incarnation: u64) {
        self.instance_count += 1;
        let mut local = member(host, self.instance_count, region);
        if self.strong.contains(&host) {
            local.capacity *= 4;
        }
        self.insert(host, local, incarnation);
    }

    fn insert(&mut self, host: Host, local: member::Member, incarnation: u64) {
        let daemon = protocol::Protocol::new(
            self.now,
            local,
            incarnation,
            vec![address(1)],
            self.timings,
            self.rng.random(),
        );
        self.daemons.insert(host, daemon);
    }

    /// Starts a daemon of another VM at the address of a daemon that ended.
    pub fn start_at_address_of(&mut self, host: Host, vm: id::Vm, region: &str) {
        self.instance_count += 1;
        let mut local = member(host, self.instance_count, region);
        local.vm = vm;
        let incarnation = 1000 + self.now.0 / 1_000_000;
        self.insert(host, local, incarnation);
    }

    /// Kills a daemon without a shutdown.
    pub fn kill(&mut self, host: Host) {
        self.daemons.remove(&host);
    }

    pub fn block(&mut self, from: Host, to: Host) {
        self.blocked.insert((from, to));
    }

    fn passes(&mut self, from: Host, to: Host) -> bool {
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        let receives = !self.paused.contains(&to);
        receives && !lost && !self.blocked.contains(&(from, to)) && self.daemons.contains_key(&to)
    }

    pub fn handle(&mut self, host: Host, event: event::Event) {
        let mut actions = Vec::new();
        let Some(daemon) = self.daemons.get_mut(&host) else {
            return;
        };
        daemon.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(host, action);
        }
    }

    fn execute(&mut self, from: Host, action: action::Action) {
        match action {
            action::Action::Send { to, message } => {
                let to = host(to);
                *self.sent.entry(from).or_default() += 1;
                if matches!(message.kind, message::Kind::Ping { .. }) {
                    self.pings.push((from, to));
                }
                self.in_flight.push((from, to, message));
            }
            action::Action::Sync { with } => self.sync(from, host(with)),
            action::Action::Changed(member) => self.changes.push((from, member)),
        }
    }

    /// Reconciles two tables by a call, which needs both directions.
    fn sync(&mut self, from: Host, to: Host) {
        if !self.passes(from, to) || !self.passes(to, from) {
            return;
        }
        let daemon = &self.daemons[&from];
        let own_record = daemon.table().get(&daemon.local().vm).cloned();
        let digest = daemon.table().digest().to_vec();
        self.handle(to, event::Event::Records(own_record.into_iter().collect()));
        let buckets = self.daemons[&to].table().differing_buckets(&digest);
        let remote_records = self.daemons[&to].table().records_in(&buckets, usize::MAX);
        self.handle(from, event::Event::Records(remote_records));
        let local_records = self.daemons[&from].table().records_in(&buckets, usize::MAX);
        self.handle(to, event::Event::Records(local_records));
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            if self.passes(from, to) {
                self.handle(to, event::Event::Datagram(message));
            }
        }
        let hosts: Vec<_> = self.daemons.keys().copied().collect();
        for host in hosts {
            if self.paused.contains(&host) {
                continue;
            }
            self.handle(host, event::Event::Tick);
        }
    }

    pub fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `condition` holds; panics if it does not within `seconds`.
    pub fn run_until(&mut self, what: &str, seconds: u64, condition: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_secs(seconds);
        while !condition(self) {
            assert!(self.now < end, "{what}: not within {seconds} s");
            self.step();
        }
    }

    pub fn record(&self, at: Host, of: Host) -> Option<&record::Record> {
        self.daemons.get(&at)?.table().get(&vm(of))
    }

    pub fn state(&self, at: Host, of: Host) -> Option<member::State> {
        self.record(at, of).map(|r| r.member.state)
    }

    /// Whether every daemon has a record of each running instance as alive.
    pub fn all_alive(&self) -> bool {
        self.all_recorded(|state| state == member::State::Alive)
    }

    /// Whether every daemon has a record of each running instance as a member, perhaps a suspected one.
    pub fn all_members(&self) -> bool {
        self.all_recorded(member::State::is_live)
    }

    fn all_recorded(&self, expected: impl Fn(member::State) -> bool) -> bool {
        let members: Vec<_> = self.daemons.values().map(|d| d.local().clone()).collect();
        self.daemons.values().all(|d| {
            members.iter().all(|member| {
                let recorded = d.table().by_instance(member.instance);
                recorded.is_some_and(|r| expected(r.member.state))
            })
        })
    }

    /// Whether every other daemon has recorded `of` in `state`.
    pub fn all_observe(&self, of: Host, state: member::State) -> bool {
        let others = self.daemons.keys().filter(|host| **host != of);
        others
            .into_iter()
            .all(|at| self.state(*at, of) == Some(state))
    }

    /// Whether any daemon reported `of` in `state`.
    pub fn was_observed(&self, of: Host, state: member::State) -> bool {
        let of = vm(of);
        self.changes
            .iter()
            .any(|(_, m)| m.vm == of && m.state == state)
    }
}
