//! Callers that check that every response belongs to their request.
//!
//! A caller gets the entry addresses of its service from a daemon, caches them for their lifetime
//! and connects to them itself. It retries repeatable requests that were not answered. Unrepeatable
//! requests carry a ticket and are retried only with the same ticket.

pub mod entries;
pub mod options;
pub mod report;
pub mod run;

mod client;
mod exchange;
mod pace;
mod request;
