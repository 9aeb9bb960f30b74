//! Unit tests of the daemon crate.

mod meter;
mod operator;
