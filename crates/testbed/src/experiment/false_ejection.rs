//! Ejections of healthy servers under disturbances that also occur in healthy services.

use std::time::{Duration, Instant};

use strum::IntoEnumIterator as _;

use super::{Error, Name, Options, deployment, ejections, report};
use crate::backend::mode;
use crate::caller::{report as caller, run};
use crate::local::{self, plan};

/// Requests per second to each service outside load peaks.
const REQUESTS_PER_SECOND: f64 = 40.0;

/// Load of a peak as a fraction of the capacity of a service's slots.
const PEAK_SHARE: f64 = 0.9;

/// Duration of one measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(32);

/// Duration of a load peak or slow phase, and of the normal phase between two of them.
const PHASE_DURATION: Duration = Duration::from_secs(4);

/// Maximum deviation from the service time under noise, as a fraction.
const NOISE_SHARE: f64 = 0.8;

/// Factor by which the service time is multiplied in a slow phase.
const SLOW_FACTOR: f64 = 4.0;

/// Duration of the servers' cold start.
const COLD_START: Duration = Duration::from_secs(8);

const SECONDS_PER_HOUR: f64 = 3600.0;

/// A disturbance that is not a fault of a single server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Disturbance {
    /// Service times vary widely.
    Noise,
    /// The load rises to 90% of the capacity of the slots in every other phase.
    Peaks,
    /// All servers of the deployment have a cold start.
    ColdStart,
    /// All servers of the service are slow in every other phase.
    WholeService,
}

/// Results for one service.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Row {
    /// Deployment of the service.
    pub deployment: deployment::Deployment,
    /// Name of the service.
    pub service: String,
    /// Detection setting of the service.
    pub detection: String,
    /// Disturbance of the run.
    pub disturbance: Disturbance,
    /// Policy of the daemons.
    pub policy: String,
    /// Observation time over all servers, in hours.
    pub server_hours: f64,
    /// Ejections of healthy servers.
    pub ejections: usize,
    /// Ejections per server-hour.
    pub per_server_hour: f64,
    /// Requests sent by the callers.
    pub sent: u64,
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
        "disturbance",
        "policy",
        "server-hours",
        "ejections",
        "per hour",
        "sent",
        "refused",
        "lost",
        "p99 ms",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.service.clone(),
            self.detection.clone(),
            self.disturbance.to_string(),
            self.policy.clone(),
            format!("{:.3}", self.server_hours),
            self.ejections.to_string(),
            format!("{:.1}", self.per_server_hour),
            self.sent.to_string(),
            self.refused.to_string(),
            self.lost.to_string(),
            format!("{:.0}", self.p99_millis),
        ]
    }
}

/// One run of a deployment with a disturbance and a policy.
#[derive(Clone, Copy, Debug)]
struct Case {
    deployment: deployment::Deployment,
    disturbance: Disturbance,
    policy: plan::Policy,
    options: Options,
}

impl Case {
    fn plan(self) -> plan::Plan {
        let mut plan = self.deployment.plan(self.options.seed, self.policy);
        for service in &mut plan.services {
            match self.disturbance {
                Disturbance::Noise => service.noise = NOISE_SHARE,
                Disturbance::ColdStart => service.cold_start = COLD_START,
                Disturbance::Peaks | Disturbance::WholeService => {}
            }
        }
        plan
    }

    async fn run(self) -> Result<Vec<Row>, Error> {
        let plan = self.plan();
        let fleet = local::Fleet::start(plan.clone()).await?;
        let duration = self.options.scaled(MEASUREMENT_DURATION);
        let seed = self.options.seed;
        let caller_options = |service: &plan::Service, rate, duration, seed| {
            deployment::caller_options(&fleet, service.name, rate, duration, seed)
        };
        let loads = plan.services.iter();
        let loads = loads.map(|s| {
            tokio::spawn(run::run(caller_options(
                s,
                REQUESTS_PER_SECOND,
                duration,
                seed,
            )))
        });
        let loads: Vec<_> = loads.collect();
        let recorder = ejections::Recorder::start(&fleet);
        let started_at = Instant::now();
        let mut peaks = Vec::new();
        let mut phase = 0;
        while started_at.elapsed() + PHASE_DURATION <= duration {
            let is_disturbed = phase % 2 == 1;
            if is_disturbed && self.disturbance == Disturbance::Peaks {
                for service in &plan.services {
                    let slots = service.servers as f64 * f64::from(service.slots);
                    let rate = PEAK_SHARE * slots / service.service_time.as_secs_f64()
                        - REQUESTS_PER_SECOND;
                    let options = caller_options(service, rate, PHASE_DURATION, seed + 1 + phase);
                    peaks.push(tokio::spawn(run::run(options)));
                }
            }
            if self.disturbance == Disturbance::WholeService {
                let slow = if is_disturbed { SLOW_FACTOR } else { 1.0 };
                for backend in &fleet.backends {
                    backend.set_mode(mode::Mode {
                        slow,
                        ..mode::Mode::default()
                    });
                }
            }
            phase += 1;
            tokio::time::sleep(PHASE_DURATION).await;
        }
        let mut reports = Vec::new();
        for load in loads {
            reports.push(load.await?);
        }
        for peak in peaks {
            peak.await?;
        }
        let hours = started_at.elapsed().as_secs_f64() / SECONDS_PER_HOUR;
        let observed = recorder.stop();
        let rows = plan.services.iter().zip(&reports);
        let rows =
            rows.map(|(service, report)| self.row(&fleet, service, hours, &observed, report));
        let rows = rows.collect();
        for daemon in &fleet.daemons {
            daemon.abort();
        }
        Ok(rows)
    }

    fn row(
        &self,
        fleet: &local::Fleet,
        service: &plan::Service,
        hours: f64,
        observed: &ejections::Ejections,
        report: &caller::Report,
    ) -> Row {
        let spec = fleet.configuration.services.iter();
        let spec = spec.filter(|s| s.name.to_string() == service.name);
        let servers: Vec<_> = spec.flat_map(|s| s.servers.clone()).collect();
        let ejections = observed.count(|name| servers.iter().any(|s| s.name == *name));
        let server_hours = hours * service.servers as f64;
        Row {
            deployment: self.deployment,
            service: service.name.to_owned(),
            detection: service.detection.to_string(),
            disturbance: self.disturbance,
            policy: deployment::policy_name(self.policy),
            server_hours,
            ejections,
            per_server_hour: ejections as f64 / server_hours,
            sent: report.sent,
            refused: report.refused,
            lost: report.lost + report.wrong,
            p99_millis: report.latency.p99_millis,
        }
    }
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails if a fleet does not start.
pub async fn run(options: Options) -> Result<report::Report<Row>, Error> {
    let parts = "library daemons (4 per fleet), backend servers and callers in one process; both \
                 deployments and their naive baselines run at the same time";
    let target = "no ejection of a healthy server with careful";
    let report = report::Report::new(Name::FalseEjection, options, parts, target);
    let mut rows = Vec::new();
    for disturbance in Disturbance::iter() {
        let mut runs = Vec::new();
        for deployment in deployment::Deployment::iter() {
            let balanced = plan::Policy::Balanced(Default::default());
            for policy in [balanced, plan::Policy::Naive] {
                let case = Case {
                    deployment,
                    disturbance,
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
