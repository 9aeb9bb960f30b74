//! At-most-once execution of unrepeatable requests, by tickets.
//!
//! A daemon mints tickets. Only the minting daemon decides who may claim each of them, and only the
//! daemon whose claim was granted sends the request. This involves no lease, no clock and no
//! platform call: time only bounds how long a ticket is retained, and a ticket that is no longer
//! retained is never granted again.
//!
//! [`table::Table`] is the minter's side and [`permit::Permit`] the claimant's. On a planned
//! shutdown the table is transferred to a successor by a [`handover::Handover`], and
//! [`successor::Successors`] resolves which daemon now decides a minter's tickets.

pub mod claim;
pub mod handover;
pub mod permit;
pub mod register;
pub mod secret;
pub mod successor;
pub mod table;
pub mod ticket;
