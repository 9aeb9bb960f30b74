//! Subcommands, one module each.

pub mod config;
pub mod drain;
pub mod explain;
pub mod report;
pub mod run;
pub mod status;
pub mod usage;
