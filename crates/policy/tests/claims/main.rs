//! Claims on tickets: rules of a single table and of its handover.

mod handover;
mod table;
