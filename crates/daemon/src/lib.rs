//! The daemon as a library: assembles the components of one member of the fleet.
//!
//! [`config::Config`] takes the settings and starts an [`engine::Engine`], which serves callers,
//! other daemons and operators until it is stopped. The components depend on each other only
//! through traits, which the modules here implement:
//!
//! - [`claims`] decides claims on tickets minted by this daemon and forwards claims on others;
//! - [`floors`] runs the ejection ledgers, with one controller per service;
//! - [`fleet`] gives the proxy access to the rest of the fleet;
//! - [`accounts`] counts usage and stores it;
//! - [`rpc`] handles calls from other daemons;
//! - [`admin`] serves the admin API for operators;
//! - [`gateway`] supports deployments whose servers register themselves and whose callers resolve
//!   addresses through a directory.

pub mod accounts;
pub mod admin;
pub mod change;
pub mod claims;
pub mod components;
pub mod config;
pub mod core;
pub mod embedded;
pub mod engine;
pub mod entries;
pub mod error;
pub mod evidence;
pub mod fleet;
pub mod floors;
pub mod gateway;
pub mod handover;
pub mod lock;
pub mod logging;
pub mod meter;
pub mod metrics;
pub mod operator;
pub mod pages;
pub mod policies;
pub mod reload;
pub mod reports;
pub mod rpc;
pub mod secret;
pub mod status;
pub mod updates;
