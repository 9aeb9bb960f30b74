//! Time until a configuration change is in force everywhere.
//!
//! A change counts as in force at a daemon once its request path holds the new version. With the
//! platform away no change is accepted; what is measured then is the time until a daemon that
//! starts late serves with the newest configuration, which it gets from its peers. The naive
//! baseline reads the platform itself every few seconds and asks no peer.

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

/// Daemons.
const DAEMONS: usize = 32;

/// Changes measured.
const CHANGES: u32 = 5;

/// Pause between two changes.
const PAUSE: Duration = Duration::from_secs(1);

/// Daemons that start late, one after the other.
const LATE: usize = 3;

/// Time between readings of the naive baseline.
const NAIVE_PERIOD: Duration = Duration::from_secs(5);

/// Time between two looks at a daemon.
const LOOK: Duration = Duration::from_millis(5);

/// Longest wait for a daemon.
const LIMIT: Duration = Duration::from_secs(20);

/// Times of one way to spread configuration.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Row {
    /// Whose way.
    pub policy: &'static str,
    /// Whether the platform is `up` or `away`.
    pub platform: &'static str,
    /// Daemons that had to take the configuration.
    pub daemons: usize,
    /// Changes, or daemons that started late.
    pub trials: usize,
    /// Times taken.
    pub in_force: usize,
    /// Daemons that did not take it in time.
    pub missed: usize,
    /// Median, in milliseconds.
    pub p50_millis: Option<f64>,
    /// 99 of 100, in milliseconds.
    pub p99_millis: Option<f64>,
    /// The last, in milliseconds.
    pub last_millis: Option<f64>,
}

impl report::Row for Row {
    const HEADS: &'static [&'static str] = &[
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
            report::number(self.p50_millis, 0),
            report::number(self.p99_millis, 0),
            report::number(self.last_millis, 0),
        ]
    }
}

/// The row of some times; absent times are daemons that missed the limit.
fn row(
    policy: &'static str,
    platform: &'static str,
    daemons: usize,
    trials: usize,
    times: &[Option<Duration>],
) -> Row {
    let mut taken: Vec<_> = times
        .iter()
        .flatten()
        .map(|t| t.as_secs_f64() * 1e3)
        .collect();
    taken.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let place = (share * taken.len() as f64).ceil() as usize;
        taken.get(place.saturating_sub(1)).copied()
    };
    Row {
        policy,
        platform,
        daemons,
        trials,
        in_force: taken.len(),
        missed: times.len() - taken.len(),
        p50_millis: at(0.5),
        p99_millis: at(0.99),
        last_millis: taken.last().copied(),
    }
}

/// The time until a daemon has a version in force.
async fn in_force(
    daemon: engine::Engine,
    key: config::Key,
    version: u64,
    from: Instant,
) -> Option<Duration> {
    while from.elapsed() < LIMIT {
        let snapshot = daemon.core().proxy().map(|proxy| proxy.snapshot());
        if snapshot.and_then(|s| s.version(&key)) >= Some(version) {
            return Some(from.elapsed());
        }
        tokio::time::sleep(LOOK).await;
    }
    None
}

/// The time until a reader of the platform alone has a version.
async fn naive(
    platform: Arc<outage::Outage>,
    key: config::Key,
    version: u64,
    phase: Duration,
) -> Option<Duration> {
    let from = Instant::now();
    tokio::time::sleep(phase).await;
    while from.elapsed() < LIMIT {
        let held = platform.get(&key.to_string()).await.ok().flatten();
        if held.is_some_and(|held| held.version.0 >= version) {
            return Some(from.elapsed());
        }
        tokio::time::sleep(NAIVE_PERIOD).await;
    }
    None
}

/// Runs the experiment.
///
/// # Errors
///
/// Where the fleet does not start.
pub async fn run(options: Options) -> Result<report::Report<Row>, Error> {
    let parts = "32 library daemons and the in-memory platform in one process; the naive baseline \
                 is 32 tasks that read the platform every 5 s";
    let target = "in force on the last daemon within 8 s";
    let report = report::Report::new(Name::Rollout, options, parts, target);
    let service = plan::Service::new("wiredesk", 4, 2, Duration::from_millis(20));
    let plan = plan::Plan::new(DAEMONS, service);
    let mut fleet = local::Fleet::start(plan.clone()).await?;
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut spec = fleet.configuration.services[0].clone();
    let key = config::Key::Service(spec.name.clone());
    let (mut ours, mut others) = (Vec::new(), Vec::new());
    let mut version = 0;
    for change in 1..=CHANGES {
        spec.objective.latency = span::Span(Duration::from_millis(100 + u64::from(change)));
        let value = config::Value::Service(Some(Box::new(spec.clone()))).encode();
        let from = Instant::now();
        let written = fleet
            .memory
            .put(&key.to_string(), value, object::Condition::Always)
            .await;
        let Ok(written) = written else {
            continue;
        };
        version = written.0;
        let daemons = fleet.daemons.iter().cloned();
        let waits = daemons.map(|d| tokio::spawn(in_force(d, key.clone(), version, from)));
        let waits: Vec<_> = waits.collect();
        let readers = (0..DAEMONS).map(|_| {
            let phase = NAIVE_PERIOD.mul_f64(random.random());
            tokio::spawn(naive(fleet.outage.clone(), key.clone(), version, phase))
        });
        let readers: Vec<_> = readers.collect();
        for wait in waits {
            ours.push(wait.await?);
        }
        for reader in readers {
            others.push(reader.await?);
        }
        tokio::time::sleep(PAUSE).await;
    }
    fleet.outage.set(true);
    let (mut late, mut naive_late) = (Vec::new(), Vec::new());
    let mut readers = Vec::new();
    for number in DAEMONS..DAEMONS + LATE {
        let from = Instant::now();
        let reader = tokio::spawn(naive(
            fleet.outage.clone(),
            key.clone(),
            version,
            Duration::ZERO,
        ));
        fleet.add_seeded(&plan, number).await?;
        if let Some(daemon) = fleet.daemons.last().cloned() {
            late.push(in_force(daemon, key.clone(), version, from).await);
        }
        readers.push(reader);
    }
    for reader in readers {
        naive_late.push(reader.await?);
    }
    let trials = CHANGES as usize;
    Ok(report.end(vec![
        row("monsooncart", "up", DAEMONS, trials, &ours),
        row("naive", "up", DAEMONS, trials, &others),
        row("monsooncart", "away", DAEMONS, LATE, &late),
        row("naive", "away", DAEMONS, LATE, &naive_late),
    ]))
}
