//! Daemons that have lost their path to the servers of a service.
//!
//! A daemon reports to the fleet that it has lost a path, and that it is there again. Daemons with a
//! lost path are left out of the entry sets, and are asked to relay nothing for that service. The
//! reports of a daemon end with its process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use monsooncart_cluster::scope;
use monsooncart_policy::membership::member;
use monsooncart_types::{id, instance, map};
use monsooncart_wire::update;
use tokio::sync::watch;

use crate::core;

/// Minimum time between two reports, so that a path that comes and goes is not gossiped each time.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of stored reports of other daemons.
const MAX_REPORTS: usize = 16_384;

/// Report of another daemon about one service.
#[derive(Clone, Copy, Debug)]
struct Report {
    number: u64,
    lost: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Services to whose servers this daemon has lost its path.
    own: map::Set<id::Service>,
    /// The same, as reported last.
    reported: map::Set<id::Service>,
    own_reports: u64,
    reports: map::Map<(instance::Instance, id::Service), Report>,
}

/// Lost paths of this daemon and of the others.
pub struct Paths {
    own_instance: instance::Instance,
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

impl Paths {
    /// Creates a state without lost paths for the daemon `own_instance`.
    #[must_use]
    pub fn new(own_instance: instance::Instance) -> Self {
        Self {
            own_instance,
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Subscribes to changes. The value is a change counter.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self) {
        self.changes.send_modify(|number| *number += 1);
    }

    /// Records whether this daemon has lost its path to the servers of a service.
    pub fn record_own(&self, service: &id::Service, lost: bool) {
        let mut state = self.lock();
        match lost {
            true => state.own.insert(service.clone()),
            false => state.own.remove(service),
        };
        drop(state);
        self.notify();
    }

    /// Updates that report what has changed since the last ones.
    fn take_reports(&self) -> Vec<update::Update> {
        let mut state = self.lock();
        let mut changed: Vec<_> = state
            .own
            .symmetric_difference(&state.reported)
            .cloned()
            .collect();
        changed.sort_unstable();
        state.reported = state.own.clone();
        let mut reports = Vec::new();
        for service in changed {
            state.own_reports += 1;
            reports.push(update::Update::Path {
                lost: state.own.contains(&service),
                service,
                from: self.own_instance,
                number: state.own_reports,
            });
        }
        reports
    }

    /// Records the report of another daemon, unless a later one is known.
    pub fn record(&self, from: instance::Instance, service: id::Service, number: u64, lost: bool) {
        let mut state = self.lock();
        let key = (from, service);
        let known = state.reports.get(&key).copied();
        let is_outdated = known.is_some_and(|known| known.number >= number);
        let is_full = known.is_none() && state.reports.len() >= MAX_REPORTS;
        if from == self.own_instance || is_outdated || is_full {
            return;
        }
        state.reports.insert(key, Report { number, lost });
        drop(state);
        if known.is_some_and(|known| known.lost) != lost {
            self.notify();
        }
    }

    /// Removes the reports of daemons that are no longer members.
    pub fn retain_members(&self, members: &[member::Member]) {
        let mut state = self.lock();
        if state.reports.is_empty() {
            return;
        }
        let instances: map::Set<_> = members.iter().map(|m| m.instance).collect();
        state
            .reports
            .retain(|(daemon, _), _| instances.contains(daemon));
    }

    /// Whether a daemon has lost its path to the servers of a service, as far as known.
    #[must_use]
    pub fn is_lost(&self, daemon: instance::Instance, service: &id::Service) -> bool {
        let state = self.lock();
        if daemon == self.own_instance {
            return state.own.contains(service);
        }
        let report = state.reports.get(&(daemon, service.clone()));
        report.is_some_and(|report| report.lost)
    }

    /// Daemons that have lost their path to the servers of any service.
    #[must_use]
    pub fn lost_daemons(&self) -> map::Set<instance::Instance> {
        let state = self.lock();
        let own = (!state.own.is_empty()).then_some(self.own_instance);
        let lost = state.reports.iter().filter(|(_, report)| report.lost);
        let others = lost.map(|((daemon, _), _)| *daemon);
        own.into_iter().chain(others).collect()
    }
}

/// Reports this daemon's lost paths to the fleet until the task is dropped.
pub async fn report(core: Arc<core::Core>) {
    let Some(paths) = &core.gateway_paths else {
        return;
    };
    let mut changes = paths.changes();
    while changes.changed().await.is_ok() {
        let reports = paths.take_reports();
        if reports.is_empty() {
            continue;
        }
        if let Some(cluster) = core.cluster() {
            for report in reports {
                cluster.publish(report, scope::Scope::Fleet);
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}
