//! Service-level burn: how fast services spend their error budgets, and for which causes.
//!
//! A burn of 1 spends exactly the budget that the objective allows over the window; a burn of 10
//! spends it in a tenth of the time. [`tracker::Tracker`] counts on one daemon, in bounded memory.
//! [`snapshot::Snapshots`] merges the snapshots of several daemons, and [`report::Report`] compares
//! them with the objectives.

pub mod bucket;
pub mod html;
pub mod report;
pub mod series;
pub mod snapshot;
pub mod subject;
pub mod tracker;
pub mod window;
