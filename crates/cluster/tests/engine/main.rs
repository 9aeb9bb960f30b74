//! Tests of engines that communicate over the loopback interface.

#![expect(clippy::unwrap_used, reason = "a failed fixture fails its test")]

mod dissemination;
mod faults;
mod fixture;
mod join;
mod keys;
mod lifecycle;
mod panics;
mod partitions;
mod platform;
mod regions;
mod removal;
mod routing;
