//! Merging of received records, and publication of this daemon's own.

use std::net;

use monsooncart_types::{instance, map, time};
use rand::RngExt as _;

use crate::membership::{action, event, member, message, record, table};

use super::{MEAN_NOTIFIERS, Protocol};

impl Protocol {
    /// Returns the record of the member that listens at an address.
    pub(super) fn record_at(&self, peers: net::SocketAddr) -> Option<record::Record> {
        let mut records = self.table.records();
        records.find(|r| r.member.peers == peers).cloned()
    }

    pub(super) fn merge_records(
        &mut self,
        now: time::Time,
        records: &[record::Record],
        actions: &mut Vec<action::Action>,
    ) {
        for record in records {
            self.merge_record(now, record, actions);
        }
    }

    pub(super) fn merge_record(
        &mut self,
        now: time::Time,
        record: &record::Record,
        actions: &mut Vec<action::Action>,
    ) {
        if record.member.vm == self.me.member.vm {
            self.merge_own_record(now, record, actions);
            return;
        }
        if self.table.merge(now, record) == table::Merge::Stale {
            self.repeat_refutation(now, record);
            return;
        }
        let Some(merged) = self.table.get(&record.member.vm).cloned() else {
            return;
        };
        let vm = merged.member.vm.clone();
        let local = merged.member.region == self.me.member.region;
        let suspect = merged.member.state == member::State::Suspect && local;
        if suspect {
            self.suspicions.insert(now, vm);
        } else {
            self.suspicions.remove(&vm);
        }
        actions.push(action::Action::Changed(merged.member.clone()));
        self.enqueue(merged.clone());
        if suspect {
            self.notify_suspect(&merged, actions);
        }
    }

    /// Adds a record to the dissemination queue.
    pub(super) fn enqueue(&mut self, record: record::Record) {
        let size = record.max_encoded_bytes();
        self.queue.push(record.member.vm.clone(), record, size);
    }

    /// Sends a refutation again if a suspicion that it refuted arrives well after it: the sender of
    /// the suspicion has not received it.
    pub(super) fn repeat_refutation(&mut self, now: time::Time, stale: &record::Record) {
        let Some(stored) = self.table.get(&stale.member.vm) else {
            return;
        };
        let suspected = stale.member.state == member::State::Suspect;
        let refuted =
            stored.member.state == member::State::Alive && stored.incarnation > stale.incarnation;
        let changed_at = self.table.changed_at(&stale.member.vm);
        let settled =
            changed_at.is_some_and(|at| now.since(at) >= self.timings.suspicion_timeout / 4);
        if suspected && refuted && settled {
            let stored = stored.clone();
            self.enqueue(stored);
        }
    }

    /// Notifies a suspected member directly, with a probability that makes a few daemons of the
    /// region do so: the member may be reachable from some of them only.
    pub(super) fn notify_suspect(
        &mut self,
        suspect: &record::Record,
        actions: &mut Vec<action::Action>,
    ) {
        let peers = self.view().peers.len().max(1);
        let probability = MEAN_NOTIFIERS / peers as f64;
        if self.rng.random_bool(probability.min(1.0)) {
            let to = suspect.member.peers;
            self.send(to, Some(suspect), message::Kind::Gossip, actions);
        }
    }

    /// Handles a record of this daemon's own VM: refutes a suspicion, or raises the incarnation
    /// above that of another instance.
    pub(super) fn merge_own_record(
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
        let should_leave = own && record.member.leaving && !self.me.member.leaving;
        if should_leave {
            self.leave(now, actions);
        }
        let outdated = match own {
            true => {
                let suspected = record.member.state != member::State::Alive;
                record.incarnation > self.me.incarnation
                    || (suspected && record.incarnation == self.me.incarnation)
            }
            false => {
                self.table.record_terminated(record.member.instance);
                record.incarnation >= self.me.incarnation
            }
        };
        if outdated {
            self.me.incarnation = record.incarnation.saturating_add(1);
            self.publish(now);
        }
    }

    // Lifecycle of this daemon.

    pub(super) fn publish(&mut self, now: time::Time) {
        self.table.merge(now, &self.me);
        self.enqueue(self.me.clone());
    }

    pub(super) fn leave(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if self.me.member.leaving {
            return;
        }
        self.me.member.leaving = true;
        self.publish(now);
        actions.push(action::Action::Changed(self.me.member.clone()));
    }

    pub(super) fn shut_down(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        self.me.member.leaving = true;
        self.me.member.state = member::State::Left;
        self.publish(now);
        for receiver in self.random_peers(2 * self.timings.gossip_fanout, None) {
            let to = receiver.member.peers;
            self.send(to, Some(&receiver), message::Kind::Gossip, actions);
        }
    }

    /// Applies changes of the VM list. A listed state takes effect only when first observed, so
    /// that an outdated list does not terminate a later instance on a VM of the same name.
    pub(super) fn handle_vm_list(
        &mut self,
        now: time::Time,
        vms: Vec<event::Vm>,
        actions: &mut Vec<action::Action>,
    ) {
        let mut listed = map::Map::default();
        for vm in vms {
            let earlier = self.vm_list.get(&vm.name).map(|earlier| earlier.state);
            if earlier != Some(vm.state) {
                self.apply_vm_state(now, &vm, actions);
            }
            listed.insert(vm.name.clone(), vm);
        }
        self.vm_list = listed;
    }

    pub(super) fn apply_vm_state(
        &mut self,
        now: time::Time,
        vm: &event::Vm,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(stored) = self.table.get(&vm.name) else {
            return;
        };
        let mut record = stored.clone();
        match vm.state {
            event::VmState::Live => return,
            event::VmState::Leaving => record.member.leaving = true,
            event::VmState::Gone => record.member.state = member::State::Gone,
        }
        self.merge_record(now, &record, actions);
    }

    /// Whether an instance has certainly terminated: it left, was replaced, or its VM is gone.
    #[must_use]
    pub fn is_ended(&self, instance: instance::Instance) -> bool {
        self.table.is_ended(instance)
    }
}
