//! Latency that the fleet adds to a request compared with a direct call.
//!
//! The daemon, the naive daemon and the backend server are separate processes; the load comes from
//! the process of the experiment. Direct calls and calls through each daemon alternate in rounds,
//! so that other load on the machine affects all of them.

use std::io;
use std::path;
use std::time::Duration;

use monsooncart_config::organisation;

use super::{Error, Name, Options, load, process, report};
use crate::local;

/// Numbers of connections at which the latency is measured.
const CONNECTIONS: [usize; 3] = [1, 64, 512];

/// Requests per second at each number of connections: the load of one daemon at the target
/// fleet size.
const REQUESTS_PER_SECOND: f64 = 450.0;

/// Number of connections in the measurement under processor load.
const BUSY_CONNECTIONS: usize = 64;

/// Fraction of one core that the daemon uses in the measurement under processor load.
const BUSY_SHARE: f64 = 0.5;

/// Duration of one round on one path.
const ROUND_DURATION: Duration = Duration::from_secs(3);

/// Number of rounds on each path.
const ROUNDS: usize = 3;

/// Slots of the backend server; more than the requests in flight, so that none waits for a slot.
const SLOTS: usize = 1024;

/// Path of a request from the caller to the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Path {
    /// Direct connection to the backend server.
    Direct,
    /// Through a daemon.
    Monsooncart,
    /// Through a daemon with the naive policy.
    Naive,
}

/// Latency on one path at one load.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Row {
    /// Path of the requests.
    pub path: Path,
    /// Number of connections.
    pub connections: usize,
    /// Offered requests per second.
    pub rate: f64,
    /// Requests with a successful response.
    pub answered: u64,
    /// Requests without a successful response.
    pub failed: u64,
    /// Median latency, in milliseconds.
    pub p50_millis: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_millis: f64,
    /// Difference of the median to that of direct calls, in milliseconds.
    pub added_p50_millis: f64,
    /// Difference of the 99th percentile to that of direct calls, in milliseconds.
    pub added_p99_millis: f64,
    /// Processor time of the daemon per request, in microseconds; absent for direct calls.
    pub processor_micros: Option<f64>,
}

impl report::Row for Row {
    const HEADINGS: &'static [&'static str] = &[
        "path",
        "connections",
        "rate/s",
        "answered",
        "failed",
        "p50 ms",
        "p99 ms",
        "added p50",
        "added p99",
        "cpu us/request",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.path.to_string(),
            self.connections.to_string(),
            format!("{:.0}", self.rate),
            self.answered.to_string(),
            self.failed.to_string(),
            format!("{:.3}", self.p50_millis),
            format!("{:.3}", self.p99_millis),
            format!("{:.3}", self.added_p50_millis),
            format!("{:.3}", self.added_p99_millis),
            report::format_number(self.processor_micros, 1),
        ]
    }
}

/// The processes under measurement.
struct Setup {
    backend: process::Process,
    daemon: process::Process,
    naive: process::Process,
    directory: path::PathBuf,
}

