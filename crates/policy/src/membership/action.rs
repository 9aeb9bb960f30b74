//! Actions requested by the membership protocol.

use std::net;

use super::{member, message};

/// An action that the engine carries out for the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a datagram.
    Send {
        /// Destination.
        to: net::SocketAddr,
        /// Content.
        message: message::Message,
    },
    /// Reconciles the whole table with a peer's by a call.
    Sync {
        /// Address of the peer.
        with: net::SocketAddr,
    },
    /// A member joined, changed or terminated.
    Changed(member::Member),
}
