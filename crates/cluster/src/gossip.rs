//! The tasks behind membership: datagrams in, clock events, readings of the VM list.

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

/// Members of a region that read the VM list.
const READER_COUNT: usize = 2;

/// Receives datagrams.
pub(crate) async fn receive(shared: Arc<shared::Shared>) {
    let mut buffer = vec![0; datagram::MAX_BYTES + 1];
    loop {
        match shared.udp.recv_from(&mut buffer).await {
            Ok((length, from)) => receive_datagram(&shared, from, &buffer[..length]),
            // An error that a datagram sent earlier met on its way.
            Err(error) => log::debug!(error:%; "gossip: receive failed"),
        }
    }
}

fn receive_datagram(shared: &Arc<shared::Shared>, from: net::SocketAddr, bytes: &[u8]) {
    let admitted = shared.secret.is_some() || shared.admission.admits(from.ip());
    if !admitted {
        shared::count(&shared.counters.refused);
        shared.vm_list_requested.notify_one();
        log::debug!(peer:% = from; "gossip: refused datagram of a stranger");
        return;
    }
    let datagram = match datagram::decode(bytes, shared.secret.as_ref()) {
        Ok(datagram) => datagram,
        Err(error) => {
            shared::count(&shared.counters.refused);
            log::debug!(peer:% = from, error:%; "gossip: refused datagram");
            return;
        }
    };
    shared::count(&shared.counters.datagrams_received);
    let length = bytes.len() as u64;
    let received = &shared.counters.bytes_received;
    received.fetch_add(length, Ordering::Relaxed);
    match datagram {
        datagram::Datagram::Membership(mut message) => {
            if shared.tls.is_some() && shared.secret.is_none() {
                drop_unknown(shared, &mut message);
            }
            shared.handle_event(event::Event::Datagram(message));
        }
        datagram::Datagram::News(items) => shared.receive_updates(items),
    }
}

/// Drops the records of runs that are not known. Where calls are authenticated and datagrams are
/// not, members are made by calls alone.
fn drop_unknown(shared: &shared::Shared, message: &mut message::Message) {
    let protocol = shared::lock(&shared.protocol);
    let known = |record: &record::Record| {
        let own = record.member.vm == shared.local.vm;
        own || protocol
            .table()
            .by_instance(record.member.instance)
            .is_some()
    };
    message.records.retain(known);
}

/// Gives clock events to the protocol.
pub(crate) async fn tick(shared: Arc<shared::Shared>) {
    let mut interval = time::interval(shared.timings.tick_interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shared.handle_event(event::Event::Tick);
        shared.refresh_if_stale();
        shared.gossip();
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

/// Reads the VM list: always while alone, later where this daemon has the duty, and when a stranger
/// knocks.
pub(crate) async fn read_vms(shared: Arc<shared::Shared>, list: Arc<dyn vms::List>) {
    let mut asked = true;
    loop {
        let alone = shared.members.load().len() <= 1;
        let duty = shared::lock(&shared.protocol).is_chosen(READER_RANK_KEY, READER_COUNT);
        if asked || alone || duty {
            shared::count(&shared.counters.vm_readings);
            match list.vms().await {
                Ok(vms) => {
                    let vms = vms.into_iter().map(convert_vm).collect();
                    shared.handle_event(event::Event::Vms(vms));
                    shared.refresh();
                }
                Err(error) => log::warn!(error:%; "gossip: VM list not read"),
            }
        }
        // At most one reading a period, also when strangers knock.
        time::sleep(shared.timings.vms).await;
        let knocked = time::timeout(
            std::time::Duration::ZERO,
            shared.vm_list_requested.notified(),
        )
        .await;
        asked = knocked.is_ok();
    }
}
