//! The request path between callers and backend servers.
//!
//! The rest of the daemon is reached through the traits in [`interface`]. [`config::Config`]
//! builds an [`engine::Engine`], which serves listeners.
//!
//! Invariants:
//!
//! - A request is reported as not run only if either no byte of any attempt was handed to the
//!   kernel or every server that received it refused it as not run.
//! - A connection to a server carries one exchange at a time and is closed after a timeout, a
//!   cancellation or a framing error.
//! - A truncated response ends the caller's connection with an error.

pub mod config;
pub mod decision;
pub mod engine;
pub mod host_routing;
pub mod interface;
pub mod pool;
pub mod relay;
pub mod report;
pub mod split;
pub mod trace;

mod access;
mod account;
mod activity;
mod announcement;
mod attempt;
mod backlog;
mod body;
mod caller;
mod claim;
mod clock;
mod common;
mod deadline;
mod exchange;
mod expiry;
pub mod explain;
mod fingerprint;
mod forwarded;
mod gate;
mod header;
mod link;
mod listener;
mod local_reply;
mod lock;
mod log_limiter;
mod memory;
mod metrics;
mod pace;
mod pass;
mod payload;
mod permit;
mod prefix;
mod probe;
mod problem;
mod request;
mod response_sizes;
mod router;
mod screening;
mod server;
mod service;
mod socket;
mod stall;
mod target;
mod tcp;
