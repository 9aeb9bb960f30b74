//! Tasks of the membership protocol: received datagrams, clock ticks and reads of the VM list.

use std::net;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use monsooncart_policy::membership::{event, message, record};
use monsooncart_store::vms;
use monsooncart_wire::datagram;
use tokio::time::{self, MissedTickBehavior};

use crate::shared;

/// Key by which the readers of the VM list are ranked.
const READER_RANK_KEY: &[u8] = b"vms";

/// Number of members of a region that read the VM list.
const READER_COUNT: usize = 2;

/// Receives datagrams until the engine stops.
pub(crate) async fn receive(shared: Arc<shared::Shared>) {
    let mut buffer = vec![0; datagram::MAX_BYTES + 1];
    loop {
        match shared.udp.recv_from(&mut buffer).await {
            Ok((length, from)) => receive_datagram(&shared, from, &buffer[..length]),
            // The error may be caused by an earlier sent datagram, such as an ICMP rejection.
            Err(error) => log::debug!(error:%; "gossip: receiving a datagram failed"),
        }
    }
}

/// Checks and decodes a datagram, and dispatches its content.
fn receive_datagram(shared: &Arc<shared::Shared>, from: net::SocketAddr, bytes: &[u8]) {
    let admitted = shared.secret.is_some() || shared.admission.admits(from.ip());
    if !admitted {
        shared::increment(&shared.counters.refused);
        shared.vm_list_requested.notify_one();
        log::debug!(peer:% = from; "gossip: refused datagram from an unknown address");
        return;
    }
    let datagram = match datagram::decode(bytes, shared.secret.as_ref()) {
        Ok(datagram) => datagram,
        Err(error) => {
            shared::increment(&shared.counters.refused);
            log::debug!(peer:% = from, error:%; "gossip: refused datagram");
            return;
        }
    };
    shared::increment(&shared.counters.datagrams_received);
    let length = bytes.len() as u64;
    let received = &shared.counters.datagram_bytes_received;
    received.fetch_add(length, Ordering::Relaxed);
    match datagram {
        datagram::Datagram::Membership(mut message) => {
            if shared.tls.is_some() && shared.secret.is_none() {
                drop_unknown_records(shared, &mut message);
            }
            shared.handle_event(event::Event::Datagram(message));
        }
        datagram::Datagram::News(items) => shared.receive_updates(items),
    }
}

/// Drops the records of unknown process instances: if calls are authenticated and datagrams are
/// not, members are added only by calls.
fn drop_unknown_records(shared: &shared::Shared, message: &mut message::Message) {
    let protocol = shared::lock(&shared.protocol);
    let is_known = |record: &record::Record| {
        let is_own = record.member.vm == shared.local.vm;
        is_own
            || protocol
                .table()
                .by_instance(record.member.instance)
                .is_some()
    };
    message.records.retain(is_known);
}

/// Runs the periodic work: ticks of the protocol, publication of member changes, gossip and the
/// closing of idle connections.
pub(crate) async fn tick(shared: Arc<shared::Shared>) {
    let mut interval = time::interval(shared.timings.tick_interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shared.handle_event(event::Event::Tick);
        shared.refresh_members_if_changed();
        shared.send_gossip();
        shared.pool.close_idle(shared.timings.idle_timeout);
    }
}

fn convert_vm(vm: vms::Vm) -> event::Vm {
    event::Vm {
        name: vm.name,
        peers: vm.peers,
        state: match vm.state {
            vms::State::Live => event::VmState::Live,
            vms::State::Leaving => event::VmState::Leaving,
            vms::State::Gone => event::VmState::Gone,
        },
    }
}

/// Reads the VM list at the start, after a datagram or connection from an unknown address, and
/// periodically while this daemon knows no other member or is selected as a reader.
pub(crate) async fn read_vms(shared: Arc<shared::Shared>, list: Arc<dyn vms::List>) {
    let mut requested = true;
    loop {
        let alone = shared.members.load().len() <= 1;
        let selected = shared::lock(&shared.protocol).is_top_ranked(READER_RANK_KEY, READER_COUNT);
        if requested || alone || selected {
            shared::increment(&shared.counters.vm_list_reads);
            match list.vms().await {
                Ok(vms) => {
                    let vms = vms.into_iter().map(convert_vm).collect();
                    shared.handle_event(event::Event::Vms(vms));
                    shared.refresh_members();
                }
                Err(error) => log::warn!(error:%; "gossip: reading the VM list failed"),
            }
        }
        // At most one read per period, however many unknown addresses request one.
        time::sleep(shared.timings.vm_list_interval).await;
        let notified = time::timeout(
            std::time::Duration::ZERO,
            shared.vm_list_requested.notified(),
        )
        .await;
        requested = notified.is_ok();
    }
}
