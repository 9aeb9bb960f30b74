//! Simulated counterparts of the systems around the fleet, and the experiments on a fleet.
//!
//! Each of these systems can run as a process. It is also a library type that serves a bound
//! listener, so that tests and the quickstart can run it inside their own process.

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
