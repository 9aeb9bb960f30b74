//! What operators write: the inventory with its rules, and the settings of one daemon.
//!
//! Both are JSON with comments. The types of this crate are the checked form: a value of
//! [`fleet::Fleet`] or [`settings::Settings`] that came out of a parser has passed every check.
//! `fleet::Fleet` is what an operator writes; [`object`] says how it is divided into the small
//! objects that the platform keeps.

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
