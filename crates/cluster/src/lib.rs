//! Communication between the daemons of a fleet: membership, gossip, calls and the dissemination of
//! configuration.
//!
//! [`config::Config`] starts an [`engine::Engine`], which runs the I/O-free membership protocol of
//! `monsooncart-policy` over UDP, serves and makes tarpc calls over TCP, and maintains a
//! [`spread::held::Replica`] of the configuration. Nothing in this crate requires consensus: state
//! that must be agreed on is kept in the platform's objects or in the claims.

pub mod admission;
pub mod call;
pub mod client;
pub mod config;
pub mod counters;
pub mod engine;
pub mod handler;
pub mod relay;
pub mod scope;
pub mod spread;

mod connection;
mod dissemination;
mod gossip;
mod listener;
mod metered;
mod pool;
mod server;
mod shared;
mod socket;
mod tls;
