//! Report of error-budget burn by service and organisation.

use std::collections::BTreeMap;
use std::fmt;

use monsooncart_config::objective;
use monsooncart_types::id;

use crate::burn::{bucket, series, snapshot, subject, window};
use crate::sample;

/// Maximum number of causes in the report of a service.
const MAX_CAUSES: usize = 10;

/// Maximum number of organisations in the report of a service; those with the highest burn remain.
const MAX_ORGANISATIONS: usize = 20;

/// Burn over a window.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Burn {
    /// Time window of the counts.
    pub window: window::Window,
    /// Requests that count towards the objective.
    pub total: u32,
    /// Requests without a complete response, or with an error.
    pub bad: u32,
    /// Complete responses above the latency objective.
    pub slow: u32,
    /// Burn of the availability budget; `None` if the objective leaves no budget.
    pub availability: Option<f64>,
    /// Burn of the latency budget; `None` if the objective leaves no budget.
    pub latency: Option<f64>,
}

impl Burn {
    fn new(
        window: window::Window,
        bucket: bucket::Bucket,
        objective: &objective::Objective,
    ) -> Self {
        Self {
            window,
            total: bucket.total,
            bad: bucket.bad,
            slow: bucket.slow,
            availability: burn(bucket.bad, bucket.total, objective.availability.fraction()),
            latency: burn(bucket.slow, bucket.total, objective.fast.fraction()),
        }
    }

    /// Returns the higher of the two burns.
    #[must_use]
    pub fn highest(&self) -> f64 {
        let or_zero = |burn: Option<f64>| burn.unwrap_or(0.0);
        or_zero(self.availability).max(or_zero(self.latency))
    }
}

/// Divides the share of bad or slow requests by the share that the objective allows.
fn burn(faults: u32, total: u32, target: f64) -> Option<f64> {
    let budget = 1.0 - target;
    if budget <= 0.0 {
        return None;
    }
    let share = f64::from(faults) / f64::from(total.max(1));
    Some(round_to_thousandths(share / budget))
}

/// Rounds to thousandths, as further digits are not significant at these counts.
fn round_to_thousandths(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

/// Cause that spent a part of a service's error budget.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Spender {
    /// Server, fault and decision.
    pub cause: sample::Cause,
    /// Bad and slow requests with this cause in the longest window.
    pub requests: u32,
    /// Share of all bad and slow requests of the service, from 0 to 1.
    pub share: f64,
}

/// Burn of an organisation's requests to a service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: id::Organisation,
    /// Burn by window.
    pub burns: Vec<Burn>,
}

/// A point of a service's history.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Point {
    /// Start of the hour, in seconds since the Unix epoch.
    pub seconds: u64,
    /// Burn of the availability budget in that hour.
    pub availability: f64,
    /// Burn of the latency budget in that hour.
    pub latency: f64,
}

/// Burn of a service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
    /// Objective that the burn is computed against.
    pub objective: objective::Objective,
    /// Burn by window.
    pub burns: Vec<Burn>,
    /// Causes that spent the budget, the largest share first.
    pub spenders: Vec<Spender>,
    /// Organisations, the highest burn first.
    pub organisations: Vec<Organisation>,
    /// Burn of each hour with requests, oldest first.
    pub history: Vec<Point>,
}

/// Burn of all services.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
    /// Time of the report, in seconds since the Unix epoch.
    pub seconds: u64,
    /// Services in the order of their names.
    pub services: Vec<Service>,
}

type Merged = BTreeMap<subject::Subject, series::Series>;

impl Report {
    /// Computes the burn of every service with an objective.
    #[must_use]
    pub fn new(
        seconds: u64,
        objectives: &BTreeMap<id::Service, objective::Objective>,
        snapshots: &snapshot::Snapshots,
    ) -> Self {
        let merged = snapshots.merged();
        let services = objectives.iter();
        let services =
            services.map(|(name, objective)| build_service(seconds, name, objective, &merged));
        Self {
            seconds,
            services: services.collect(),
        }
    }
}

fn build_service(
    seconds: u64,
    name: &id::Service,
    objective: &objective::Objective,
    merged: &Merged,
) -> Service {
    let series = merged.get(&subject::Subject::service(name));
    let series = series.cloned().unwrap_or_default();
    Service {
        name: name.clone(),
        objective: *objective,
        burns: burns(seconds, &series, objective),
        spenders: spenders(seconds, name, merged),
        organisations: organisations(seconds, name, objective, merged),
        history: history(seconds, &series, objective),
    }
}

