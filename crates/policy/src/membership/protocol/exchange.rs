//! Datagrams to other members and from them.

use std::net;

use monsooncart_types::time;
use rand::seq::IndexedRandom;

use crate::membership::{action, event, member, message, queue, record, relays};

use super::{HEADER, MAX_DATAGRAM_BYTES, Protocol};

impl Protocol {
    /// Tries an address where a daemon may run that is not held as live: a seed, a listed VM or a
    /// member held as dead, so that parted groups find each other again.
    pub(super) fn knock(&mut self, actions: &mut Vec<action::Action>) {
        let view = self.view();
        let listed = self
            .listed
            .values()
            .filter(|vm| vm.state != event::VmState::Gone);
        let dead = self
            .table
            .members()
            .filter(|m| m.state == member::State::Dead);
        let known = self.seeds.iter().copied();
        let known = known
            .chain(listed.map(|vm| vm.peers))
            .chain(dead.map(|m| m.peers));
        let mut silent: Vec<_> = known.filter(|peers| !view.live.contains(peers)).collect();
        silent.sort_unstable();
        silent.dedup();
        let Some(to) = silent.choose(&mut self.rng).copied() else {
            return;
        };
        let kind = message::Kind::Ping { number: 0 };
        let held = self.table.records().find(|r| r.member.peers == to).cloned();
        self.send(to, held.as_ref(), kind, actions);
        let alone = view.live.len() <= 1;
        if alone {
            actions.push(action::Action::Sync { with: to });
        }
    }

    // Spreading.

    pub(super) fn gossip(&mut self, actions: &mut Vec<action::Action>) {
        if self.queue.is_empty() {
            return;
        }
        let mut receivers = self.choose(self.timings.gossip_fanout, None);
        receivers.extend(self.foreign_delegate());
        for receiver in receivers {
            let to = receiver.member.peers;
            self.send(to, Some(&receiver), message::Kind::Gossip, actions);
        }
    }

    /// A delegate of another region, where this daemon is a delegate of its own.
    pub(super) fn foreign_delegate(&mut self) -> Option<record::Record> {
        let view = self.view();
        if !view.is_delegate {
            return None;
        }
        let region = view.delegates.choose(&mut self.rng)?;
        let vm = region.choose(&mut self.rng)?;
        self.table.get(vm).cloned()
    }

    pub(super) fn sync(&mut self, actions: &mut Vec<action::Action>) {
        let near = self.choose(1, None);
        let far = self.foreign_delegate();
        for peer in near.into_iter().chain(far) {
            let with = peer.member.peers;
            actions.push(action::Action::Sync { with });
        }
    }

    pub(super) fn sweep(&mut self, now: time::Time) {
        let retention = self.timings.retention;
        let ended = self.table.records().filter(|r| !r.member.state.is_live());
        let past = ended.filter(|r| {
            let since = self.table.changed_at(&r.member.vm);
            since.is_some_and(|since| now.since(since) >= retention)
        });
        let past: Vec<_> = past.map(|r| r.member.vm.clone()).collect();
        for vm in past {
            self.table.remove(&vm);
        }
    }

    /// Sends a datagram with as many records as it has room for. A receiver that is held as
    /// anything but alive is told so first, for it to refute.
    pub(super) fn send(
        &mut self,
        to: net::SocketAddr,
        receiver: Option<&record::Record>,
        kind: message::Kind,
        actions: &mut Vec<action::Action>,
    ) {
        let mut room = MAX_DATAGRAM_BYTES - HEADER;
        let mut records = Vec::new();
        let suspected = receiver.filter(|r| r.member.state != member::State::Alive);
        let introduction = receiver.is_none().then_some(&self.me);
        for record in suspected.into_iter().chain(introduction) {
            room = room.saturating_sub(record.size());
            records.push(record.clone());
        }
        let sends = queue::transmit_limit(self.table.members().count());
        records.extend(self.queue.take(room, sends));
        let message = message::Message {
            from: self.me.member.instance,
            reply: self.me.member.peers,
            kind,
            records,
        };
        actions.push(action::Action::Send { to, message });
    }

    // Receiving.

    pub(super) fn datagram(
        &mut self,
        now: time::Time,
        message: &message::Message,
        actions: &mut Vec<action::Action>,
    ) {
        self.take_all(now, &message.records, actions);
        if self.table.is_ended(message.from) {
            return;
        }
        let sender = self.table.by_instance(message.from).cloned();
        match message.kind {
            message::Kind::Ping { number } => {
                let ack = message::Kind::Ack { number };
                self.send(message.reply, sender.as_ref(), ack, actions);
            }
            message::Kind::Ack { number } => self.ack(now, number, actions),
            message::Kind::Indirect { number, target } => {
                self.relay(now, message.reply, number, target, actions);
            }
            message::Kind::Gossip => {}
        }
        if sender.is_none() {
            let with = message.reply;
            actions.push(action::Action::Sync { with });
        }
    }

    pub(super) fn ack(&mut self, now: time::Time, number: u64, actions: &mut Vec<action::Action>) {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.number == number)
        {
            self.probe = None;
            return;
        }
        let Some(relay) = self.relays.answered(now, number) else {
            return;
        };
        let ack = message::Kind::Ack {
            number: relay.number,
        };
        let asker = self.at(relay.asker);
        self.send(relay.asker, asker.as_ref(), ack, actions);
    }

    pub(super) fn relay(
        &mut self,
        now: time::Time,
        asker: net::SocketAddr,
        number: u64,
        target: net::SocketAddr,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(held) = self.at(target) else {
            return;
        };
        if !self.relays.has_room(now) {
            return;
        }
        self.number += 1;
        let relay = relays::Relay {
            asker,
            number,
            started: now,
        };
        self.relays.insert(self.number, relay);
        let ping = message::Kind::Ping {
            number: self.number,
        };
        self.send(target, Some(&held), ping, actions);
    }
}