impl Drop for Setup {
    fn drop(&mut self) {
        // A remaining temporary directory does no harm.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl Setup {
    async fn start(seed: u64) -> Result<Self, Error> {
        let failed = |process: &str| {
            let process = process.to_owned();
            move |source: io::Error| Error::Process { process, source }
        };
        let testbed = process::testbed_path().map_err(failed("monsooncart-testbed"))?;
        let slots = SLOTS.to_string();
        let arguments = ["backend", "--listen", "127.0.0.1:0", "--slots", &slots];
        let backend = process::Process::start(&testbed, &arguments).await?;
        let name = format!("monsooncart-added-latency-{}-{seed}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        write_configuration(&directory, &backend).map_err(failed("settings"))?;
        let settings = directory.join("settings.jsonc");
        let settings = settings.to_string_lossy();
        let monsooncart = process::monsooncart_path().map_err(failed("monsooncart"))?;
        let daemon = process::Process::start(&monsooncart, &["run", &settings]).await?;
        let naive = process::Process::start(&testbed, &["naive-daemon", &settings]).await?;
        Ok(Self {
            backend,
            daemon,
            naive,
            directory,
        })
    }

    fn daemon_process(&self, path: Path) -> Option<&process::Process> {
        match path {
            Path::Direct => None,
            Path::Monsooncart => Some(&self.daemon),
            Path::Naive => Some(&self.naive),
        }
    }

    fn load(
        &self,
        path: Path,
        connections: usize,
        rate: Option<f64>,
        round_duration: Duration,
    ) -> load::Load {
        let target = match self.daemon_process(path) {
            Some(daemon) => daemon.address("callers"),
            None => self.backend.address("listen"),
        };
        load::Load {
            target,
            host: "wiredesk".to_owned(),
            path: "/items/1".to_owned(),
            authorization: format!("Bearer {}", local::KEY),
            connections,
            rate,
            duration: round_duration,
        }
    }

    /// Measures the requests per second at which a daemon uses [`BUSY_SHARE`] of one core.
    async fn busy_rate(&self, path: Path, round_duration: Duration) -> Result<f64, Error> {
        let Some(daemon) = self.daemon_process(path) else {
            return Ok(REQUESTS_PER_SECOND);
        };
        let before = daemon.processor_time();
        let outcome = self
            .load(path, BUSY_CONNECTIONS, None, round_duration)
            .run()
            .await?;
        let processor_time = daemon.processor_time().saturating_sub(before);
        let requests = outcome.latencies.len().max(1) as f64;
        Ok(BUSY_SHARE * requests / processor_time.as_secs_f64().max(f64::EPSILON))
    }

    /// Measures all paths at one load in alternating rounds.
    async fn measure_paths(
        &self,
        connections: usize,
        rate: f64,
        round_duration: Duration,
    ) -> Result<Vec<Row>, Error> {
        let paths = [Path::Direct, Path::Monsooncart, Path::Naive];
        let mut outcomes = paths.map(|path| (path, load::Outcome::default(), Duration::ZERO));
        for _ in 0..ROUNDS {
            for (path, outcome, processor_time) in &mut outcomes {
                let daemon = self.daemon_process(*path);
                let before = daemon.map(process::Process::processor_time);
                let load = self.load(*path, connections, Some(rate), round_duration);
                outcome.merge(&load.run().await?);
                let after = daemon.map(process::Process::processor_time);
                *processor_time += after
                    .unwrap_or_default()
                    .saturating_sub(before.unwrap_or_default());
            }
        }
        let direct = outcomes[0].1.clone();
        let row = |(path, outcome, processor_time): (Path, load::Outcome, Duration)| {
            let answered = outcome.latencies.len();
            let micros_per_request = processor_time.as_secs_f64() * 1e6 / answered.max(1) as f64;
            Row {
                path,
                connections,
                rate,
                answered,
                failed: outcome.failed,
                p50_millis: outcome.latency_millis(0.5),
                p99_millis: outcome.latency_millis(0.99),
                added_p50_millis: outcome.latency_millis(0.5) - direct.latency_millis(0.5),
                added_p99_millis: outcome.latency_millis(0.99) - direct.latency_millis(0.99),
                processor_micros: (path != Path::Direct).then_some(micros_per_request),
            }
        };
        Ok(outcomes.into_iter().map(row).collect())
    }
}

/// Writes the settings of a daemon and the configuration of its fleet.
fn write_configuration(directory: &path::Path, backend: &process::Process) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let digest = organisation::Digest::of(local::KEY.as_bytes());
    let address = backend.address("listen");
    let fleet = serde_json::json!({
        "zones": [{ "data_centre": "attica-a", "region": "attica" }],
        "services": [{
            "name": "wiredesk",
            "floor": "100%",
            "objective": { "availability": "99.9%", "fast": "99%", "latency": "400ms" },
            "routes": [{
                "methods": ["GET"], "path": "/items/**", "repeatable": true, "timeout": "5s",
            }],
            "servers": [{
                "name": "wiredesk-1",
                "address": address.to_string(),
                "data_centre": "attica-a",
                "slots": SLOTS,
                "connections": SLOTS,
            }],
        }],
        "organisations": [{
            "name": "athens-herald",
            "keys": [digest.to_string()],
            "services": ["wiredesk"],
        }],
    });
    let settings = serde_json::json!({
        "name": "entry-1",
        "data_centre": "attica-a",
        "region": "attica",
        "callers": "127.0.0.1:0",
        "admin": "127.0.0.1:0",
        "peers": "127.0.0.1:0",
        "platform": { "embedded": directory.join("fleet.jsonc") },
    });
    std::fs::write(directory.join("fleet.jsonc"), fleet.to_string())?;
    std::fs::write(directory.join("settings.jsonc"), settings.to_string())
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails if a process does not start or accept connections.
pub async fn run(options: Options) -> Result<report::Report<Row>, Error> {
    let parts = "processes: one daemon (monsooncart run), one naive daemon, one backend server; \
                 the load comes from the process of the experiment";
    let target = "at most 1.8 ms added at p99, also with half of a core saturated";
    let report = report::Report::new(Name::AddedLatency, options, parts, target);
    let setup = Setup::start(options.seed).await?;
    let round_duration = options.scaled(ROUND_DURATION);
    // Warms up every path.
    for path in [Path::Direct, Path::Monsooncart, Path::Naive] {
        setup
            .load(path, 1, Some(REQUESTS_PER_SECOND), round_duration / 3)
            .run()
            .await?;
    }
    let mut rows = Vec::new();
    for connections in CONNECTIONS {
        rows.extend(
            setup
                .measure_paths(connections, REQUESTS_PER_SECOND, round_duration)
                .await?,
        );
    }
    let rate = setup.busy_rate(Path::Monsooncart, round_duration).await?;
    rows.extend(
        setup
            .measure_paths(BUSY_CONNECTIONS, rate, round_duration)
            .await?,
    );
    Ok(report.finish(rows))
}
