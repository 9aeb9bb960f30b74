//! The membership protocol on a simulated lossy network of a few daemons with a virtual clock.

#![expect(clippy::unwrap_used, reason = "a failed fixture fails its test")]

mod addresses;
mod faults;
mod life;
mod network;
mod rank;
mod records;
mod regions;
