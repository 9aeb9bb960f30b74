//! The operator, who changes the configuration, and a look at which one is in force.
//!
//! Each change adds a route that bears its number, and keeps the one before.

use std::collections::BTreeMap;
use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::{caller, fleet, ledger};
use crate::{registry, site};

/// Time within which a change is in force.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(300);

/// Status of a request that was served, which shows that its route is known.
const SERVED: u16 = 200;

/// Status where there is no such route.
const NO_ROUTE: u16 = 404;

/// The operator.
pub struct Operator {
    registry: Arc<registry::Registry>,
    last: Mutex<(u64, Instant)>,
}

impl Operator {
    /// An operator who has written nothing.
    pub fn new(registry: Arc<registry::Registry>) -> Self {
        Self {
            registry,
            last: Mutex::new((1, Instant::now())),
        }
    }

    /// Writes a configuration with a route more.
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

    /// Number of the last change, and when it was written.
    fn last(&self) -> (u64, Instant) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn route(change: u64) -> String {
    format!("/change-{change}/")
}

/// Asks each daemon for the last change's route until the task is dropped.
pub async fn probe(fleet: Arc<fleet::Fleet>) {
    let mut seen = BTreeMap::<(net::IpAddr, u32), u64>::new();
    loop {
        tokio::time::sleep(LOOK).await;
        for daemon in &fleet.daemons {
            let run = (daemon.ip, daemon.run());
            let (change, written) = fleet.operator.last();
            let sent = Instant::now();
            let answer = caller::get(daemon.callers(), &route(change)).await;
            let Some((status, _)) = answer.filter(|_| daemon.run() == run.1) else {
                continue;
            };
            let known = seen.get(&run).copied().unwrap_or_default();
            if status == SERVED {
                seen.insert(run, change.max(known));
            }
            if status != NO_ROUTE {
                continue;
            }
            let (ip, number) = run;
            if known >= change && fleet.operator.last().0 == change {
                let detail = format!("{ip} run {number} lost change {change}");
                fleet.ledger.broke(ledger::Promise::Forward, detail);
            }
            let due = written + IN_FORCE;
            if sent > due && fleet.ledger.is_calm_since(written) && fleet.is_timed() {
                let late = sent.duration_since(written);
                let detail = format!("{ip} run {number} lacks change {change} after {late:?}");
                fleet.ledger.broke(ledger::Promise::InForce, detail);
            }
        }
    }
}
