//! The request path between callers and backend servers.
//!
//! What the request path needs of the rest of the daemon stands behind the traits of [`interface`].
//! [`config::Config`] puts an [`engine::Engine`] together, which serves listeners.
//!
//! Invariants:
//!
//! - A request is reported as not run only where no byte of any attempt was handed to the kernel,
//!   or a server refused it as not run.
//! - A connection to a server carries one exchange at a time, and is closed after a timeout, a
//!   cancellation or a framing fault.
//! - An answer that was cut short ends the caller's connection with an error.

pub mod config;
pub mod decision;
pub mod engine;
pub mod host_routing;
pub mod interface;
pub mod pool;
pub mod split;
pub mod trace;

mod account;
mod activity;
mod answer;
mod attempt;
mod body;
mod caller;
mod claim;
mod clock;
mod common;
mod exchange;
mod gate;
mod header;
mod link;
mod listener;
mod lock;
mod metrics;
mod own;
mod pass;
mod payload;
mod probe;
mod problem;
mod request;
mod router;
mod samples;
mod server;
mod service;
mod sizes;
mod socket;

mod stall;
