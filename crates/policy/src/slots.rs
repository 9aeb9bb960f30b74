//! Server selection.
//!
//! Servers have few slots, and tens of daemons share them. A daemon never has more attempts in
//! flight at a server than the server has slots. Among the servers with a free slot it draws two at
//! random and takes the one with the lower load relative to its slots. Servers in other data
//! centres count as slightly more loaded. Servers that are new or were restored count as smaller
//! during a ramp-up, so that their share of requests grows slowly.

pub mod choice;
pub mod division;
pub mod load;
pub mod room;
pub mod strategy;

pub use strategy::Strategy;
