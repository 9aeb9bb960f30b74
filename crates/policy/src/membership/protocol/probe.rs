//! Failure detection: direct and indirect probes, and suspicion of members that do not answer.

use monsooncart_types::{id, time};
use rand::seq::{IndexedRandom, SliceRandom};

use crate::membership::{action, member, message, record, suspicions};

use super::{Probe, Protocol};

impl Protocol {
    /// Drops the pending probe and restarts all suspicion timers after this daemon was paused: the
    /// answers that are missing may have been lost at this end.
    pub(super) fn reset_after_pause(&mut self, now: time::Time) {
        self.probe = None;
        self.suspicions.restart(now);
    }

    /// Starts indirect probes if the direct probe timed out, and suspects the member if no probe
    /// was answered by the end of the interval.
    pub(super) fn check_probe(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let elapsed = now.since(probe.started_at);
        if elapsed >= self.timings.probe_interval {
            let (vm, instance) = (probe.vm.clone(), probe.instance);
            self.probe = None;
            if self.table.by_instance(instance).is_some() {
                self.suspect(now, &vm, actions);
            }
            self.probe_strongest_first();
            return;
        }
        if elapsed >= self.timings.probe_timeout && !probe.indirect_started {
            probe.indirect_started = true;
            let (number, vm) = (probe.number, probe.vm.clone());
            self.start_indirect_probe(number, &vm, actions);
        }
    }

    pub(super) fn start_probe(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if self.probe.is_some() {
            return;
        }
        let Some(target) = self.next_probe_target() else {
            return;
        };
        self.last_ping_number += 1;
        self.probe = Some(Probe {
            number: self.last_ping_number,
            vm: target.member.vm.clone(),
            instance: target.member.instance,
            started_at: now,
            indirect_started: false,
        });
        let kind = message::Kind::Ping {
            number: self.last_ping_number,
        };
        self.send(target.member.peers, Some(&target), kind, actions);
    }

    /// Returns the next live member of the region to probe. Each round visits every member once, in
    /// random order, or that of [`Self::probe_strongest_first`].
    pub(super) fn next_probe_target(&mut self) -> Option<record::Record> {
        for _ in 0..2 {
            while let Some(vm) = self.probe_order.pop() {
                let record = self.table.get(&vm);
                if let Some(record) = record.filter(|r| self.is_peer(r)) {
                    return Some(record.clone());
                }
            }
            let mut probe_order = self.view().peers.clone();
            probe_order.shuffle(&mut self.rng);
            self.probe_order = probe_order;
            self.is_strongest_first = false;
        }
        None
    }

    /// Begins a round with the strongest members that are not suspected, unless one is under way, which
    /// visits every member as well. Others may be lost with the one that did not answer, and callers are
    /// sent to the strongest.
    fn probe_strongest_first(&mut self) {
        if std::mem::replace(&mut self.is_strongest_first, true) {
            return;
        }
        let mut probe_order = self.view().peers.clone();
        probe_order.shuffle(&mut self.rng);
        let alive_capacity = |vm: &id::Vm| {
            let member = self.table.get(vm).map(|record| &record.member);
            let alive = member.filter(|m| m.state == member::State::Alive);
            alive.map(|m| m.capacity)
        };
        probe_order.sort_by_key(alive_capacity);
        self.probe_order = probe_order;
    }

    /// Whether a record is of another live member of this region.
    pub(super) fn is_peer(&self, record: &record::Record) -> bool {
        let m = &record.member;
        m.state.is_live() && m.region == self.local.member.region && m.vm != self.local.member.vm
    }

    pub(super) fn start_indirect_probe(
        &mut self,
        number: u64,
        vm: &id::Vm,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(target) = self.table.get(vm).map(|r| r.member.peers) else {
            return;
        };
        let helpers = self.random_peers(self.timings.indirect_probes, Some(vm));
        for helper in helpers {
            let kind = message::Kind::Indirect { number, target };
            self.send(helper.member.peers, Some(&helper), kind, actions);
        }
    }

    /// Chooses up to `count` random live members of the region other than `except`.
    pub(super) fn random_peers(
        &mut self,
        count: usize,
        except: Option<&id::Vm>,
    ) -> Vec<record::Record> {
        let view = self.view();
        let sample_size = count + usize::from(except.is_some());
        let sample = view.peers.sample(&mut self.rng, sample_size);
        let chosen = sample.filter(|vm| Some(*vm) != except).take(count);
        chosen
            .filter_map(|vm| self.table.get(vm).cloned())
            .collect()
    }

    pub(super) fn suspect(
        &mut self,
        now: time::Time,
        vm: &id::Vm,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(stored) = self.table.get(vm) else {
            return;
        };
        if stored.member.state != member::State::Alive {
            return;
        }
        let mut record = stored.clone();
        record.member.state = member::State::Suspect;
        self.merge_record(now, &record, actions);
    }

    /// Declares the members dead that did not refute a suspicion in time, and repeats the
    /// suspicions that are halfway to their timeout.
    pub(super) fn check_suspicions(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        for (vm, step) in self
            .suspicions
            .due_steps(now, self.timings.suspicion_timeout)
        {
            let Some(mut record) = self.table.get(&vm).cloned() else {
                continue;
            };
            match step {
                suspicions::Step::Expire => {
                    record.member.state = member::State::Dead;
                    self.merge_record(now, &record, actions);
                }
                suspicions::Step::Repeat => {
                    self.enqueue(record.clone());
                    self.notify_suspect(&record, actions);
                }
            }
        }
    }
}
