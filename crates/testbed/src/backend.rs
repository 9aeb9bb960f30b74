//! A backend server with gray failure modes and a log of every started request.
//!
//! Its responses echo the request, so that a caller can check that a response belongs to its
//! request, or have bodies of a pattern that the caller can compute. Every request that gets a slot
//! counts as started and is logged, whether or not its response is delivered.

pub mod control;
pub mod mode;
pub mod options;
pub mod pattern;
pub mod server;
pub mod starts;

mod arrivals;
mod body;
mod crossing;
mod slots;
mod socket;
