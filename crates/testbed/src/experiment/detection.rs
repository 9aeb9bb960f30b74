//! Time during which a server with a gray failure continues to receive requests.
//!
//! In each run one server of every service becomes gray while its health endpoint still reports it
//! as healthy. The detection time is the time from then until the server receives less than 1% of
//! its fair share over a window in which its fair share is several requests.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use strum::IntoEnumIterator as _;

use super::{Error, Name, Options, deployment, ejections, fault, report};
use crate::caller::{report as caller, run};
use crate::local::{self, plan};

/// Requests per second to each service.
pub const REQUESTS_PER_SECOND: f64 = 20.0;

/// Duration of the load before the fault.
const WARM_UP: Duration = Duration::from_secs(8);

/// Duration of the load after the onset of the fault.
const OBSERVATION: Duration = Duration::from_secs(20);

/// Fraction of the fair share below which the gray server counts as detected.
const DETECTED_SHARE: f64 = 0.01;

/// Fair share of a server in a window, in requests; determines the length of the window.
const FAIR_REQUESTS_PER_WINDOW: f64 = 8.0;

/// Minimum length of the window.
const MIN_WINDOW: Duration = Duration::from_secs(5);

/// Maximum length of the window.
const MAX_WINDOW: Duration = Duration::from_secs(10);

/// Results for the gray server of one service.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Row {
    /// Deployment of the service.
    pub deployment: deployment::Deployment,
    /// Name of the service.
    pub service: String,
    /// Detection setting of the service.
    pub detection: String,
    /// Fault of the gray server.
    pub fault: fault::Fault,
    /// Policy of the daemons.
    pub policy: String,
    /// Requests per second to the service.
    pub rate: f64,
    /// Time until the gray server received less than 1% of its fair share; absent if it received
    /// more throughout.
    pub detection_millis: Option<f64>,
    /// Time until a daemon ejected the gray server; absent if none did.
    pub ejection_millis: Option<f64>,
    /// Requests that reached the gray server during the observation.
    pub harmed: usize,
    /// Of those, requests that reached it after its ejection; absent if it was not ejected.
    pub after_ejection: Option<usize>,
    /// Fair share of the gray server during the observation, in requests.
    pub fair: f64,
    /// Ejections of the service's healthy servers.
    pub false_ejections: usize,
    /// Requests sent by the callers.
    pub sent: u64,
    /// Responses with an error status.
    pub errors: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests without a complete and matching response.
    pub lost: u64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_millis: f64,
}

impl report::Row for Row {
    const HEADINGS: &'static [&'static str] = &[
        "service",
        "setting",
        "fault",
        "policy",
        "detection ms",
        "ejected ms",
        "harmed",
        "after ejection",
        "fair",
        "false",
        "sent",
        "errors",
        "refused",
        "lost",
        "p99 ms",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.service.clone(),
            self.detection.clone(),
            self.fault.to_string(),
            self.policy.clone(),
            report::format_number(self.detection_millis, 0),
            report::format_number(self.ejection_millis, 0),
            self.harmed.to_string(),
            report::format_number(self.after_ejection.map(|n| n as f64), 0),
            format!("{:.0}", self.fair),
            self.false_ejections.to_string(),
            self.sent.to_string(),
            self.errors.to_string(),
            self.refused.to_string(),
            self.lost.to_string(),
            format!("{:.0}", self.p99_millis),
        ]
    }
}

/// One run of a deployment with a fault and a policy.
#[derive(Clone, Copy, Debug)]
struct Case {
    deployment: deployment::Deployment,
    fault: fault::Fault,
    policy: plan::Policy,
    options: Options,
}

