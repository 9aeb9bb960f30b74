//! Usage accounting: every request is counted once despite lost responses, stops and crashes.

mod book;
mod fixture;
mod totals;
