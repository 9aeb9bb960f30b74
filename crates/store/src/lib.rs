//! The platform's object API and VM list.
//!
//! [`store::Store`] and [`vms::List`] are the interfaces, implemented by the HTTP client
//! [`client::Client`] and the in-memory platform [`memory::Memory`]. Both count their calls by
//! operation; a long-polling watch counts once.

pub mod change;
pub mod client;
pub mod configuration;
pub mod counter;
pub mod dialect;
pub mod error;
mod history;
pub mod memory;
pub mod object;
pub mod protocol;
pub mod store;
pub mod vms;
