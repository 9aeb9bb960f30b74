//! Cost of the daemons' control plane without traffic: processor time, memory, bytes sent and
//! platform calls, by number of daemons, servers and services.
//!
//! Each point is a separate process that contains a whole fleet, so its processor time and memory
//! are those of the fleet including the backend servers and the in-memory platform. A slope is that
//! of the least-squares line through the points of a dimension: for daemons the cost of one more
//! daemon to the fleet, for servers and services the cost of one more of them to each daemon.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use monsooncart_policy::slots;

use super::{Error, Name, Options, process, report};
use crate::local::{self, plan};

/// Duration of one measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(6);

/// Time for a fleet to settle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Number of daemons if the servers or services vary.
const FIXED_DAEMONS: usize = 6;

/// Number of servers if the daemons vary.
const FIXED_SERVERS: usize = 28;

/// Size of one memory page, in KiB.
const PAGE_KIB: f64 = 4.0;

/// Dimension of the fleet that varies.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Dimension {
    /// Number of daemons of the fleet.
    Daemons,
    /// Number of servers of one service.
    Servers,
    /// Number of services with one server each.
    Services,
}

/// A fleet to measure.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Dimension that varies.
    pub dimension: Dimension,
    /// Size in that dimension.
    pub value: usize,
    /// Whether the daemons use the naive policy.
    pub naive: bool,
    /// Duration of the measurement.
    pub duration: Duration,
}

/// Cost of a fleet, or its slope.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// `point` or `slope`.
    pub kind: String,
    /// Dimension that varies.
    pub dimension: Dimension,
    /// Policy of the daemons.
    pub policy: String,
    /// Size in the dimension that varies; for a slope the number of points.
    pub value: usize,
    /// Processor time in percent of one core.
    pub processor_percent: f64,
    /// Resident memory, in KiB.
    pub memory_kib: f64,
    /// Bytes sent to other daemons per second.
    pub bytes_per_second: f64,
    /// Calls to the platform per second.
    pub platform_calls_per_second: f64,
}

impl report::Row for Row {
    const HEADINGS: &'static [&'static str] = &[
        "kind",
        "over",
        "policy",
        "value",
        "cpu % of a core",
        "memory KiB",
        "bytes/s",
        "platform calls/s",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.kind.clone(),
            self.dimension.to_string(),
            self.policy.clone(),
            self.value.to_string(),
            format!("{:.4}", self.processor_percent),
            format!("{:.1}", self.memory_kib),
            format!("{:.1}", self.bytes_per_second),
            format!("{:.3}", self.platform_calls_per_second),
        ]
    }
}

impl Point {
    fn plan(self) -> plan::Plan {
        let service = |name, servers| plan::Service::new(name, servers, 2, Duration::ZERO);
        let (daemons, services) = match self.dimension {
            Dimension::Daemons => (self.value, vec![service("wiredesk", FIXED_SERVERS)]),
            Dimension::Servers => (FIXED_DAEMONS, vec![service("wiredesk", self.value)]),
            Dimension::Services => {
                // The process of a point exits after the measurement, so the leaked names are few.
                let name = |n| &*Box::leak(format!("service-{n}").into_boxed_str());
                (
                    FIXED_DAEMONS,
                    (0..self.value).map(|n| service(name(n), 1)).collect(),
                )
            }
        };
        plan::Plan {
            services: services.clone(),
            policy: match self.naive {
                true => plan::Policy::Naive,
                false => plan::Policy::Balanced(slots::Strategy::default()),
            },
            ..plan::Plan::new(daemons, services[0].clone())
        }
    }

    /// Measures the fleet in this process.
    ///
    /// # Errors
    ///
    /// Fails if the fleet does not start.
    pub async fn measure(self) -> Result<Row, Error> {
        let fleet = local::Fleet::start(self.plan()).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let before = Sample::take(&fleet);
        tokio::time::sleep(self.duration).await;
        let after = Sample::take(&fleet);
        let seconds = after
            .sampled_at
            .duration_since(before.sampled_at)
            .as_secs_f64();
        let processor_time = after.processor_time.saturating_sub(before.processor_time);
        // The cost is that of the whole fleet if the daemons vary, otherwise that per daemon.
        let divisor = match self.dimension {
            Dimension::Daemons => 1.0,
            Dimension::Servers | Dimension::Services => fleet.daemons.len() as f64,
        };
        Ok(Row {
            kind: "point".to_owned(),
            dimension: self.dimension,
            policy: if self.naive { "naive" } else { "monsooncart" }.to_owned(),
            value: self.value,
            processor_percent: processor_time.as_secs_f64() / seconds * 100.0 / divisor,
            memory_kib: after.memory_kib / divisor,
            bytes_per_second: (after.bytes_sent - before.bytes_sent) as f64 / seconds / divisor,
            platform_calls_per_second: (after.platform_calls - before.platform_calls) as f64
                / seconds
                / divisor,
        })
    }

