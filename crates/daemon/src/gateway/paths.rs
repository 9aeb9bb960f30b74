//! Daemons that have lost their path to the servers of a service.
//!
//! A daemon reports a lost path when it notices it and again while it lasts, so that a report that is
//! not renewed expires with its daemon. Daemons with a lost path are left out of the entry sets, and
//! are asked to relay nothing for that service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use monsooncart_cluster::scope;
use monsooncart_types::{id, instance, map, time};
use monsooncart_wire::update;
use tokio::sync::watch;

use crate::core;

/// Interval at which a lost path is reported again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Age at which a report of another daemon expires.
const REPORT_LIFETIME: Duration = Duration::from_secs(7);

/// Maximum number of stored reports of other daemons.
const MAX_REPORTS: usize = 16_384;

/// Report of another daemon about one service.
#[derive(Clone, Copy, Debug)]
struct Report {
    number: u64,
    lost: bool,
    received_at: time::Time,
}

#[derive(Debug, Default)]
struct State {
    /// Services to whose servers this daemon has lost its path.
    own: map::Set<id::Service>,
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

    /// Records whether this daemon has lost its path to the servers of a service; returns the update
    /// that reports it.
    pub fn record_own(&self, service: &id::Service, lost: bool) -> update::Update {
        let mut state = self.lock();
        match lost {
            true => state.own.insert(service.clone()),
            false => state.own.remove(service),
        };
        let update = self.report(&mut state, service.clone(), lost);
        drop(state);
        self.notify();
        update
    }

    fn report(&self, state: &mut State, service: id::Service, lost: bool) -> update::Update {
        state.own_reports += 1;
        update::Update::Path {
            service,
            from: self.own_instance,
            number: state.own_reports,
            lost,
        }
    }

    /// Updates that report this daemon's lost paths again.
    fn renewals(&self) -> Vec<update::Update> {
        let mut state = self.lock();
        let services: Vec<_> = state.own.iter().cloned().collect();
        let renewals = services.into_iter();
        renewals
            .map(|service| self.report(&mut state, service, true))
            .collect()
    }

    /// Records the report of another daemon, unless a later one is known.
    pub fn record(
        &self,
        now: time::Time,
        from: instance::Instance,
        service: id::Service,
        number: u64,
        lost: bool,
    ) {
        let mut state = self.lock();
        let key = (from, service);
        let known = state.reports.get(&key).copied();
        let is_outdated = known.is_some_and(|known| known.number >= number);
        let is_full = known.is_none() && state.reports.len() >= MAX_REPORTS;
        if from == self.own_instance || is_outdated || is_full {
            return;
        }
        let report = Report {
            number,
            lost,
            received_at: now,
        };
        state.reports.insert(key, report);
        drop(state);
        if known.is_some_and(|known| known.lost) != lost {
            self.notify();
        }
    }

    /// Removes expired reports.
    fn expire(&self, now: time::Time) {
        let is_current = |report: &Report| now.since(report.received_at) < REPORT_LIFETIME;
        let mut state = self.lock();
        let had_lost = state.reports.values().any(|r| r.lost && !is_current(r));
        state.reports.retain(|_, report| is_current(report));
        drop(state);
        if had_lost {
            self.notify();
        }
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

/// Reports lost paths again and lets old reports expire, until the task is dropped.
pub async fn renew(core: Arc<core::Core>) {
    let Some(paths) = &core.gateway_paths else {
        return;
    };
    let mut changes = paths.changes();
    loop {
        // Without lost paths there is nothing to renew or to expire.
        if paths.lost_daemons().is_empty() && changes.changed().await.is_err() {
            return;
        }
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        paths.expire(core.now());
        if let Some(cluster) = core.cluster() {
            for update in paths.renewals() {
                cluster.publish(update, scope::Scope::Fleet);
            }
        }
    }
}
