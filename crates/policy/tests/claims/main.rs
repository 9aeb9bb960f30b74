//! Claims on tickets: rules of a single table and of its hand-over.

mod handover;
mod table;
