//! What the membership protocol is told.

use std::net;

use monsooncart_types::id;

use super::{message, record};

/// What the VM list says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmState {
    /// It runs.
    Live,
    /// It is going to be stopped.
    Leaving,
    /// It is gone for good.
    Gone,
}

/// A VM in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Its name.
    pub name: id::Vm,
    /// Where its daemon listens for other daemons.
    pub peers: net::SocketAddr,
    /// What the list says of it.
    pub state: VmState,
}

/// An event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A datagram came.
    Datagram(message::Message),
    /// A peer told records by a call.
    Records(Vec<record::Record>),
    /// The VM list was read.
    Vms(Vec<Vm>),
    /// The addresses tried besides the VM list are others now.
    Seeds(Vec<net::SocketAddr>),
    /// This daemon starts to leave: it takes no new duties and goes on running.
    Leave,
    /// This daemon ends now.
    Shutdown,
}
