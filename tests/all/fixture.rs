//! Fixtures that run the processes of a fleet and of the systems around it.

pub mod backend;
pub mod daemon;
pub mod fleet;
pub mod gateway;
pub mod http;
pub mod process;
pub mod wait;
