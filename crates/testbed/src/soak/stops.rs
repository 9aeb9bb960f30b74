//! Planned stops in a mix of requests, checked for requests that are lost.
//!
//! Daemons are stopped and started again in series, some of them at the same time, without any other
//! fault. Callers upload in pieces, read slowly, and keep using connections until these close.

mod caller;
mod check;

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::{Error, Options, fleet, ledger};
use crate::site;
pub(super) use check::Request;

/// Calm time before the first stop, and after the last one.
const CALM_TIME: Duration = Duration::from_secs(3);

/// Maximum time between the beginnings of two stops that overlap.
const OVERLAP: Duration = Duration::from_secs(4);

/// Time limit for the start; long enough for a busy machine.
const START_LIMIT: Duration = Duration::from_secs(90);

/// Version of the configuration, above that of the fleet's first one.
const CONFIG_VERSION: u64 = 100;

/// What is stopped, and how callers connect.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of rounds of stops.
    pub rounds: u32,
    /// Whether all daemons stop at the same time; otherwise one, or two that overlap.
    pub all: bool,
    /// Whether callers use HTTP/2.
    pub http2: bool,
    /// Whether slow readers read at a limited pace into small buffers, instead of pausing.
    pub paced: bool,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Planned stops.
    pub stops: usize,
    /// Requests sent.
    pub requests: usize,
    /// Requests with a complete response of a server.
    pub answered: usize,
    /// Requests reported as not run.
    pub refused: usize,
    /// Requests that ended without a response and were not executed.
    pub unread: usize,
    /// All others: ended by a failure or at the end of their time.
    pub failed: usize,
    /// Lost requests, described.
    pub lost: Vec<String>,
    /// Unrepeatable requests that were executed although they were reported as not run.
    pub false_refusals: Vec<String>,
    /// Daemons that outlasted their grace time.
    pub overdue: usize,
}

impl Report {
    /// Whether a guarantee was violated.
    #[must_use]
    pub fn is_violated(&self) -> bool {
        !self.lost.is_empty() || !self.false_refusals.is_empty() || self.overdue > 0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lost {
            writeln!(f, "lost: {line}")?;
        }
        for line in &self.false_refusals {
            writeln!(f, "executed but reported as not run: {line}")?;
        }
        write!(
            f,
            "stops={} requests={} answered={} refused={} unread={} failed={} overdue={} lost={}",
            self.stops,
            self.requests,
            self.answered,
            self.refused,
            self.unread,
            self.failed,
            self.overdue,
            self.lost.len()
        )
    }
}

/// Runs the stops and checks the requests.
///
/// # Errors
///
/// Fails if the fleet cannot be started, or a daemon serves no request after the start.
pub async fn run(options: &Options, plan: Plan) -> Result<Report, Error> {
    let fleet = fleet::Fleet::start(options).await?;
    let rules: Vec<_> = caller::KINDS.iter().map(caller::Kind::rule).collect();
    let mut configuration = site::configuration(CONFIG_VERSION, &rules);
    configuration["limits"]["max_body_bytes"] = caller::MAX_BODY_BYTES.into();
    fleet.registry.put("config", "main", &configuration);
    fleet.wait_until_ready(START_LIMIT).await?;
    let stop = CancellationToken::new();
    let callers = TaskTracker::new();
    for number in 0..options.callers {
        let seed = options.seed.wrapping_mul(1000).wrapping_add(number as u64);
        let caller = caller::Caller::new(fleet.clone(), seed, plan);
        callers.spawn(caller.run(stop.clone()));
    }
    callers.close();
    tokio::time::sleep(CALM_TIME).await;
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut overdue = 0;
    for round in 0..plan.rounds {
        overdue += stop_some(&fleet, plan, round, &mut rng).await;
    }
    tokio::time::sleep(CALM_TIME).await;
    stop.cancel();
    callers.wait().await;
    fleet.kill_daemons().await;
    let mut report = check::audit(&fleet);
    report.overdue = overdue;
    Ok(report)
}

/// Stops daemons and starts them again; returns how many outlasted their grace time.
async fn stop_some(fleet: &Arc<fleet::Fleet>, plan: Plan, round: u32, rng: &mut StdRng) -> usize {
    let daemons = fleet.daemons.len();
    let first = rng.random_range(0..daemons);
    let stopped = match plan.all {
        true => daemons,
        false => 1 + usize::from(round % 2 == 1 && daemons > 2),
    };
    let mut stops = Vec::new();
    for offset in 0..stopped {
        let index = (first + offset) % daemons;
        let delay = match plan.all || offset == 0 {
            true => Duration::ZERO,
            false => OVERLAP.mul_f64(rng.random()),
        };
        let fleet = fleet.clone();
        stops.push(tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            stop_daemon(&fleet, index).await
        }));
    }
    let mut overdue = 0;
    for stop in stops {
        overdue += usize::from(!stop.await.unwrap_or(false));
    }
    tokio::time::sleep(CALM_TIME).await;
    overdue
}

async fn stop_daemon(fleet: &fleet::Fleet, index: usize) -> bool {
    let daemon = &fleet.daemons[index];
    let (run_number, started_at) = (daemon.run_number(), Instant::now());
    let exited = daemon.stop().await;
    fleet.ledger.record_stop(ledger::Stop {
        daemon: (daemon.ip, run_number),
        started_at,
        completed_at: Instant::now(),
        undisturbed: true,
    });
    if let Err(error) = daemon.start().await {
        log::error!(daemon:% = daemon.ip, error:%; "stops: could not start daemon");
    }
    exited
}
