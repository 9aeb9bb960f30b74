//! Taking records of members in, and telling of this one.

use std::net;

use monsooncart_types::{instance, map, time};
use rand::RngExt as _;

use crate::membership::{action, event, member, message, record, table};

use super::{Protocol, WARNERS};

impl Protocol {
    /// The member that listens at an address.
    pub(super) fn at(&self, peers: net::SocketAddr) -> Option<record::Record> {
        let mut held = self.table.records();
        held.find(|r| r.member.peers == peers).cloned()
    }

    pub(super) fn take_all(
        &mut self,
        now: time::Time,
        records: &[record::Record],
        actions: &mut Vec<action::Action>,
    ) {
        for record in records {
            self.take(now, record, actions);
        }
    }

    pub(super) fn take(
        &mut self,
        now: time::Time,
        record: &record::Record,
        actions: &mut Vec<action::Action>,
    ) {
        if record.member.vm == self.me.member.vm {
            self.take_own(now, record, actions);
            return;
        }
        if self.table.merge(now, record) == table::Merge::Stale {
            self.correct(now, record);
            return;
        }
        let Some(held) = self.table.get(&record.member.vm).cloned() else {
            return;
        };
        let vm = held.member.vm.clone();
        let near = held.member.region == self.me.member.region;
        let suspect = held.member.state == member::State::Suspect && near;
        if suspect {
            self.suspicions.insert(now, vm);
        } else {
            self.suspicions.remove(&vm);
        }
        actions.push(action::Action::Changed(held.member.clone()));
        self.tell_on(held.clone());
        if suspect {
            self.warn(&held, actions);
        }
    }

    /// Puts a record on the datagrams to come.
    pub(super) fn tell_on(&mut self, record: record::Record) {
        let size = record.size();
        self.queue.push(record.member.vm.clone(), record, size);
    }

    /// Tells a refutation once more where a suspicion that it answered is repeated later on: its
    /// teller has not heard of it.
    pub(super) fn correct(&mut self, now: time::Time, stale: &record::Record) {
        let Some(held) = self.table.get(&stale.member.vm) else {
            return;
        };
        let suspected = stale.member.state == member::State::Suspect;
        let refuted =
            held.member.state == member::State::Alive && held.incarnation > stale.incarnation;
        let since = self.table.changed_at(&stale.member.vm);
        let settled = since.is_some_and(|s| now.since(s) >= self.timings.suspicion_timeout / 4);
        if suspected && refuted && settled {
            let held = held.clone();
            self.tell_on(held);
        }
    }

    /// Tells a suspected member so directly, by a few daemons of the region: it may be reached from
    /// a few daemons only.
    pub(super) fn warn(&mut self, suspect: &record::Record, actions: &mut Vec<action::Action>) {
        let peers = self.view().peers.len().max(1);
        let share = WARNERS / peers as f64;
        if self.rng.random_bool(share.min(1.0)) {
            let to = suspect.member.peers;
            self.send(to, Some(suspect), message::Kind::Gossip, actions);
        }
    }

    /// Answers what is said of this daemon: refutes a suspicion, and outbids another run.
    pub(super) fn take_own(
        &mut self,
        now: time::Time,
        record: &record::Record,
        actions: &mut Vec<action::Action>,
    ) {
        if self.me.member.state.is_final() {
            return;
        }
        let own = record.member.instance == self.me.member.instance;
        if own && record.member.state.is_final() {
            actions.push(action::Action::Changed(record.member.clone()));
            return;
        }
        let told_to_leave = own && record.member.leaving && !self.me.member.leaving;
        if told_to_leave {
            self.leave(now, actions);
        }
        let outdated = match own {
            true => {
                let suspected = record.member.state != member::State::Alive;
                record.incarnation > self.me.incarnation
                    || (suspected && record.incarnation == self.me.incarnation)
            }
            false => {
                self.table.end(record.member.instance);
                record.incarnation >= self.me.incarnation
            }
        };
        if outdated {
            self.me.incarnation = record.incarnation.saturating_add(1);
            self.publish(now);
        }
    }

    // Life of this daemon.

    pub(super) fn publish(&mut self, now: time::Time) {
        self.table.merge(now, &self.me);
        self.tell_on(self.me.clone());
    }

    pub(super) fn leave(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if self.me.member.leaving {
            return;
        }
        self.me.member.leaving = true;
        self.publish(now);
        actions.push(action::Action::Changed(self.me.member.clone()));
    }

    pub(super) fn end(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        self.me.member.leaving = true;
        self.me.member.state = member::State::Left;
        self.publish(now);
        for receiver in self.choose(2 * self.timings.gossip_fanout, None) {
            let to = receiver.member.peers;
            self.send(to, Some(&receiver), message::Kind::Gossip, actions);
        }
    }

    /// Takes what is new in the VM list. A VM that is listed as gone was judged when it was first
    /// listed so; a lagging list cannot end a later run of the same name.
    pub(super) fn vms(
        &mut self,
        now: time::Time,
        vms: Vec<event::Vm>,
        actions: &mut Vec<action::Action>,
    ) {
        let mut listed = map::Map::default();
        for vm in vms {
            let earlier = self.listed.get(&vm.name).map(|earlier| earlier.state);
            if earlier != Some(vm.state) {
                self.listing(now, &vm, actions);
            }
            listed.insert(vm.name.clone(), vm);
        }
        self.listed = listed;
    }

    pub(super) fn listing(
        &mut self,
        now: time::Time,
        vm: &event::Vm,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(held) = self.table.get(&vm.name) else {
            return;
        };
        let mut record = held.clone();
        match vm.state {
            event::VmState::Live => return,
            event::VmState::Leaving => record.member.leaving = true,
            event::VmState::Gone => record.member.state = member::State::Gone,
        }
        self.take(now, &record, actions);
    }

    /// Whether a run has certainly ended: it left, was replaced, or its VM is gone.
    #[must_use]
    pub fn is_ended(&self, instance: instance::Instance) -> bool {
        self.table.is_ended(instance)
    }
}
