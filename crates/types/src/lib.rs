//! Types shared by all crates: identifiers, sizes, rates, shares, durations, instants and hash map
//! aliases.
//!
//! This crate performs no input or output and depends on no other crate of the workspace.

pub mod id;
pub mod instance;
pub mod map;
pub mod rate;
pub mod run;
pub mod share;
pub mod size;
pub mod span;
pub mod time;
pub mod version;
