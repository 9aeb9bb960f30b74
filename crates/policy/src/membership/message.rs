//! Datagrams of the membership protocol.

use std::net;

use monsooncart_types::instance;

use super::record;

/// Purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Kind {
    /// Requests an `Ack`.
    Ping {
        /// Number of the probe, chosen by its sender.
        number: u64,
    },
    /// Answers a `Ping`, or an `Indirect` once its target has answered.
    Ack {
        /// Number of the probe that it answers.
        number: u64,
    },
    /// Requests that the receiver ping `target` on the sender's behalf.
    Indirect {
        /// Number of the probe, chosen by its sender.
        number: u64,
        /// Peer address of the target.
        target: net::SocketAddr,
    },
    /// Only carries records.
    Gossip,
}

/// A datagram, with records piggybacked on it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Instance of the sender.
    pub from: instance::Instance,
    /// Address that replies should be sent to.
    pub reply: net::SocketAddr,
    /// Purpose.
    pub kind: Kind,
    /// Updated records of members.
    pub records: Vec<record::Record>,
}
