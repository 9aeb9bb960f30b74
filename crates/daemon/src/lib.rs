//! The library daemon: the parts of one member of the fleet, put together.
//!
//! [`config::Config`] takes the settings and makes an [`engine::Engine`], which serves callers,
//! other daemons and operators until it is stopped. The parts know each other only through the
//! traits at their borders; the modules here implement those traits:
//!
//! - [`claims`] decides claims on the tickets of this daemon and asks other daemons about theirs;
//! - [`floors`] drives the ledger of ejections, one keeper for each service;
//! - [`fleet`] is what the request path sees of the rest of the fleet;
//! - [`accounts`] counts what the daemon carried, and keeps it;
//! - [`calls`] answers the calls of other daemons;
//! - [`admin`] answers operators;
//! - [`gateway`] is what a deployment needs whose servers register themselves and whose callers ask
//!   a directory for addresses.

pub mod accounts;
pub mod admin;
pub mod calls;
pub mod change;
pub mod claims;
pub mod config;
pub mod core;
pub mod embedded;
pub mod engine;
pub mod entries;
pub mod error;
pub mod evidence;
pub mod fleet;
pub mod floors;
pub mod follow;
pub mod gateway;
pub mod handover;
pub mod lock;
pub mod logging;
pub mod meter;
pub mod metrics;
pub mod operator;
pub mod pages;
pub mod parts;
pub mod policies;
pub mod reload;
pub mod reports;
pub mod secret;
pub mod status;
