//! Usage accounting and error-budget burn of the services.
//!
//! [`counter::Counter`] counts a [`sample::Sample`] of every completed request. [`book::Book`]
//! collects the counts in pages and selects the next one to write; a page is always written as a
//! whole, so that a repeated write changes nothing. [`totals::Totals`] adds the pages up. [`burn`]
//! computes how fast services spend their error budgets, and for which causes. This crate performs
//! no I/O.

pub mod book;
pub mod burn;
pub mod copies;
pub mod counter;
pub mod page;
pub mod sample;
pub mod tally;
pub mod totals;
