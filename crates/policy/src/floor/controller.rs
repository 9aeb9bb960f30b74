//! The floor ledger of one service on one daemon.
//!
//! A holder spends its own tokens at once, tells everybody, and writes the spend back when the
//! platform lets it. Another daemon ejects from the free room by a conditional write of the
//! record, and asks the holders one after another where the room is used up or the platform does
//! not answer. One call of the platform is under way at a time. A write without an answer is
//! settled by reading the record back, and until then counts at its worst: tokens that it may
//! return are not spent, tokens that it may grant are not spent either.

mod peers;
mod plan;
mod report;
mod store;
mod tokens;
mod want;

use std::collections::{BTreeMap, BTreeSet};

use monsooncart_types::{id, instance, time};

use crate::event as policy;
use crate::floor::action::Action;
use crate::floor::event::Event;
use crate::floor::{decision, mark, record, view};

/// A call of the platform that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    number: u64,
    /// The record being written; `None` for a read.
    put: Option<record::Record>,
}

/// Keeps the ledger of one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Controller {
    instance: instance::Instance,
    vm: id::Vm,
    view: view::View,
    tokens: tokens::Tokens,
    wants: BTreeMap<id::Server, want::Want>,
    /// Servers put back in service that the record does not show yet.
    restores: BTreeMap<id::Server, mark::Mark>,
    holders: Vec<instance::Instance>,
    gone: BTreeSet<instance::Instance>,
    /// Servers that the decisions were told are ejected.
    told: BTreeSet<id::Server>,
    call: Option<Call>,
    calls: u64,
    /// Whether the record must be read before it can be written.
    stale: bool,
    /// Whether the last call found the platform away.
    outage: bool,
    /// Failures of the platform in a row.
    failures: u32,
    /// When the platform is tried again.
    retry: time::Time,
    stopping: bool,
    stopped: bool,
    log: decision::Log,
}

impl Controller {
    /// A keeper that knows nothing yet.
    #[must_use]
    pub fn new(instance: instance::Instance, vm: id::Vm) -> Self {
        Self {
            instance,
            vm,
            view: view::View::default(),
            tokens: tokens::Tokens::default(),
            wants: BTreeMap::new(),
            restores: BTreeMap::new(),
            holders: Vec::new(),
            gone: BTreeSet::new(),
            told: BTreeSet::new(),
            call: None,
            calls: 0,
            stale: true,
            outage: false,
            failures: 0,
            retry: time::Time::ZERO,
            stopping: false,
            stopped: false,
            log: decision::Log::default(),
        }
    }

    /// What this daemon knows of the service's ejections.
    #[must_use]
    pub fn view(&self) -> &view::View {
        &self.view
    }

    /// What was decided of late, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &decision::Decision> {
        self.log.iter()
    }

    /// Tokens that this daemon can spend.
    #[must_use]
    pub fn free(&self) -> u64 {
        let record = self.view.record();
        record.map_or(0, |r| self.tokens.free(r, self.instance))
    }

    /// Takes an event and appends the actions that follow.
    pub fn handle(&mut self, now: time::Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Capacity(capacity) => self.view.configure(capacity),
            Event::Holders(holders) => self.holders = holders,
            Event::Gone(gone) => self.gone = gone,
            Event::Eject { server, ejection } => self.want(now, server, ejection, actions),
            Event::Restore(server) => self.restore(&server, actions),
            Event::StorageResponse {
                call,
                response: answer,
            } => self.stored(now, call, answer),
            Event::Changed { version, record } => self.read(version, record),
            Event::Mark(mark) => {
                self.view.mark(mark);
            }
            Event::Request { from, request: ask } => self.asked(from, ask, actions),
            Event::Reply { from, reply } => self.replied(from, reply),
            Event::Stop => self.stopping = true,
            Event::Tick => self.outage &= now < self.retry,
        }
        self.spend_for_wants(now, actions);
        self.call(actions);
        self.ask(now, actions);
        self.tell(now, actions);
        self.finish(actions);
    }

    fn want(
        &mut self,
        now: time::Time,
        server: id::Server,
        ejection: mark::Ejection,
        actions: &mut Vec<Action>,
    ) {
        if self.told.contains(&server) {
            let ejection = policy::Ejection::Granted;
            actions.push(Action::Report { server, ejection });
            return;
        }
        let want = || want::Want::new(ejection, now);
        self.wants.entry(server).or_insert_with(want);
    }

    fn restore(&mut self, server: &id::Server, actions: &mut Vec<Action>) {
        self.wants.remove(server);
        let latest = self.view.latest(server);
        if latest.is_none_or(|mark| mark.ejection.is_none()) {
            self.told.remove(server);
            actions.push(Action::Report {
                server: server.clone(),
                ejection: policy::Ejection::Restored,
            });
            return;
        }
        let mark = mark::Mark {
            server: server.clone(),
            stamp: self.view.stamp(self.instance),
            ejection: None,
        };
        self.view.mark(mark.clone());
        self.restores.insert(server.clone(), mark.clone());
        actions.push(Action::Broadcast(mark));
    }

    /// Spends this daemon's own tokens, where it has enough.
    fn spend(
        &mut self,
        server: &id::Server,
        ejection: mark::Ejection,
        actions: &mut Vec<Action>,
    ) -> Option<mark::Mark> {
        let slots = self.view.slots(server)?;
        let short = self.free() < slots;
        if self.stopping || short || !self.view.leaves_room(server, self.instance) {
            return None;
        }
        let mark = mark::Mark {
            server: server.clone(),
            stamp: self.view.stamp(self.instance),
            ejection: Some(ejection),
        };
        self.tokens.spend(mark.clone(), slots);
        self.view.mark(mark.clone());
        actions.push(Action::Broadcast(mark.clone()));
        Some(mark)
    }

    /// Decides the wants that need no one else.
    fn spend_for_wants(&mut self, now: time::Time, actions: &mut Vec<Action>) {
        let pair = |(server, w): (&id::Server, &want::Want)| (server.clone(), w.ejection.clone());
        let wants: Vec<_> = self.wants.iter().map(pair).collect();
        for (server, ejection) in wants {
            let latest = self.view.latest(&server);
            let marked = latest.is_some_and(|mark| mark.ejection.is_some());
            if !marked && self.spend(&server, ejection, actions).is_none() {
                continue;
            }
            self.wants.remove(&server);
            if !self.view.ejected().contains(&server) {
                let evidence = self.view.latest(&server).and_then(|mark| mark.ejection);
                self.note(now, &server, evidence, decision::Verdict::Cut);
                let ejection = policy::Ejection::Denied;
                actions.push(Action::Report { server, ejection });
            }
        }
    }
}