    /// Measures the fleet in a child process.
    async fn measure_in_child(self) -> Result<Row, Error> {
        let failed = |source| Error::Process {
            process: format!("control-point {} {}", self.dimension, self.value),
            source,
        };
        let program = process::testbed_path().map_err(failed)?;
        let mut command = tokio::process::Command::new(program);
        command
            .env("RUST_LOG", "error")
            .kill_on_drop(true)
            .arg("control-point")
            .args(["--over", &self.dimension.to_string()])
            .args(["--value", &self.value.to_string()])
            .args(["--span", &format!("{}ms", self.duration.as_millis())]);
        if self.naive {
            command.arg("--naive");
        }
        let output = command.output().await.map_err(failed)?;
        serde_json::from_slice(&output.stdout).map_err(|error| failed(error.into()))
    }
}

/// Resource usage at one point in time; all but the memory is counted from the start.
struct Sample {
    sampled_at: Instant,
    processor_time: Duration,
    memory_kib: f64,
    bytes_sent: u64,
    platform_calls: u64,
}

impl Sample {
    fn take(fleet: &local::Fleet) -> Self {
        let clusters = fleet.daemons.iter().filter_map(|d| d.core().cluster());
        let bytes_sent = clusters.map(|cluster| {
            let counters = cluster.counters();
            let datagrams = counters.datagram_bytes_sent.load(Ordering::Relaxed);
            datagrams + counters.call_bytes_sent.load(Ordering::Relaxed)
        });
        Self {
            sampled_at: Instant::now(),
            processor_time: process::own_processor_time(),
            memory_kib: memory_kib(),
            bytes_sent: bytes_sent.sum(),
            platform_calls: fleet.memory.counter().iter().map(|(_, calls)| calls).sum(),
        }
    }
}

/// Resident memory of this process; zero if the system does not report it.
fn memory_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * PAGE_KIB
}

/// Least-squares slope of a figure of the rows over their size.
fn slope(rows: &[Row], figure: impl Fn(&Row) -> f64) -> f64 {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|r| r.value as f64).sum::<f64>() / count;
    let mean_y = rows.iter().map(&figure).sum::<f64>() / count;
    let products = rows
        .iter()
        .map(|r| (r.value as f64 - mean_x) * (figure(r) - mean_y));
    let squares = rows.iter().map(|r| (r.value as f64 - mean_x).powi(2));
    products.sum::<f64>() / squares.sum::<f64>()
}

fn slope_row(rows: &[Row]) -> Option<Row> {
    let first = rows.first()?;
    Some(Row {
        kind: "slope".to_owned(),
        dimension: first.dimension,
        policy: first.policy.clone(),
        value: rows.len(),
        processor_percent: slope(rows, |r| r.processor_percent),
        memory_kib: slope(rows, |r| r.memory_kib),
        bytes_per_second: slope(rows, |r| r.bytes_per_second),
        platform_calls_per_second: slope(rows, |r| r.platform_calls_per_second),
    })
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails if the process of a point fails.
pub async fn run(options: Options) -> Result<report::Report<Row>, Error> {
    let parts = "each point is a process with library daemons, backend servers and the in-memory \
                 platform; no traffic; figures are per fleet if the daemons vary, otherwise per \
                 daemon";
    let target = "2.1% of a core, 128 MB and 24 KB/s per daemon at the target fleet size";
    let report = report::Report::new(Name::ControlCost, options, parts, target);
    let series: [(Dimension, bool, &[usize]); 4] = [
        (Dimension::Daemons, false, &[3, 6, 12, 24, 48]),
        (Dimension::Daemons, true, &[3, 12, 48]),
        (Dimension::Servers, false, &[28, 100, 300]),
        (Dimension::Services, false, &[1, 50, 200]),
    ];
    let mut all_rows = Vec::new();
    for (dimension, naive, values) in series {
        let mut rows = Vec::new();
        for value in values {
            let point = Point {
                dimension,
                value: *value,
                naive,
                duration: options.scaled(MEASUREMENT_DURATION),
            };
            rows.push(point.measure_in_child().await?);
        }
        rows.extend(slope_row(&rows));
        all_rows.extend(rows);
    }
    Ok(report.finish(all_rows))
}