fn burns(seconds: u64, series: &series::Series, objective: &objective::Objective) -> Vec<Burn> {
    let windows = window::Window::ALL.into_iter();
    let burn = |window| Burn::new(window, series.sum(window, seconds), objective);
    windows.map(burn).collect()
}

fn spenders(seconds: u64, name: &id::Service, merged: &Merged) -> Vec<Spender> {
    let of_service = merged
        .iter()
        .filter(|(subject, _)| subject.service == *name);
    let mut spenders = Vec::new();
    for (subject, series) in of_service {
        let Some(cause) = &subject.cause else {
            continue;
        };
        let sum = series.sum(window::Window::ThreeDays, seconds);
        let requests = sum.bad + sum.slow;
        if requests > 0 {
            let cause = cause.clone();
            spenders.push(Spender {
                cause,
                requests,
                share: 0.0,
            });
        }
    }
    let total: u32 = spenders.iter().map(|s| s.requests).sum();
    for spender in &mut spenders {
        spender.share = round_to_thousandths(f64::from(spender.requests) / f64::from(total.max(1)));
    }
    spenders.sort_by(|a, b| b.requests.cmp(&a.requests).then(a.cause.cmp(&b.cause)));
    spenders.truncate(MAX_CAUSES);
    spenders
}

fn organisations(
    seconds: u64,
    name: &id::Service,
    objective: &objective::Objective,
    merged: &Merged,
) -> Vec<Organisation> {
    let of_service = merged
        .iter()
        .filter(|(subject, _)| subject.service == *name);
    let organisation = |(subject, series): (&subject::Subject, &series::Series)| {
        let name = subject.organisation.clone()?;
        let burns = burns(seconds, series, objective);
        Some(Organisation { name, burns })
    };
    let mut all: Vec<_> = of_service.filter_map(organisation).collect();
    let highest = |o: &Organisation| o.burns.iter().map(Burn::highest).fold(0.0, f64::max);
    all.sort_by(|a, b| highest(b).total_cmp(&highest(a)).then(a.name.cmp(&b.name)));
    all.truncate(MAX_ORGANISATIONS);
    all
}

fn history(seconds: u64, series: &series::Series, objective: &objective::Objective) -> Vec<Point> {
    let window = window::Window::ThreeDays;
    let point = |slot: &series::Slot| {
        let burn = Burn::new(window, slot.bucket, objective);
        Point {
            seconds: slot.number * window.bucket_seconds(),
            availability: burn.availability.unwrap_or(0.0),
            latency: burn.latency.unwrap_or(0.0),
        }
    };
    series.window(window, seconds).map(point).collect()
}

/// Formats a burn for a table cell.
pub(crate) fn format_burn(burn: Option<f64>) -> String {
    burn.map_or_else(|| "no budget".to_owned(), |burn| format!("{burn:.2}"))
}

/// Formats the report as a table, followed by the causes that spent the budgets.
impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let headings = [
            "service",
            "organisation",
            "window",
            "requests",
            "bad",
            "slow",
        ];
        let [service, organisation, window, requests, bad, slow] = headings;
        writeln!(
            f,
            "{service:<24} {organisation:<24} {window:>6} {requests:>10} {bad:>8} {slow:>8} {:>12} {:>9}",
            "availability", "latency"
        )?;
        for service in &self.services {
            for burn in &service.burns {
                write_row(f, service.name.as_str(), "", burn)?;
            }
            for organisation in &service.organisations {
                for burn in &organisation.burns {
                    write_row(f, service.name.as_str(), organisation.name.as_str(), burn)?;
                }
            }
        }
        for service in &self.services {
            for spender in &service.spenders {
                let Spender {
                    cause,
                    requests,
                    share,
                } = spender;
                let percent = share * 100.0;
                let name = &service.name;
                writeln!(
                    f,
                    "{name}: {percent:.1}% of the budget spent, {requests} requests: {cause}"
                )?;
            }
        }
        Ok(())
    }
}

fn write_row(
    f: &mut fmt::Formatter<'_>,
    service: &str,
    organisation: &str,
    burn: &Burn,
) -> fmt::Result {
    let Burn {
        window,
        total,
        bad,
        slow,
        ..
    } = burn;
    let window = window.to_string();
    let (availability, latency) = (format_burn(burn.availability), format_burn(burn.latency));
    writeln!(
        f,
        "{service:<24} {organisation:<24} {window:>6} {total:>10} {bad:>8} {slow:>8} {availability:>12} {latency:>9}"
    )
}
