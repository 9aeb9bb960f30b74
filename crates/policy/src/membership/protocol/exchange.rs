//! Sending and receiving of datagrams.

use std::net;

use monsooncart_types::{instance, time};
use rand::seq::IndexedRandom;

use crate::membership::{action, event, member, message, queue, record, relays};

use super::{MAX_DATAGRAM_BYTES, MAX_HEADER_BYTES, Protocol};

impl Protocol {
    /// Pings one random address at which a daemon may run but none is known to be live: a seed, a
    /// listed VM or a dead member. This lets the groups of a partitioned fleet merge again.
    pub(super) fn probe_non_live(&mut self, actions: &mut Vec<action::Action>) {
        let view = self.view();
        let listed = self
            .vm_list
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
        let mut non_live: Vec<_> = known
            .filter(|peers| !view.live_addresses.contains(peers))
            .collect();
        non_live.sort_unstable();
        non_live.dedup();
        let Some(to) = non_live.choose(&mut self.rng).copied() else {
            return;
        };
        // No probe has the number 0: the ack is ignored, but the records that it carries are
        // merged.
        let kind = message::Kind::Ping { number: 0 };
        let receiver = self.table.records().find(|r| r.member.peers == to).cloned();
        self.send(to, receiver.as_ref(), kind, actions);
        let alone = view.live_addresses.len() <= 1;
        if alone {
            actions.push(action::Action::Sync { with: to });
        }
    }

    pub(super) fn send_gossip(&mut self, actions: &mut Vec<action::Action>) {
        if self.queue.is_empty() {
            return;
        }
        let mut receivers = self.random_peers(self.timings.gossip_fanout, None);
        receivers.extend(self.remote_delegate());
        for receiver in receivers {
            let to = receiver.member.peers;
            self.send(to, Some(&receiver), message::Kind::Gossip, actions);
        }
    }

    /// Chooses a delegate of another region; `None` unless this daemon is a delegate of its own.
    pub(super) fn remote_delegate(&mut self) -> Option<record::Record> {
        let view = self.view();
        if !view.is_delegate {
            return None;
        }
        let region = view.delegates.choose(&mut self.rng)?;
        let vm = region.choose(&mut self.rng)?;
        self.table.get(vm).cloned()
    }

    pub(super) fn start_sync(&mut self, actions: &mut Vec<action::Action>) {
        let local = self.random_peers(1, None);
        let remote = self.remote_delegate();
        for peer in local.into_iter().chain(remote) {
            let with = peer.member.peers;
            actions.push(action::Action::Sync { with });
        }
    }

    pub(super) fn remove_expired(&mut self, now: time::Time) {
        let retention = self.timings.retention;
        let not_live = self.table.records().filter(|r| !r.member.state.is_live());
        let expired = not_live.filter(|r| {
            let changed_at = self.table.changed_at(&r.member.vm);
            changed_at.is_some_and(|changed_at| now.since(changed_at) >= retention)
        });
        let expired: Vec<_> = expired.map(|r| r.member.vm.clone()).collect();
        for vm in expired {
            self.table.remove(&vm);
        }
    }

    /// Sends a datagram with as many records as fit. A receiver that is not recorded as alive is
    /// sent its own record first, so that it can refute it. A receiver without a record is sent
    /// this daemon's record.
    pub(super) fn send(
        &mut self,
        to: net::SocketAddr,
        receiver: Option<&record::Record>,
        kind: message::Kind,
        actions: &mut Vec<action::Action>,
    ) {
        let mut room_bytes = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES;
        let mut records = Vec::new();
        let not_alive = receiver.filter(|r| r.member.state != member::State::Alive);
        let introduction = receiver.is_none().then_some(&self.local);
        for record in not_alive.into_iter().chain(introduction) {
            room_bytes = room_bytes.saturating_sub(record.max_encoded_bytes());
            records.push(record.clone());
        }
        let max_sends = queue::transmit_limit(self.table.members().count());
        records.extend(self.queue.take(room_bytes, max_sends));
        let message = message::Message {
            from: self.local.member.instance,
            reply: self.local.member.peers,
            kind,
            records,
        };
        actions.push(action::Action::Send { to, message });
    }

    pub(super) fn handle_datagram(
        &mut self,
        now: time::Time,
        message: &message::Message,
        actions: &mut Vec<action::Action>,
    ) {
        self.merge_records(now, &message.records, actions);
        if self.table.is_terminated(message.from) {
            return;
        }
        let sender = self.table.by_instance(message.from).cloned();
        match message.kind {
            message::Kind::Ping { number } => {
                let ack = message::Kind::Ack { number };
                self.send(message.reply, sender.as_ref(), ack, actions);
            }
            message::Kind::Ack { number } => self.handle_ack(now, message.from, number, actions),
            message::Kind::Indirect { number, target } => {
                self.relay_probe(now, message.reply, number, target, actions);
            }
            message::Kind::Gossip => {}
        }
        if sender.is_none() {
            let with = message.reply;
            actions.push(action::Action::Sync { with });
        }
    }

    /// Ends the probe of the instance that responded, or forwards the response to the daemon on whose
    /// behalf the instance was pinged.
    pub(super) fn handle_ack(
        &mut self,
        now: time::Time,
        from: instance::Instance,
        number: u64,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(probe) = self.probe.as_ref().filter(|probe| probe.number == number) {
            if from == probe.instance || self.proves_indirectly(from, probe.instance) {
                self.probe = None;
            }
            return;
        }
        let Some(relay) = self.relays.take(now, number) else {
            return;
        };
        if from != relay.instance || !self.has_own_address(from) {
            return;
        }
        let ack = message::Kind::Ack {
            number: relay.number,
        };
        let requester = self.record_at(relay.requester);
        self.send(relay.requester, requester.as_ref(), ack, actions);
    }

    /// Whether a response that `helper` forwarded proves that the probed instance is live: it names only
    /// the address that responded, not the instance.
    fn proves_indirectly(&self, helper: instance::Instance, probed: instance::Instance) -> bool {
        self.table.by_instance(helper).is_some() && self.has_own_address(probed)
    }

    /// Whether no other live member is recorded at the address of an instance.
    fn has_own_address(&self, instance: instance::Instance) -> bool {
        let Some(record) = self.table.by_instance(instance) else {
            return false;
        };
        let peers = record.member.peers;
        let others = self.table.members().filter(|m| m.instance != instance);
        !others
            .into_iter()
            .any(|m| m.state.is_live() && m.peers == peers)
    }

    pub(super) fn relay_probe(
        &mut self,
        now: time::Time,
        requester: net::SocketAddr,
        number: u64,
        target: net::SocketAddr,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(receiver) = self.record_at(target) else {
            return;
        };
        if !self.relays.has_room(now) {
            return;
        }
        self.last_ping_number += 1;
        let relay = relays::Relay {
            requester,
            number,
            instance: receiver.member.instance,
            started_at: now,
        };
        self.relays.insert(self.last_ping_number, relay);
        let ping = message::Kind::Ping {
            number: self.last_ping_number,
        };
        self.send(target, Some(&receiver), ping, actions);
    }
}
