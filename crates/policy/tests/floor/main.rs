//! The ejection ledger: rules of a single record, and controllers sharing a simulated platform.

mod controller;
mod fleet;
mod record;
