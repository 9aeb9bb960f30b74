//! Inputs of the membership protocol.

use std::net;

use monsooncart_types::id;

use super::{message, record};

/// State of a VM according to the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be stopped.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub name: id::Vm,
    /// Address at which its daemon listens for other daemons.
    pub peers: net::SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// An input of the protocol's state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Periodic tick.
    Tick,
    /// A datagram arrived.
    Datagram(message::Message),
    /// A peer sent records in a call.
    Records(Vec<record::Record>),
    /// The VM list was read.
    Vms(Vec<Vm>),
    /// The configured seed addresses changed.
    Seeds(Vec<net::SocketAddr>),
    /// This daemon starts draining: it accepts no new responsibilities but keeps running.
    Leave,
    /// This daemon is about to exit.
    Shutdown,
}
