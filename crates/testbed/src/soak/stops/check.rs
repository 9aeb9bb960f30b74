//! The rule about requests in a planned stop.
//!
//! A request that a daemon passed on to a server is lost if its connection ends without a complete
//! response, or with one of the daemon's own while the server is at work, unless its time was over
//! or its server was still at work at the end of the grace time of a stop that it preceded or shortly
//! followed. A whole request that was not passed on is lost if its connection ends late.

use std::collections::BTreeMap;
use std::net;
use std::time::{Duration, Instant};

use super::super::{daemon, fleet, ledger};
use super::{Report, caller};
use crate::worker;

/// Time after the grace time for which its rule holds.
const RULE_MARGIN: Duration = Duration::from_secs(1);

/// Time after a stop's start up to which a request counts as sent before the end of the stop.
const EARLY_TIME: Duration = Duration::from_secs(3);

/// Share of the grace time after which a server at work excuses the daemon.
const EXCUSED_SHARE: f64 = 5.0 / 6.0;

/// Time from the last byte of a request to the end of a connection on which it was not read.
const UNREAD_TIME: Duration = Duration::from_millis(200);

/// Tolerance in deciding whether the time of a request was over.
const TIME_MARGIN: Duration = Duration::from_millis(150);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it is a server's.
        is_servers: bool,
        /// Whether it announces the end of the connection.
        closes: bool,
    },
    /// A response that broke off.
    Truncated {
        /// Its status.
        status: u16,
    },
    /// The connection ended without a response.
    Closed,
    /// The caller's time budget was over.
    GaveUp,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    /// Index of its kind.
    pub kind: usize,
    /// Address and run number of the daemon.
    pub daemon: (net::IpAddr, u32),
    pub sent_at: Instant,
    /// When the last piece of its body was sent.
    pub body_sent_at: Option<Instant>,
    pub ended_at: Instant,
    pub outcome: Outcome,
}

/// Records a request.
pub fn record(ledger: &ledger::Ledger, request: Request) {
    ledger.record_stop_request(request);
}

/// Checks all requests.
pub fn audit(fleet: &fleet::Fleet) -> Report {
    let mut executions = BTreeMap::<String, Vec<worker::Execution>>::new();
    for worker in fleet.workers() {
        for (id, execution) in worker.timed_executions() {
            executions.entry(id).or_default().push(execution);
        }
    }
    let (requests, stops) = fleet.ledger.stop_records();
    let mut report = Report {
        stops: stops.len(),
        ..Report::default()
    };
    for request in &requests {
        let executions = executions.get(&request.id).map_or(&[][..], Vec::as_slice);
        let kind = &caller::KINDS[request.kind];
        report.requests += 1;
        match request.outcome {
            Outcome::Answered {
                is_servers: true, ..
            } => report.answered += 1,
            Outcome::Answered { status, .. } if ledger::NOT_RUN_STATUSES.contains(&status) => {
                report.refused += 1;
                if !executions.is_empty() && !kind.is_repeatable() {
                    report.false_refusals.push(format!("{request:?}"));
                }
            }
            Outcome::Closed if executions.is_empty() => report.unread += 1,
            Outcome::Answered { .. }
            | Outcome::Truncated { .. }
            | Outcome::Closed
            | Outcome::GaveUp => report.failed += 1,
        }
        let own_stops = stops.iter().filter(|stop| stop.daemon == request.daemon);
        for stop in own_stops {
            if let Some(reason) = find_loss(request, kind, stop, executions) {
                report
                    .lost
                    .push(describe(request, stop, executions, reason));
            }
        }
    }
    report
}

/// Why the request is lost, if it is.
fn find_loss(
    request: &Request,
    kind: &caller::Kind,
    stop: &ledger::Stop,
    executions: &[worker::Execution],
) -> Option<&'static str> {
    let end = stop.started_at + daemon::GRACE_TIME + RULE_MARGIN;
    if request.ended_at < stop.started_at || request.ended_at > end {
        return None;
    }
    let was_at_work = executions.iter().any(|e| e.ends_at > request.ended_at);
    let reason = match request.outcome {
        Outcome::Answered {
            is_servers: false,
            status,
            ..
        } if was_at_work && !ledger::NOT_RUN_STATUSES.contains(&status) => {
            "an answer of the daemon"
        }
        Outcome::Truncated { .. } => "a truncated response",
        Outcome::Closed if !executions.is_empty() => "no response",
        Outcome::Closed => {
            let sent_at = request.body_sent_at?;
            return (request.ended_at > sent_at + UNREAD_TIME).then_some("closed late, not run");
        }
        _ => return None,
    };
    let time = kind.budget.min(kind.timeout) - TIME_MARGIN;
    let is_over = request.ended_at >= request.sent_at + time;
    // The last byte of the request counts, which is the stricter reading.
    let is_early = request
        .body_sent_at
        .is_some_and(|sent_at| sent_at <= stop.started_at + EARLY_TIME);
    let excused_from = stop.started_at + daemon::GRACE_TIME.mul_f64(EXCUSED_SHARE);
    let is_excused = is_early && executions.iter().any(|e| e.ends_at >= excused_from);
    (!is_over && !is_excused).then_some(reason)
}

fn describe(
    request: &Request,
    stop: &ledger::Stop,
    executions: &[worker::Execution],
    reason: &str,
) -> String {
    let since = |at: Instant| match at.checked_duration_since(stop.started_at) {
        Some(after) => format!("+{:.3}", after.as_secs_f64()),
        None => format!("-{:.3}", (stop.started_at - at).as_secs_f64()),
    };
    let works: Vec<_> = executions
        .iter()
        .map(|e| format!("{}..{}", since(e.started_at), since(e.ends_at)))
        .collect();
    format!(
        "{reason}: {} {} to {} run {}, seconds from SIGTERM: sent {}..{}, work {works:?}, ended {}, {:?}",
        caller::KINDS[request.kind].rule()["match"]["path_prefix"],
        request.id,
        request.daemon.0,
        request.daemon.1,
        since(request.sent_at),
        request
            .body_sent_at
            .map_or_else(|| "never".to_owned(), since),
        since(request.ended_at),
        request.outcome,
    )
}
