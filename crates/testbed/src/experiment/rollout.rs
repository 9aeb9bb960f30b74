//! Time until a configuration change is in force on every daemon.
//!
//! A change is in force on a daemon once its request path uses the new version. During an outage
//! of the platform no change is accepted; the experiment then measures the time until a daemon that
//! starts late serves with the newest configuration, which it gets from its peers. The naive
//! baseline polls the platform every few seconds and queries no peer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use monsooncart_config::object as config;
use monsooncart_daemon::engine;
use monsooncart_store::{object, store::Store as _};
use monsooncart_types::span;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::{Error, Name, Options, report};
use crate::local::{self, outage, plan};

const DAEMONS: usize = 32;

/// Number of configuration changes while the platform is available.
const CHANGES: u32 = 5;

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of daemons that start during the outage, one after the other.
const LATE_DAEMONS: usize = 3;

/// Interval at which the naive baseline polls the platform.
const NAIVE_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which a daemon's version is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of the wait for a daemon.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Results of one way to distribute configuration.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Row {
    /// `monsooncart` or `naive`.
    pub policy: &'static str,
    /// State of the platform: `up` or `away`.
    pub platform: &'static str,
    /// Daemons that have to apply the configuration.
    pub daemons: usize,
    /// Number of changes, or of daemons that started late.
    pub trials: usize,
    /// Number of times that the configuration came into force before the timeout.
    pub in_force: usize,
    /// Number of times that it did not.
    pub missed: usize,
    /// Median time, in milliseconds.
    pub p50_millis: Option<f64>,
    /// 99th percentile of the time, in milliseconds.
    pub p99_millis: Option<f64>,
    /// Longest time, in milliseconds.
    pub last_millis: Option<f64>,
}

impl report::Row for Row {
    const HEADINGS: &'static [&'static str] = &[
        "policy", "platform", "daemons", "trials", "in force", "missed", "p50 ms", "p99 ms",
        "last ms",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.policy.to_owned(),
            self.platform.to_owned(),
            self.daemons.to_string(),
            self.trials.to_string(),
            self.in_force.to_string(),
            self.missed.to_string(),
            report::format_number(self.p50_millis, 0),
            report::format_number(self.p99_millis, 0),
            report::format_number(self.last_millis, 0),
        ]
    }
}

/// Summarises measured times; `None` is a daemon that timed out.
fn summary_row(
    policy: &'static str,
    platform: &'static str,
    daemons: usize,
    trials: usize,
    times: &[Option<Duration>],
) -> Row {
    let mut sorted_millis: Vec<_> = times
        .iter()
        .flatten()
        .map(|t| t.as_secs_f64() * 1e3)
        .collect();
    sorted_millis.sort_by(f64::total_cmp);
    let percentile = |share: f64| {
        let rank = (share * sorted_millis.len() as f64).ceil() as usize;
        sorted_millis.get(rank.saturating_sub(1)).copied()
    };
    Row {
        policy,
        platform,
        daemons,
        trials,
        in_force: sorted_millis.len(),
        missed: times.len() - sorted_millis.len(),
        p50_millis: percentile(0.5),
        p99_millis: percentile(0.99),
        last_millis: sorted_millis.last().copied(),
    }
}

/// Waits until a version is in force on a daemon; returns the time since `started_at`, or `None` on
/// timeout.
async fn wait_until_in_force(
    daemon: engine::Engine,
    key: config::Key,
    version: u64,
    started_at: Instant,
) -> Option<Duration> {
    while started_at.elapsed() < TIMEOUT {
        let snapshot = daemon.core().proxy().map(|proxy| proxy.snapshot());
        if snapshot.and_then(|s| s.version(&key)) >= Some(version) {
            return Some(started_at.elapsed());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

/// Polls the platform, first after `initial_delay`, until it returns a version; returns the time
/// taken, or `None` on timeout.
async fn poll_platform(
    platform: Arc<outage::Outage>,
    key: config::Key,
    version: u64,
    initial_delay: Duration,
) -> Option<Duration> {
    let started_at = Instant::now();
    tokio::time::sleep(initial_delay).await;
    while started_at.elapsed() < TIMEOUT {
        let object = platform.get(&key.to_string()).await.ok().flatten();
        if object.is_some_and(|object| object.version.0 >= version) {
            return Some(started_at.elapsed());
        }
        tokio::time::sleep(NAIVE_POLL_INTERVAL).await;
    }
    None
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails if the fleet does not start.
pub async fn run(options: Options) -> Result<report::Report<Row>, Error> {
    let parts = "32 library daemons and the in-memory platform in one process; the naive baseline \
                 is 32 tasks that read the platform every 5 s";
    let target = "in effect on the last daemon within 8 s";
    let report = report::Report::new(Name::Rollout, options, parts, target);
    let service = plan::Service::new("wiredesk", 4, 2, Duration::from_millis(20));
    let plan = plan::Plan::new(DAEMONS, service);
    let mut fleet = local::Fleet::start(plan.clone()).await?;
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut spec = fleet.configuration.services[0].clone();
    let key = config::Key::Service(spec.name.clone());
    let (mut fleet_times, mut naive_times) = (Vec::new(), Vec::new());
    let mut version = 0;
    for change in 1..=CHANGES {
        spec.objective.latency = span::Span(Duration::from_millis(100 + u64::from(change)));
        let value = config::Value::Service(Some(Box::new(spec.clone()))).encode();
        let started_at = Instant::now();
        let written = fleet
            .memory
            .put(&key.to_string(), value, object::Condition::Always)
            .await;
        let Ok(written) = written else {
            continue;
        };
        version = written.0;
        let daemons = fleet.daemons.iter().cloned();
        let waits =
            daemons.map(|d| tokio::spawn(wait_until_in_force(d, key.clone(), version, started_at)));
        let waits: Vec<_> = waits.collect();
        let pollers = (0..DAEMONS).map(|_| {
            let initial_delay = NAIVE_POLL_INTERVAL.mul_f64(random.random());
            tokio::spawn(poll_platform(
                fleet.outage.clone(),
                key.clone(),
                version,
                initial_delay,
            ))
        });
        let pollers: Vec<_> = pollers.collect();
        for wait in waits {
            fleet_times.push(wait.await?);
        }
        for poller in pollers {
            naive_times.push(poller.await?);
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    fleet.outage.set_unavailable(true);
    let (mut late_fleet_times, mut late_naive_times) = (Vec::new(), Vec::new());
    let mut pollers = Vec::new();
    for number in DAEMONS..DAEMONS + LATE_DAEMONS {
        let started_at = Instant::now();
        let poller = tokio::spawn(poll_platform(
            fleet.outage.clone(),
            key.clone(),
            version,
            Duration::ZERO,
        ));
        fleet.add_seeded_daemon(&plan, number).await?;
        if let Some(daemon) = fleet.daemons.last().cloned() {
            late_fleet_times
                .push(wait_until_in_force(daemon, key.clone(), version, started_at).await);
        }
        pollers.push(poller);
    }
    for poller in pollers {
        late_naive_times.push(poller.await?);
    }
    let trials = CHANGES as usize;
    Ok(report.finish(vec![
        summary_row("monsooncart", "up", DAEMONS, trials, &fleet_times),
        summary_row("naive", "up", DAEMONS, trials, &naive_times),
        summary_row(
            "monsooncart",
            "away",
            DAEMONS,
            LATE_DAEMONS,
            &late_fleet_times,
        ),
        summary_row("naive", "away", DAEMONS, LATE_DAEMONS, &late_naive_times),
    ]))
}
