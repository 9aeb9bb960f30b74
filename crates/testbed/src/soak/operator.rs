//! The operator, which changes the configuration, and the probe that checks which change is in
//! force.
//!
//! Each change adds a route with its number in the path, and keeps the route of the change before.
//! The status of a request to a route thus shows whether its change is in force.

use std::collections::BTreeMap;
use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{caller, fleet, ledger};
use crate::{registry, site};

/// Organisations of all configurations.
pub const ORGANISATIONS: [site::Organisation; 2] = [
    site::Organisation {
        name: "paper",
        key: "key-of-paper",
        rate: None,
        burst: 0.0,
    },
    site::Organisation {
        name: "radio",
        key: "key-of-radio",
        rate: Some(10.0),
        burst: 10.0,
    },
];

/// A key of no organisation.
pub const UNKNOWN_KEY: &str = "key-of-nobody";

/// Time limit for a change to be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Status of a served request, which shows that the route is in force.
const SERVED: u16 = 200;

/// Status of a request to an unknown route.
const NO_ROUTE: u16 = 404;

/// Writer of the configuration.
pub struct Operator {
    registry: Arc<registry::Registry>,
    /// Number of the last change, and when it was written.
    last_change: Mutex<(u64, Instant)>,
    /// The last configuration.
    configuration: Mutex<Value>,
}

impl Operator {
    /// An operator that has written no change.
    pub fn new(registry: Arc<registry::Registry>) -> Self {
        Self {
            registry,
            last_change: Mutex::new((1, Instant::now())),
            configuration: Mutex::default(),
        }
    }

    /// Writes the next configuration, with routes for its own change and the one before.
    pub fn change_configuration(&self) {
        let mut last_change = self
            .last_change
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let number = last_change.0 + 1;
        let mut rules = vec![
            site::rule("/read/", "safe", site::SERVICE),
            site::rule("/buy/", "unsafe", site::SERVICE),
        ];
        for change in [number - 1, number] {
            rules.push(site::rule(&route_path(change), "safe", site::SERVICE));
        }
        let mut configuration = site::configuration(number, &rules);
        let organisations = ORGANISATIONS.iter().map(site::Organisation::entry);
        configuration["tenants"] = organisations.collect();
        self.registry.put("config", "main", &configuration);
        *self.lock_configuration() = configuration;
        *last_change = (number, Instant::now());
    }

    /// Writes the last configuration again.
    pub fn write_again(&self) {
        let configuration = self.lock_configuration();
        self.registry.put("config", "main", &configuration);
    }

    fn lock_configuration(&self) -> MutexGuard<'_, Value> {
        self.configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of the last change, and when it was written.
    fn last_change(&self) -> (u64, Instant) {
        *self
            .last_change
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn route_path(change: u64) -> String {
    format!("/change-{change}/")
}

/// Requests the route of the last change from each daemon until the task is aborted, and records a
/// violation if the change is not in force within its time limit or is reverted.
pub async fn probe(fleet: Arc<fleet::Fleet>) {
    let mut newest_in_force = BTreeMap::<(net::IpAddr, u32), u64>::new();
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        for daemon in &fleet.daemons {
            let daemon_run = (daemon.ip, daemon.run_number());
            let (change, written_at) = fleet.operator.last_change();
            let sent_at = Instant::now();
            let response = caller::get(daemon.caller_address(), &route_path(change)).await;
            let Some((status, _)) = response.filter(|_| daemon.run_number() == daemon_run.1) else {
                continue;
            };
            let newest = newest_in_force
                .get(&daemon_run)
                .copied()
                .unwrap_or_default();
            if status == SERVED {
                newest_in_force.insert(daemon_run, change.max(newest));
            }
            if status != NO_ROUTE {
                continue;
            }
            let (ip, run_number) = daemon_run;
            if newest >= change && fleet.operator.last_change().0 == change {
                let detail = format!("{ip} run {run_number} reverted change {change}");
                fleet
                    .ledger
                    .record_violation(ledger::Guarantee::Forward, detail);
            }
            let deadline = written_at + IN_FORCE_LIMIT;
            if sent_at > deadline
                && fleet.ledger.is_undisturbed_since(written_at)
                && fleet.checks_time_limits()
            {
                let elapsed = sent_at.duration_since(written_at);
                let detail =
                    format!("{ip} run {run_number} lacks change {change} after {elapsed:?}");
                fleet
                    .ledger
                    .record_violation(ledger::Guarantee::InForce, detail);
            }
        }
    }
}
