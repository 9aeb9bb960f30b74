//! Tests of the request path with test servers and fakes of the rest of the daemon.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be made fails its test"
)]

mod fakes;
mod fixture;
mod scripted;

mod accounts;
mod callers;
mod cancelling;
mod directed;
mod faults;
mod limits;
mod not_run;
mod passing;
mod routing;
mod statuses;
mod stopping;
mod tickets;
