//! Controllers sharing one record, with messages delivered one at a time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use monsooncart_policy::event as policy;
use monsooncart_policy::floor::action::Action;
use monsooncart_policy::floor::event::Event;
use monsooncart_policy::floor::{capacity, controller, mark, record, storage};
use monsooncart_types::{id, instance, time};

pub fn instance(number: u64) -> instance::Instance {
    instance::Instance(number)
}

pub fn server(number: usize) -> id::Server {
    format!("s{number}").parse().expect("a name")
}

pub fn vm(number: u64) -> id::Vm {
    format!("vm{number}").parse().expect("a name")
}

pub fn capacity(version: u64, floor: u64, servers: usize, slots: u64) -> capacity::Capacity {
    let server = |number| capacity::Server {
        name: server(number),
        slots,
        available: true,
        generation: 0,
    };
    let servers = (0..servers).map(server).collect();
    capacity::Capacity {
        version,
        floor,
        servers,
    }
}

pub fn ejection(by: u64) -> mark::Ejection {
    mark::Ejection {
        by: instance(by),
        at: 0,
        evidence: "stalls".to_owned(),
    }
}

/// Behaviour of the simulated platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Platform {
    Available,
    Unavailable,
    /// Calls take effect but their responses are lost.
    LosesResponses,
}

pub struct Fleet {
    pub controllers: BTreeMap<u64, controller::Controller>,
    pub stored: Option<(storage::Version, record::Record)>,
    pub platform: Platform,
    pub reported: Vec<(u64, id::Server, policy::Ejection)>,
    pub stopped: Vec<u64>,
    pub now: time::Time,
    /// Read calls to the platform.
    pub reads: u64,
    pending: VecDeque<(u64, Action)>,
}

impl Fleet {
    /// Creates controllers `1..=daemons`, of which the first `holders` should hold tokens.
    pub fn new(daemons: u64, holders: u64, capacity: &capacity::Capacity) -> Self {
        let controller = |n| (n, controller::Controller::new(instance(n), vm(n)));
        let mut fleet = Self {
            controllers: (1..=daemons).map(controller).collect(),
            stored: None,
            platform: Platform::Available,
            reported: Vec::new(),
            stopped: Vec::new(),
            now: time::Time::ZERO,
            reads: 0,
            pending: VecDeque::new(),
        };
        let holders: Vec<_> = (1..=holders).map(instance).collect();
        for daemon in 1..=daemons {
            fleet.send(daemon, Event::Holders(holders.clone()));
            fleet.send(daemon, Event::Capacity(capacity.clone()));
        }
        fleet.tick();
        fleet
    }

    pub fn send(&mut self, daemon: u64, event: Event) {
        self.deliver(daemon, event);
        self.execute_pending();
    }

    pub fn eject(&mut self, daemon: u64, number: usize) -> Option<policy::Ejection> {
        let before = self.reported.len();
        let event = Event::Eject {
            server: server(number),
            ejection: ejection(daemon),
        };
        self.send(daemon, event);
        for _ in 0..5 {
            self.tick();
        }
        let reported = &self.reported[before..];
        let matching = |(d, s, _): &&(u64, id::Server, _)| *d == daemon && *s == server(number);
        reported
            .iter()
            .find(matching)
            .map(|(_, _, ejection)| *ejection)
    }

    pub fn tick(&mut self) {
        self.now = self.now + Duration::from_secs(1);
        let daemons: Vec<_> = self.controllers.keys().copied().collect();
        for daemon in daemons {
            self.send(daemon, Event::Tick);
        }
    }

    /// Delivers the newest record to every controller, as a watch does.
    pub fn deliver_record(&mut self) {
        let (version, record) = self.stored.clone().expect("a record");
        let daemons: Vec<_> = self.controllers.keys().copied().collect();
        for daemon in daemons {
            let record = record.clone();
            self.send(daemon, Event::Changed { version, record });
        }
    }

    pub fn record(&self) -> &record::Record {
        &self.stored.as_ref().expect("a record").1
    }

    fn deliver(&mut self, daemon: u64, event: Event) {
        let Some(controller) = self.controllers.get_mut(&daemon) else {
            return;
        };
        let mut actions = Vec::new();
        controller.handle(self.now, event, &mut actions);
        self.pending
            .extend(actions.into_iter().map(|a| (daemon, a)));
    }

    fn execute_pending(&mut self) {
        let mut steps = 0;
        while let Some((daemon, action)) = self.pending.pop_front() {
            self.execute(daemon, action);
            steps += 1;
            assert!(
                steps < 10_000,
                "the controllers do not reach a quiescent state"
            );
        }
    }

    fn execute(&mut self, daemon: u64, action: Action) {
        match action {
            Action::Get { call } => {
                self.reads += 1;
                let read = storage::Response::Read(self.stored.clone());
                self.respond(daemon, call, read);
            }
            Action::Put {
                call,
                condition,
                record,
            } => {
                let response = self.put(condition, record);
                self.respond(daemon, call, response);
            }
            Action::Request { to, request } => {
                let from = instance(daemon);
                self.deliver(to.0, Event::Request { from, request });
            }
            Action::Reply { to, reply } => {
                let from = instance(daemon);
                self.deliver(to.0, Event::Reply { from, reply });
            }
            Action::Broadcast(mark) => {
                let others: Vec<_> = self
                    .controllers
                    .keys()
                    .copied()
                    .filter(|d| *d != daemon)
                    .collect();
                for other in others {
                    self.deliver(other, Event::Mark(mark.clone()));
                }
            }
            Action::Report { server, ejection } => self.reported.push((daemon, server, ejection)),
            Action::Stopped => self.stopped.push(daemon),
        }
    }

    fn put(&mut self, condition: storage::Condition, record: record::Record) -> storage::Response {
        let version = self.stored.as_ref().map(|(version, _)| *version);
        let holds = match condition {
            storage::Condition::Absent => version.is_none(),
            storage::Condition::At(at) => version == Some(at),
        };
        if self.platform == Platform::Unavailable {
            return storage::Response::Unavailable;
        }
        if !holds {
            return storage::Response::Conflict;
        }
        let mut available = record.servers.values().filter(|s| s.available);
        let floor_restored = available.all(record::Server::serves);
        assert!(
            record.room() >= 0 || floor_restored,
            "granted tokens exceed the capacity above the floor: {record:?}"
        );
        let version = storage::Version(version.map_or(1, |v| v.0 + 1));
        self.stored = Some((version, record));
        storage::Response::Written(version)
    }

    fn respond(&mut self, daemon: u64, call: u64, response: storage::Response) {
        let response = match self.platform {
            Platform::Available => response,
            Platform::Unavailable => storage::Response::Unavailable,
            Platform::LosesResponses => storage::Response::Unknown,
        };
        self.deliver(daemon, Event::StorageResponse { call, response });
    }
}
