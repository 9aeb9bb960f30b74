//! Reports about services and servers that are not configured yet.
//!
//! A daemon that has just started hears of the fleet before it has its first configuration, and is told
//! nothing twice. Every report that cannot be applied waits here until its service and its server
//! are configured, or its retention ends.

use std::sync::Mutex;

use monsooncart_types::{id, map, time};

use crate::lock::lock;
use crate::report;

/// Maximum number of waiting reports.
const MAX_REPORTS: usize = 4096;

/// A report that waits.
pub struct Waiting {
    pub report: report::Report,
    pub received_at: time::Time,
    expires_at: time::Time,
}

#[derive(Default)]
struct State {
    reports: map::Map<id::Service, Vec<Waiting>>,
    count: usize,
}

/// The waiting reports, by service.
#[derive(Default)]
pub struct Backlog(Mutex<State>);

impl Waiting {
    /// A report that is received now; `None` if it does not wait.
    pub fn new(now: time::Time, report: report::Report) -> Option<Self> {
        let retention = report.retention()?;
        Some(Self {
            report,
            received_at: now,
            expires_at: now + retention,
        })
    }
}

impl Backlog {
    /// Adds a report; returns whether there is room for it. It replaces one with the same content.
    pub fn push(&self, now: time::Time, service: &id::Service, waiting: Waiting) -> bool {
        let mut state = lock(&self.0);
        if state.count >= MAX_REPORTS {
            state.remove_expired(now);
        }
        if state.count >= MAX_REPORTS {
            return false;
        }
        let reports = state.reports.entry(service.clone()).or_default();
        let same = reports.iter().position(|w| w.report == waiting.report);
        let replaced = same.map(|index| reports.remove(index));
        reports.push(waiting);
        state.count += usize::from(replaced.is_none());
        true
    }

    /// Takes the reports about a service that have not expired, in the order of their receipt.
    pub fn take(&self, now: time::Time, service: &id::Service) -> Vec<Waiting> {
        let mut state = lock(&self.0);
        let mut reports = state.reports.remove(service).unwrap_or_default();
        state.count -= reports.len();
        reports.retain(|waiting| waiting.expires_at > now);
        reports
    }
}

impl State {
    fn remove_expired(&mut self, now: time::Time) {
        for reports in self.reports.values_mut() {
            reports.retain(|waiting| waiting.expires_at > now);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
        self.count = self.reports.values().map(Vec::len).sum();
    }
}
