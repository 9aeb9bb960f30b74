//! The ejection ledger of one service on one daemon.
//!
//! A token holder spends its own tokens immediately, broadcasts the mark, and writes the spend back
//! once the platform is available. Another daemon ejects a server with free tokens by a conditional
//! write of the record; if there is no room or the platform does not respond, it asks the holders
//! one after another. At most one platform call is in flight. After a write without a response, the
//! record is read back. Until then, the controller assumes the worst case: it spends neither the
//! tokens that the write may have returned nor those that it may have acquired.

mod peers;
mod pending;
mod plan;
mod report;
mod store;
mod tokens;

use std::collections::{BTreeMap, BTreeSet};

use monsooncart_types::{id, instance, time};

use crate::event as policy_event;
use crate::floor::action::Action;
use crate::floor::event::Event;
use crate::floor::{decision, mark, record, view};

/// A platform call in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StoreCall {
    number: u64,
    /// The record being written; `None` for a read.
    put: Option<record::Record>,
}

/// State machine of one service's ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Controller {
    instance: instance::Instance,
    vm: id::Vm,
    view: view::View,
    tokens: tokens::Tokens,
    pending: BTreeMap<id::Server, pending::Pending>,
    /// Restored servers that the record still lists as ejected.
    restores: BTreeMap<id::Server, mark::Mark>,
    /// Daemons that should hold tokens, in rank order.
    holders: Vec<instance::Instance>,
    /// Holders in the record whose VM no longer exists.
    gone_holders: BTreeSet<instance::Instance>,
    /// Servers that were last reported to the balancer as ejected.
    reported: BTreeSet<id::Server>,
    in_flight: Option<StoreCall>,
    calls_started: u64,
    /// Whether the record must be read before it can be written.
    needs_read: bool,
    /// Whether the last call failed and its backoff has not ended.
    backing_off: bool,
    consecutive_failures: u32,
    retry_at: time::Time,
    stopping: bool,
    stopped: bool,
    log: decision::Log,
}

impl Controller {
    /// Creates a controller without a record, capacity or marks.
    #[must_use]
    pub fn new(instance: instance::Instance, vm: id::Vm) -> Self {
        Self {
            instance,
            vm,
            view: view::View::default(),
            tokens: tokens::Tokens::default(),
            pending: BTreeMap::new(),
            restores: BTreeMap::new(),
            holders: Vec::new(),
            gone_holders: BTreeSet::new(),
            reported: BTreeSet::new(),
            in_flight: None,
            calls_started: 0,
            needs_read: true,
            backing_off: false,
            consecutive_failures: 0,
            retry_at: time::Time::ZERO,
            stopping: false,
            stopped: false,
            log: decision::Log::default(),
        }
    }

    /// Returns the ejections of the service as known to this daemon.
    #[must_use]
    pub fn view(&self) -> &view::View {
        &self.view
    }

    /// Iterates over the recent decisions, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &decision::Decision> {
        self.log.iter()
    }

    /// Returns the number of tokens that this daemon can spend.
    #[must_use]
    pub fn spendable_tokens(&self) -> u64 {
        let record = self.view.record();
        record.map_or(0, |r| self.tokens.spendable(r, self.instance))
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: time::Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Capacity(capacity) => self.view.update_capacity(capacity),
            Event::Holders(holders) => self.holders = holders,
            Event::Gone(gone) => self.gone_holders = gone,
            Event::Eject { server, ejection } => {
                self.request_ejection(now, server, ejection, actions);
            }
            Event::Restore(server) => self.restore(&server, actions),
            Event::StorageResponse { call, response } => self.handle_response(now, call, response),
            Event::Changed { version, record } => self.update_record(version, record),
            Event::Mark(mark) => {
                self.view.apply_mark(mark);
            }
            Event::Request { from, request } => self.handle_request(from, request, actions),
            Event::Reply { from, reply } => self.handle_reply(from, reply),
            Event::Stop => self.stopping = true,
            Event::Tick => self.backing_off &= now < self.retry_at,
        }
        self.decide_pending_ejections(now, actions);
        self.start_call(actions);
        self.request_from_holders(now, actions);
        self.report_changes(now, actions);
        self.report_stopped(actions);
    }

    fn request_ejection(
        &mut self,
        now: time::Time,
        server: id::Server,
        ejection: mark::Ejection,
        actions: &mut Vec<Action>,
    ) {
        if self.reported.contains(&server) {
            let ejection = policy_event::Ejection::Granted;
            actions.push(Action::Report { server, ejection });
            return;
        }
        let request = || pending::Pending::new(ejection, now);
        self.pending.entry(server).or_insert_with(request);
    }

    fn restore(&mut self, server: &id::Server, actions: &mut Vec<Action>) {
        self.pending.remove(server);
        let latest = self.view.latest_mark(server);
        if latest.is_none_or(|mark| mark.ejection.is_none()) {
            self.reported.remove(server);
            actions.push(Action::Report {
                server: server.clone(),
                ejection: policy_event::Ejection::Restored,
            });
            return;
        }
        let mark = mark::Mark {
            server: server.clone(),
            stamp: self.view.next_stamp(self.instance),
            ejection: None,
        };
        self.view.apply_mark(mark.clone());
        self.restores.insert(server.clone(), mark.clone());
        actions.push(Action::Broadcast(mark));
    }

    /// Ejects a server with this daemon's own tokens, if it has enough of them.
    fn spend(
        &mut self,
        server: &id::Server,
        ejection: mark::Ejection,
        actions: &mut Vec<Action>,
    ) -> Option<mark::Mark> {
        let slots = self.view.slots(server)?;
        let insufficient = self.spendable_tokens() < slots;
        if self.stopping || insufficient || !self.view.leaves_room(server, self.instance) {
            return None;
        }
        let mark = mark::Mark {
            server: server.clone(),
            stamp: self.view.next_stamp(self.instance),
            ejection: Some(ejection),
        };
        self.tokens.spend(mark.clone(), slots);
        self.view.apply_mark(mark.clone());
        actions.push(Action::Broadcast(mark.clone()));
        Some(mark)
    }

    /// Decides the pending ejections that were made elsewhere or that this daemon's tokens cover.
    fn decide_pending_ejections(&mut self, now: time::Time, actions: &mut Vec<Action>) {
        let pair = |(server, pending): (&id::Server, &pending::Pending)| {
            (server.clone(), pending.ejection.clone())
        };
        let requests: Vec<_> = self.pending.iter().map(pair).collect();
        for (server, ejection) in requests {
            let latest = self.view.latest_mark(&server);
            let is_ejected = latest.is_some_and(|mark| mark.ejection.is_some());
            if !is_ejected && self.spend(&server, ejection, actions).is_none() {
                continue;
            }
            self.pending.remove(&server);
            if !self.view.ejected().contains(&server) {
                let evidence = self
                    .view
                    .latest_mark(&server)
                    .and_then(|mark| mark.ejection);
                self.log_decision(now, &server, evidence, decision::Verdict::Cut);
                let ejection = policy_event::Ejection::Denied;
                actions.push(Action::Report { server, ejection });
            }
        }
    }
}
