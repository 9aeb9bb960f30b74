//! Subcommands, one per file.

pub mod backend;
pub mod caller;
pub mod control_point;
pub mod experiment;
pub mod fault;
pub mod naive_daemon;
pub mod platform;
pub mod soak;
pub mod stops;
