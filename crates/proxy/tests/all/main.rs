//! Tests of the request path with test servers and fakes of the rest of the daemon.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be made fails its test"
)]

mod departures;
mod early_reports;
mod endless;
mod fakes;
mod fingerprints;
mod fixture;
mod scripted;
mod second_attempts;
mod slow_callers;

mod accounts;
mod allowances;
mod callers;
mod cancelling;
mod faults;
mod forwarding;
mod host;
mod keys;

mod leaving;
mod limits;
mod memory_bound;
mod not_run;
mod policy_actions;
mod rate_limits;
mod relaying;
mod retry_after;
mod routing;
mod statuses;
mod stopping;
mod tickets;
