//! The platform's service: object API and VM list.
//!
//! [`store::Store`] and [`vms::List`] are the borders; the HTTP client and the in-memory version
//! stand behind them ([`client::Client`], [`memory::Memory`]). Each call of the object API is counted, a waiting watch as one.

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
