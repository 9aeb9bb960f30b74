//! Stand-ins for the systems around the fleet, each able to run as a process of its own, and the
//! experiment tool.
//!
//! Every stand-in is a library type that serves a bound listener, so that tests and the quickstart
//! can also run it inside their process.

pub mod backend;
pub mod caller;
pub mod experiment;
pub mod fault;
pub mod local;
pub mod platform;
pub mod registry;
pub mod site;
pub mod soak;
pub mod worker;