impl Case {
    async fn run(self) -> Result<Vec<Row>, Error> {
        let seed = self.options.seed;
        let plan = self.deployment.plan(seed, self.policy);
        let fleet = local::Fleet::start(plan.clone()).await?;
        let observation = self.options.scaled(OBSERVATION);
        let duration = WARM_UP + self.fault.onset() + observation;
        let loads = plan.services.iter().map(|service| {
            let options = deployment::caller_options(
                &fleet,
                service.name,
                REQUESTS_PER_SECOND,
                duration,
                seed,
            );
            tokio::spawn(run::run(options))
        });
        let loads: Vec<_> = loads.collect();
        let recorder = ejections::Recorder::start(&fleet);
        tokio::time::sleep(WARM_UP).await;
        let gray = choose_gray_servers(&plan.services, seed);
        for index in &gray {
            fleet.backends[*index].set_mode(self.fault.mode());
        }
        let onset = Instant::now() + self.fault.onset();
        let mut reports = Vec::new();
        for load in loads {
            reports.push(load.await?);
        }
        let ejections = recorder.stop();
        let mut rows = Vec::new();
        for ((service, gray_index), report) in plan.services.iter().zip(gray).zip(&reports) {
            rows.push(self.row(
                &fleet,
                service,
                gray_index,
                onset,
                observation,
                &ejections,
                report,
            ));
        }
        Ok(rows)
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "measurements of one service that are combined only here"
    )]
    fn row(
        &self,
        fleet: &local::Fleet,
        service: &plan::Service,
        gray_index: usize,
        onset: Instant,
        observation: Duration,
        ejections: &ejections::Ejections,
        report: &caller::Report,
    ) -> Row {
        let spec = fleet.configuration.services.iter();
        let servers = spec.filter(|s| s.name.to_string() == service.name);
        let servers: Vec<_> = servers.flat_map(|s| s.servers.clone()).collect();
        let address = fleet.backends[gray_index].address();
        let gray = servers.iter().find(|s| s.address == address);
        let gray = gray.map(|s| s.name.clone());
        let is_healthy =
            |name: &_| servers.iter().any(|s| s.name == *name) && gray.as_ref() != Some(name);
        let arrivals = fleet.backends[gray_index].arrivals(onset);
        let arrivals: Vec<_> = arrivals.iter().map(|a| a.duration_since(onset)).collect();
        let fair_rate = REQUESTS_PER_SECOND / service.servers as f64;
        let ejected_at = gray
            .as_ref()
            .and_then(|s| ejections.times_of(s).iter().find(|t| **t >= onset));
        Row {
            deployment: self.deployment,
            service: service.name.to_owned(),
            detection: service.detection.to_string(),
            fault: self.fault,
            policy: deployment::policy_name(self.policy),
            rate: REQUESTS_PER_SECOND,
            detection_millis: detection_time(&arrivals, fair_rate, observation)
                .map(|t| t.as_secs_f64() * 1e3),
            ejection_millis: ejected_at.map(|t| t.duration_since(onset).as_secs_f64() * 1e3),
            harmed: arrivals.iter().filter(|a| **a < observation).count(),
            after_ejection: ejected_at.map(|ejected_at| {
                let since_onset = ejected_at.duration_since(onset);
                arrivals
                    .iter()
                    .filter(|a| **a > since_onset && **a < observation)
                    .count()
            }),
            fair: fair_rate * observation.as_secs_f64(),
            false_ejections: ejections.count(is_healthy),
            sent: report.sent,
            errors: report.errors,
            refused: report.refused,
            lost: report.lost + report.wrong,
            p99_millis: report.latency.p99_millis,
        }
    }
}

/// Draws one server of each service; returns its index among all servers.
fn choose_gray_servers(services: &[plan::Service], seed: u64) -> Vec<usize> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut first = 0;
    let mut indices = Vec::new();
    for service in services {
        indices.push(first + random.random_range(0..service.servers));
        first += service.servers;
    }
    indices
}

/// Returns the start of the first window with less than [`DETECTED_SHARE`] of the fair share.
///
/// Arrivals are sorted and relative to the onset of the fault; `fair_rate` is in requests per
/// second.
fn detection_time(
    arrivals: &[Duration],
    fair_rate: f64,
    observation: Duration,
) -> Option<Duration> {
    let window =
        Duration::from_secs_f64(FAIR_REQUESTS_PER_WINDOW / fair_rate).clamp(MIN_WINDOW, MAX_WINDOW);
    let max_requests = DETECTED_SHARE * fair_rate * window.as_secs_f64();
    let starts = std::iter::once(Duration::ZERO).chain(arrivals.iter().copied());
    let mut starts = starts.filter(|start| *start + window <= observation);
    starts.find(|start| {
        let inside = arrivals
            .iter()
            .filter(|a| **a > *start && **a <= *start + window);
        (inside.count() as f64) < max_requests.max(f64::EPSILON)
    })
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails if a fleet does not start.
pub async fn run(options: Options) -> Result<report::Report<Row>, Error> {
    let parts = "library daemons (4 per fleet), backend servers and callers in one process; both \
                 deployments and their naive baselines run at the same time";
    let target = "detection under 2 s with fast, under 5 s with careful";
    let report = report::Report::new(Name::Detection, options, parts, target);
    let mut rows = Vec::new();
    for fault in fault::Fault::iter() {
        let mut runs = Vec::new();
        for deployment in deployment::Deployment::iter() {
            let balanced = plan::Policy::Balanced(Default::default());
            for policy in [balanced, plan::Policy::Naive] {
                let case = Case {
                    deployment,
                    fault,
                    policy,
                    options,
                };
                runs.push(tokio::spawn(case.run()));
            }
        }
        for run in runs {
            rows.extend(run.await??);
        }
    }
    Ok(report.finish(rows))
}
