//! Usage accounting and error-budget burn of the services.
//!
//! [`counter::Counter`] counts a [`sample::Sample`] of every completed request. [`book::Book`]
//! writes the counts as whole objects, so that a repeated write changes nothing, and
//! [`totals::Totals`] adds them up. [`burn`] computes how fast services spend their error budgets,
//! and on what. This crate performs no I/O.

pub mod book;
pub mod burn;
pub mod copies;
pub mod counter;
pub mod page;
pub mod sample;
pub mod tally;
pub mod totals;
