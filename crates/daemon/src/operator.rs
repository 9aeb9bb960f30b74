//! Authorisation of operators on the admin listener.
//!
//! An established TCP connection proves that the peer receives at its source address. A request
//! from this VM or from the VM of a live daemon therefore comes from somebody logged in on a VM of
//! the fleet, who could also stop a daemon there by a signal.

use std::net;

use monsooncart_policy::membership::member;

/// Whether a request from `peer` may start a planned stop.
#[must_use]
pub fn may_drain(peer: net::IpAddr, members: &[member::Member]) -> bool {
    let peer = peer.to_canonical();
    let is_on_vm = |m: &member::Member| m.peers.ip() == peer || m.admin.ip() == peer;
    peer.is_loopback() || members.iter().any(is_on_vm)
}
