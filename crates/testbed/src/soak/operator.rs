//! The operator, who changes the configuration, and the probe of which change is in force.
//!
//! Each change adds a route with its number in the path, and keeps the route of the previous change.

use std::collections::BTreeMap;
use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::{caller, fleet, ledger};
use crate::{registry, site};

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
    last: Mutex<(u64, Instant)>,
}

impl Operator {
    /// An operator that has written no change.
    pub fn new(registry: Arc<registry::Registry>) -> Self {
        Self {
            registry,
            last: Mutex::new((1, Instant::now())),
        }
    }

    /// Writes a configuration with one more route.
    pub fn change(&self) {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let number = last.0 + 1;
        let mut rules = vec![
            site::rule("/read/", "safe", site::SERVICE),
            site::rule("/buy/", "unsafe", site::SERVICE),
        ];
        for change in [number - 1, number] {
            rules.push(site::rule(&route(change), "safe", site::SERVICE));
        }
        let written = site::configuration(number, &rules);
        self.registry.put("config", "main", &written);
        *last = (number, Instant::now());
    }

    /// Returns the number of the last change, and when it was written.
    fn last(&self) -> (u64, Instant) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn route(change: u64) -> String {
    format!("/change-{change}/")
}

/// Requests the route of the last change from each daemon until the task is dropped.
pub async fn probe(fleet: Arc<fleet::Fleet>) {
    let mut newest_in_force = BTreeMap::<(net::IpAddr, u32), u64>::new();
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        for daemon in &fleet.daemons {
            let run = (daemon.ip, daemon.run());
            let (change, written) = fleet.operator.last();
            let sent = Instant::now();
            let response = caller::get(daemon.callers(), &route(change)).await;
            let Some((status, _)) = response.filter(|_| daemon.run() == run.1) else {
                continue;
            };
            let known = newest_in_force.get(&run).copied().unwrap_or_default();
            if status == SERVED {
                newest_in_force.insert(run, change.max(known));
            }
            if status != NO_ROUTE {
                continue;
            }
            let (ip, number) = run;
            if known >= change && fleet.operator.last().0 == change {
                let detail = format!("{ip} run {number} reverted change {change}");
                fleet
                    .ledger
                    .record_violation(ledger::Guarantee::Forward, detail);
            }
            let deadline = written + IN_FORCE_LIMIT;
            if sent > deadline && fleet.ledger.is_undisturbed_since(written) && fleet.is_timed() {
                let elapsed = sent.duration_since(written);
                let detail = format!("{ip} run {number} lacks change {change} after {elapsed:?}");
                fleet
                    .ledger
                    .record_violation(ledger::Guarantee::InForce, detail);
            }
        }
    }
}
