//! A network between daemons: every datagram takes one step, and is lost by cuts and by chance.

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

use monsooncart_policy::membership::{action, event, member, message, protocol, record, timings};
use monsooncart_types::{id, instance, time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time of one step of the network.
const STEP: Duration = Duration::from_millis(100);

/// A daemon's place: its address number.
pub type Place = u8;

pub struct Network {
    pub now: time::Time,
    pub daemons: BTreeMap<Place, protocol::Protocol>,
    /// Directions in which nothing passes.
    pub cuts: BTreeSet<(Place, Place)>,
    /// Daemons that neither run nor receive.
    pub paused: BTreeSet<Place>,
    /// Share of datagrams lost.
    pub loss: f64,
    pub timings: timings::Timings,
    /// Every change that any daemon saw: who saw, what.
    pub changes: Vec<(Place, member::Member)>,
    /// Pings sent: from and to.
    pub pings: Vec<(Place, Place)>,
    /// Datagrams sent by each daemon.
    pub sent: BTreeMap<Place, usize>,
    flying: Vec<(Place, Place, message::Message)>,
    rng: SmallRng,
    runs: u64,
}

pub fn address(place: Place) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, place], 7000))
}

pub fn place(address: net::SocketAddr) -> Place {
    match address.ip() {
        net::IpAddr::V4(ip) => ip.octets()[3],
        net::IpAddr::V6(_) => unreachable!("the network has IPv4 alone"),
    }
}

pub fn vm(place: Place) -> id::Vm {
    format!("vm-{place}").parse().unwrap()
}

pub fn member(place: Place, run: u64, region: &str) -> member::Member {
    member::Member {
        vm: vm(place),
        instance: instance::Instance(u64::from(place) << 32 | run),
        peers: address(place),
        callers: address(place),
        admin: address(place),
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
            cuts: BTreeSet::new(),
            paused: BTreeSet::new(),
            loss: 0.0,
            timings: timings::Timings::default(),
            changes: Vec::new(),
            pings: Vec::new(),
            sent: BTreeMap::new(),
            flying: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            runs: 0,
        }
    }

    /// A network whose daemons 1 to `count` have found each other.
    pub fn joined(count: Place, seed: u64) -> Self {
        let mut network = Self::new(seed);
        for place in 1..=count {
            network.start(place, "attica");
        }
        network.until("joined", 60, |n| n.all_alive());
        network
    }

    /// Starts a daemon, whose seed is daemon 1.
    pub fn start(&mut self, place: Place, region: &str) {
        let incarnation = 1000 + self.now.0 / 1_000_000;
        self.start_at(place, region, incarnation);
    }

    /// Starts a daemon with a first incarnation.
    pub fn start_at(&mut self, place: Place, region: &str, incarnation: u64) {
        self.runs += 1;
        let daemon = protocol::Protocol::new(
            self.now,
            member(place, self.runs, region),
            incarnation,
            vec![address(1)],
            self.timings,
            self.rng.random(),
        );
        self.daemons.insert(place, daemon);
    }

    /// Ends a daemon without a word.
    pub fn kill(&mut self, place: Place) {
        self.daemons.remove(&place);
    }

    pub fn cut(&mut self, from: Place, to: Place) {
        self.cuts.insert((from, to));
    }

    fn passes(&mut self, from: Place, to: Place) -> bool {
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        let runs = !self.paused.contains(&to);
        runs && !lost && !self.cuts.contains(&(from, to)) && self.daemons.contains_key(&to)
    }

    pub fn handle(&mut self, place: Place, event: event::Event) {
        let mut actions = Vec::new();
        let Some(daemon) = self.daemons.get_mut(&place) else {
            return;
        };
        daemon.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(place, action);
        }
    }

    fn act(&mut self, from: Place, action: action::Action) {
        match action {
            action::Action::Send { to, message } => {
                let to = place(to);
                *self.sent.entry(from).or_default() += 1;
                if matches!(message.kind, message::Kind::Ping { .. }) {
                    self.pings.push((from, to));
                }
                self.flying.push((from, to, message));
            }
            action::Action::Sync { with } => self.sync(from, place(with)),
            action::Action::Changed(member) => self.changes.push((from, member)),
        }
    }

    /// A call, which needs both directions.
    fn sync(&mut self, from: Place, to: Place) {
        if !self.passes(from, to) || !self.passes(to, from) {
            return;
        }
        let asker = self.daemons[&from].table();
        let own = asker.get(&vm(from)).cloned();
        let digest = asker.digest().to_vec();
        self.handle(to, event::Event::Records(own.into_iter().collect()));
        let parts = self.daemons[&to].table().differing(&digest);
        let theirs = self.daemons[&to].table().records_in(&parts, usize::MAX);
        self.handle(from, event::Event::Records(theirs));
        let mine = self.daemons[&from].table().records_in(&parts, usize::MAX);
        self.handle(to, event::Event::Records(mine));
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for (from, to, message) in std::mem::take(&mut self.flying) {
            if self.passes(from, to) {
                self.handle(to, event::Event::Datagram(message));
            }
        }
        let places: Vec<_> = self.daemons.keys().copied().collect();
        for place in places {
            if self.paused.contains(&place) {
                continue;
            }
            self.handle(place, event::Event::Tick);
        }
    }

    pub fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `condition` holds; fails where it does not within `seconds`.
    pub fn until(&mut self, what: &str, seconds: u64, condition: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_secs(seconds);
        while !condition(self) {
            assert!(self.now < end, "{what}: not within {seconds} s");
            self.step();
        }
    }

    pub fn record(&self, at: Place, of: Place) -> Option<&record::Record> {
        self.daemons.get(&at)?.table().get(&vm(of))
    }

    pub fn state(&self, at: Place, of: Place) -> Option<member::State> {
        self.record(at, of).map(|r| r.member.state)
    }

    /// Whether every daemon holds the running instance of every other as alive.
    pub fn all_alive(&self) -> bool {
        let runs: Vec<_> = self.daemons.values().map(|d| d.me().clone()).collect();
        self.daemons.values().all(|d| {
            runs.iter().all(|run| {
                let held = d.table().by_instance(run.instance);
                held.is_some_and(|r| r.member.state == member::State::Alive)
            })
        })
    }

    /// Whether every other daemon holds `of` in `state`.
    pub fn all_hold(&self, of: Place, state: member::State) -> bool {
        let others = self.daemons.keys().filter(|place| **place != of);
        others
            .into_iter()
            .all(|at| self.state(*at, of) == Some(state))
    }

    /// Whether any daemon ever saw `of` in `state`.
    pub fn was(&self, of: Place, state: member::State) -> bool {
        let of = vm(of);
        self.changes
            .iter()
            .any(|(_, m)| m.vm == of && m.state == state)
    }
}
