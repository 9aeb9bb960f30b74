//! Keeps each healthy server in use, however few requests there are.
//!
//! Costs alone would leave servers without requests: unrepeatable requests go to servers with a recent
//! success, and when demand is low a few of these carry all of it. Nothing is learned about the others
//! then, and they stand idle while requests fail. Whether requests fail cannot be the trigger: a daemon
//! sees only its own requests, only once they have ended, and by then the servers have been idle.
//!
//! A server that has had no attempt for a while is therefore given the next request. The daemons of its
//! data centre share this task without agreeing on it: each has a turn for each server, some time after
//! the server became idle, and an attempt by one of them, which the others hear of, ends the turns of
//! all. If a daemon is gone, stands still, or is not heard, the one whose turn is next takes its place.
//!
//! If no daemon of its data centre is left, those of other data centres that were told of its use before
//! ([`super::report`]) take its place.
//!
//! Servers in doubt are left alone while almost all others are in use.

use std::time::Duration;

use monsooncart_types::{id, instance};

use crate::rank;

/// Time without an attempt after which the first turn of a server begins.
const IDLE_TIME: Duration = Duration::from_millis(900);

/// Period over which the turns of the daemons are spread.
const TURN_PERIOD: Duration = Duration::from_millis(300);

/// Delay of the turn for requests that cannot be retried, so that those that can go first.
const UNREPEATABLE_DELAY: Duration = Duration::from_millis(600);

/// Time since its last attempt for which a server counts as in use.
pub const USE_TIME: Duration = Duration::from_secs(2);

/// Share of the servers that is to be in use, whether or not that takes servers in doubt.
const TARGET_SHARE: f64 = 0.85;

/// Probability of failure above which a server is in doubt. Well above that of a server of which nothing
/// is known, to which the belief decays, so that doubt ends some seconds after a failure.
const DOUBT_RISK: f64 = 0.25;

/// Probability of failure above which a server is given no request for the sake of its use.
const MAX_RISK: f64 = 0.4;

/// Probability of failure up to which idle servers are given requests, when `in_use` of the servers
/// of a data centre are in use.
#[must_use]
pub fn max_risk(in_use: usize, servers: usize) -> f64 {
    match in_use as f64 >= servers as f64 * TARGET_SHARE {
        true => DOUBT_RISK,
        false => MAX_RISK,
    }
}

/// Time without an attempt after which it is this daemon's turn to use a server.
#[must_use]
pub fn turn(daemon: instance::Instance, server: &id::Server) -> Duration {
    let seed = rank::hash(server.as_bytes()) ^ daemon.0;
    let share = rank::mix(seed) as f64 / u64::MAX as f64;
    IDLE_TIME + TURN_PERIOD.mul_f64(share)
}

/// Time by which a server is overdue for a request after `idle_time` without an attempt; `None` if it
/// is not this daemon's turn yet.
#[must_use]
pub fn overdue_time(idle_time: Duration, turn: Duration, is_retryable: bool) -> Option<Duration> {
    let turn = match is_retryable {
        true => turn,
        false => turn + UNREPEATABLE_DELAY,
    };
    idle_time.checked_sub(turn)
}
