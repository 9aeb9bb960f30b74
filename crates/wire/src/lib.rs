//! The messages between daemons and their codec.
//!
//! Calls go over TCP as tarpc requests in length-delimited postcard frames ([`frame`], [`peer`]),
//! after a [`hello`] handshake; membership messages and gossiped updates go over UDP as
//! [`datagram`]s. Every length is checked against a maximum before memory is allocated for it.

pub mod claims;
pub mod configuration;
pub mod datagram;
pub mod floor;
pub mod frame;
pub mod hello;
pub mod peer;
pub mod sync;
pub mod update;
pub mod usage;
