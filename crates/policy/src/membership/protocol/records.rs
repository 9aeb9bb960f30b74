//! Merging of received records, and publication of this daemon's own.

use std::net;

use monsooncart_types::{instance, map, time};
use rand::RngExt as _;

use crate::membership::{action, event, member, message, record, table};

use super::{MEAN_NOTIFIERS, Protocol};

impl Protocol {
    /// Returns the record of the member that listens at an address, or listened there last if none is
    /// live.
    pub(super) fn record_at(&self, peers: net::SocketAddr) -> Option<record::Record> {
        let records = self.table.records().filter(|r| r.member.peers == peers);
        records.max_by_key(|r| r.member.state.is_live()).cloned()
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
        if record.member.vm == self.local.member.vm {
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
        let in_own_region = merged.member.region == self.local.member.region;
        let is_suspect = merged.member.state == member::State::Suspect && in_own_region;
        if is_suspect {
            self.suspicions.insert(now, vm);
        } else {
            self.suspicions.remove(&vm);
        }
        actions.push(action::Action::Changed(merged.member.clone()));
        self.enqueue(merged.clone());
        if is_suspect {
            self.notify_suspect(&merged, actions);
        }
    }

    /// Adds a record to the dissemination queue.
    pub(super) fn enqueue(&mut self, record: record::Record) {
        let size_bytes = record.max_encoded_bytes();
        self.queue
            .push(record.member.vm.clone(), record, size_bytes);
    }

    /// Queues a refutation again if the refuted suspicion still arrives some time later: its sender
    /// has not received the refutation.
    pub(super) fn repeat_refutation(&mut self, now: time::Time, stale: &record::Record) {
        let Some(stored) = self.table.get(&stale.member.vm) else {
            return;
        };
        let suspected = stale.member.state == member::State::Suspect;
        let refuted =
            stored.member.state == member::State::Alive && stored.incarnation > stale.incarnation;
        let changed_at = self.table.changed_at(&stale.member.vm);
        let should_have_arrived =
            changed_at.is_some_and(|at| now.since(at) >= self.timings.suspicion_timeout / 4);
        if suspected && refuted && should_have_arrived {
            let stored = stored.clone();
            self.enqueue(stored);
        }
    }

    /// Notifies a suspected member directly, with a probability at which a few daemons of the
    /// region do so: the member may be reachable from only some of them.
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
        if self.local.member.state.is_final() {
            return;
        }
        let is_own_instance = record.member.instance == self.local.member.instance;
        if is_own_instance && record.member.state.is_final() {
            actions.push(action::Action::Changed(record.member.clone()));
            return;
        }
        let should_leave = is_own_instance && record.member.leaving && !self.local.member.leaving;
        if should_leave {
            self.leave(now, actions);
        }
        let is_outdated = match is_own_instance {
            true => {
                let suspected = record.member.state != member::State::Alive;
                record.incarnation > self.local.incarnation
                    || (suspected && record.incarnation == self.local.incarnation)
            }
            false => {
                self.table.record_terminated(record.member.instance);
                record.incarnation >= self.local.incarnation
            }
        };
        if is_outdated {
            self.local.incarnation = record.incarnation.saturating_add(1);
            self.publish_own_record(now);
        }
    }

    /// Merges this daemon's record into the table and queues it for dissemination.
    pub(super) fn publish_own_record(&mut self, now: time::Time) {
        self.table.merge(now, &self.local);
        self.enqueue(self.local.clone());
    }

    pub(super) fn leave(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if self.local.member.leaving {
            return;
        }
        self.local.member.leaving = true;
        self.publish_own_record(now);
        actions.push(action::Action::Changed(self.local.member.clone()));
    }

    pub(super) fn shut_down(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        self.local.member.leaving = true;
        self.local.member.state = member::State::Left;
        self.publish_own_record(now);
        for receiver in self.random_peers(2 * self.timings.gossip_fanout, None) {
            let to = receiver.member.peers;
            self.send(to, Some(&receiver), message::Kind::Gossip, actions);
        }
    }

    /// Applies changes of the VM list. A listed state takes effect only when it is first observed,
    /// so that an outdated list does not terminate a later instance on a VM of the same name.
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
    pub fn is_terminated(&self, instance: instance::Instance) -> bool {
        self.table.is_terminated(instance)
    }
}
