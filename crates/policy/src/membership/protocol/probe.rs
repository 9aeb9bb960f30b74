//! Probing members, directly and through others, and judging those that do not answer.

use monsooncart_types::{id, time};
use rand::seq::{IndexedRandom, SliceRandom};

use crate::membership::{action, member, message, record, suspicions};

use super::{Probe, Protocol};

impl Protocol {
    /// Judges nobody by what was not heard while this daemon was paused.
    pub(super) fn resume(&mut self, now: time::Time) {
        self.probe = None;
        self.suspicions.restart(now);
    }

    // Probing.

    /// Asks others where the direct probe went unanswered, and suspects where theirs did too.
    pub(super) fn watch_probe(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        let waited = now.since(probe.started);
        if waited >= self.timings.probe_interval {
            let vm = probe.vm.clone();
            self.probe = None;
            self.suspect(now, &vm, actions);
            return;
        }
        if waited >= self.timings.probe_timeout && !probe.indirect {
            probe.indirect = true;
            let (number, vm) = (probe.number, probe.vm.clone());
            self.ask_others(number, &vm, actions);
        }
    }

    pub(super) fn start_probe(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        if self.probe.is_some() {
            return;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        self.number += 1;
        self.probe = Some(Probe {
            number: self.number,
            vm: target.member.vm.clone(),
            started: now,
            indirect: false,
        });
        let kind = message::Kind::Ping {
            number: self.number,
        };
        self.send(target.member.peers, Some(&target), kind, actions);
    }

    /// The next live member of the region, each once in a random order before any again.
    pub(super) fn next_target(&mut self) -> Option<record::Record> {
        for _ in 0..2 {
            while let Some(vm) = self.ring.pop() {
                let held = self.table.get(&vm);
                if let Some(record) = held.filter(|r| self.is_peer(r)) {
                    return Some(record.clone());
                }
            }
            let mut ring = self.view().peers.clone();
            ring.shuffle(&mut self.rng);
            self.ring = ring;
        }
        None
    }

    /// Whether a member is a live one of this region, other than this daemon.
    pub(super) fn is_peer(&self, record: &record::Record) -> bool {
        let m = &record.member;
        m.state.is_live() && m.region == self.me.member.region && m.vm != self.me.member.vm
    }

    pub(super) fn ask_others(
        &mut self,
        number: u64,
        vm: &id::Vm,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(target) = self.table.get(vm).map(|r| r.member.peers) else {
            return;
        };
        let helpers = self.choose(self.timings.indirect_probes, Some(vm));
        for helper in helpers {
            let kind = message::Kind::Indirect { number, target };
            self.send(helper.member.peers, Some(&helper), kind, actions);
        }
    }

    /// Up to `count` live members of the region other than `except`, at random.
    pub(super) fn choose(&mut self, count: usize, except: Option<&id::Vm>) -> Vec<record::Record> {
        let view = self.view();
        let more = count + usize::from(except.is_some());
        let chosen = view.peers.sample(&mut self.rng, more);
        let chosen = chosen.filter(|vm| Some(*vm) != except).take(count);
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
        let Some(held) = self.table.get(vm) else {
            return;
        };
        if held.member.state != member::State::Alive {
            return;
        }
        let mut record = held.clone();
        record.member.state = member::State::Suspect;
        self.take(now, &record, actions);
    }

    /// Declares dead whom nobody vouched for in time, and repeats suspicions.
    pub(super) fn expire_suspects(&mut self, now: time::Time, actions: &mut Vec<action::Action>) {
        for (vm, due) in self.suspicions.due(now, self.timings.suspicion_timeout) {
            let Some(mut record) = self.table.get(&vm).cloned() else {
                continue;
            };
            match due {
                suspicions::Due::Expire => {
                    record.member.state = member::State::Dead;
                    self.take(now, &record, actions);
                }
                suspicions::Due::Repeat => {
                    self.tell_on(record.clone());
                    self.warn(&record, actions);
                }
            }
        }
    }
}
