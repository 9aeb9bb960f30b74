//! Goodput and latency when the load exceeds the capacity of the slots.
//!
//! Two organisations of the same weight send at fixed rates and do not retry refused requests. The
//! heavy one sends four fifths of the load, the light one a fifth. Up to 2.5 times the capacity the
//! light one needs less than half of the slots, so a fair fleet answers all of its requests.

use std::time::Duration;

use strum::IntoEnumIterator as _;

use super::{Error, Name, Options, deployment, load, report};
use crate::local::{self, plan};
use monsooncart_policy::slots;

/// Offered load as a multiple of the capacity of the slots.
const LOAD_FACTORS: [f64; 6] = [0.5, 0.8, 1.0, 1.5, 2.0, 3.0];

/// Fraction of the load that the light organisation sends.
const LIGHT_SHARE: f64 = 0.2;

const DAEMONS: usize = 4;

const SERVERS: usize = 8;

/// Slots of each backend server.
const SLOTS: u32 = 2;

/// Time that a backend server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(50);

/// Number of connections of each organisation to each daemon.
const CONNECTIONS: usize = 400;

/// Duration of one measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(5);

/// Time between two measurements, in which the queues drain.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Results of one policy at one load.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Row {
    /// Policy of the daemons.
    pub policy: String,
    /// Offered load as a multiple of the capacity of the slots.
    pub factor: f64,
    /// Offered requests per second.
    pub offered: f64,
    /// Successful responses per second within the duration of the load.
    pub goodput: f64,
    /// Goodput as a fraction of the best goodput of this policy in the run.
    pub of_best: f64,
    /// Median latency of successful responses, in milliseconds.
    pub p50_millis: f64,
    /// 99th percentile of the latency of successful responses, in milliseconds.
    pub p99_millis: f64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Median latency of refusals, in milliseconds.
    pub refusal_p50_millis: f64,
    /// 99th percentile of the latency of refusals, in milliseconds.
    pub refusal_p99_millis: f64,
    /// Refusals without a `Retry-After` header.
    pub without_return: u64,
    /// Requests that were sent late because no connection was free.
    pub late: u64,
    /// Requests with neither a successful response nor a refusal.
    pub failed: u64,
    /// Fraction of the heavy organisation's requests that were answered.
    pub heavy_answered: f64,
    /// Fraction of the light organisation's requests that were answered.
    pub light_answered: f64,
}

impl report::Row for Row {
    const HEADINGS: &'static [&'static str] = &[
        "policy",
        "x slots",
        "offered/s",
        "goodput/s",
        "of best",
        "p50 ms",
        "p99 ms",
        "refused",
        "refusal p50",
        "refusal p99",
        "no retry-after",
        "late",
        "failed",
        "heavy",
        "light",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.policy.clone(),
            format!("{:.1}", self.factor),
            format!("{:.0}", self.offered),
            format!("{:.0}", self.goodput),
            format!("{:.2}", self.of_best),
            format!("{:.0}", self.p50_millis),
            format!("{:.0}", self.p99_millis),
            self.refused.to_string(),
            format!("{:.1}", self.refusal_p50_millis),
            format!("{:.1}", self.refusal_p99_millis),
            self.without_return.to_string(),
            self.late.to_string(),
            self.failed.to_string(),
            format!("{:.2}", self.heavy_answered),
            format!("{:.2}", self.light_answered),
        ]
    }
}

/// Sends the requests of one organisation at `rate` per second, spread over all daemons.
async fn send_load(
    fleet: &local::Fleet,
    key: &str,
    rate: f64,
    duration: Duration,
) -> Result<load::Outcome, Error> {
    let daemons = fleet.caller_addresses();
    let rate_per_daemon = rate / daemons.len() as f64;
    let loads = daemons.into_iter().map(|target| {
        let load = load::Load {
            target,
            host: "wiredesk".to_owned(),
            path: "/wiredesk/items/1".to_owned(),
            authorization: format!("Bearer {key}"),
            connections: CONNECTIONS,
            rate: Some(rate_per_daemon),
            duration,
        };
        tokio::spawn(async move { load.run().await })
    });
    let loads: Vec<_> = loads.collect();
    let mut outcome = load::Outcome::default();
    for load in loads {
        outcome.merge(&load.await??);
    }
    Ok(outcome)
}

fn answered_share(outcome: &load::Outcome) -> f64 {
    let sent = outcome.latencies.len() + outcome.refusal_latencies.len() + outcome.failed;
    outcome.latencies.len() as f64 / sent.max(1) as f64
}

/// Measures one policy at all loads.
async fn measure_policy(policy: plan::Policy, options: Options) -> Result<Vec<Row>, Error> {
    let service = plan::Service {
        seed: options.seed,
        ..plan::Service::new("wiredesk", SERVERS, SLOTS, SERVICE_TIME)
    };
    let plan = plan::Plan {
        policy,
        ..plan::Plan::new(DAEMONS, service)
    };
    let fleet = local::Fleet::start(plan).await?;
    let duration = options.scaled(MEASUREMENT_DURATION);
    let capacity = SERVERS as f64 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
    let mut rows = Vec::new();
    for factor in LOAD_FACTORS {
        let offered = capacity * factor;
        let (heavy, light) = tokio::try_join!(
            send_load(&fleet, local::KEY, offered * (1.0 - LIGHT_SHARE), duration),
            send_load(&fleet, local::OTHER_KEY, offered * LIGHT_SHARE, duration),
        )?;
        let mut all = heavy.clone();
        all.merge(&light);
        let refusal_millis =
            |quantile| all.refusal_latencies.value_at_quantile(quantile) as f64 / 1000.0;
        rows.push(Row {
            policy: deployment::policy_name(policy),
            factor,
            offered,
            goodput: all.in_time as f64 / duration.as_secs_f64(),
            late: all.late,
            of_best: 0.0,
            p50_millis: all.latency_millis(0.5),
            p99_millis: all.latency_millis(0.99),
            refused: all.refusal_latencies.len(),
            refusal_p50_millis: refusal_millis(0.5),
            refusal_p99_millis: refusal_millis(0.99),
            without_return: all.without_retry_after,
            failed: all.failed,
            heavy_answered: answered_share(&heavy),
            light_answered: answered_share(&light),
        });
        tokio::time::sleep(DRAIN_TIME).await;
    }
    let best = rows.iter().map(|row| row.goodput).fold(0.0, f64::max);
    for row in &mut rows {
        row.of_best = row.goodput / best.max(f64::EPSILON);
    }
    for daemon in &fleet.daemons {
        daemon.abort();
    }
    Ok(rows)
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails if a fleet does not start.
pub async fn run(options: Options) -> Result<report::Report<Row>, Error> {
    let parts = "4 library daemons, 8 backend servers with 2 slots and the load in one process; \
                 one strategy after the other";
    let target = "above 1.0 times the slots, goodput stays above 0.9 of its best; refusals are \
                  immediate and have Retry-After; light is 1.00 up to 2.5 times the slots";
    let report = report::Report::new(Name::Overload, options, parts, target);
    let balanced = slots::Strategy::iter().map(plan::Policy::Balanced);
    let policies: Vec<_> = balanced.chain([plan::Policy::Naive]).collect();
    let mut rows = Vec::new();
    for policy in policies {
        rows.extend(measure_policy(policy, options).await?);
    }
    Ok(report.finish(rows))
}
