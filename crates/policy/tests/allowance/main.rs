//! Tests of the division of allowances.

mod bounds;
mod decisions;
mod fleet;
mod service;
