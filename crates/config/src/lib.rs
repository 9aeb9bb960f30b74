//! The fleet configuration and the settings of a daemon.
//!
//! Both are JSON with comments. A [`fleet::Fleet`] or [`settings::Settings`] returned by a parser
//! has passed all validation. `fleet::Fleet` is the form that operators write; [`object`] splits it
//! into the smaller objects stored in the platform.

pub mod diff;
pub mod error;
pub mod fleet;
pub mod object;
pub mod objective;
pub mod organisation;
mod parse;
mod reader;
pub mod registration;
pub mod report;
pub mod route;
pub mod routing;
pub mod rules;
pub mod server;
pub mod service;
pub mod settings;
pub mod snapshot;
pub mod text;
pub mod warning;
pub mod zone;
