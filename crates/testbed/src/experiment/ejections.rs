//! Records the ejections of a fleet's servers while the fleet runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use monsooncart_daemon::engine;
use monsooncart_types::id;

use crate::local;

/// Interval at which the daemons' views of the servers are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Times from which any daemon reported a server as ejected.
#[derive(Clone, Debug, Default)]
pub struct Ejections {
    /// Servers that were ejected or on trial at the last poll.
    ejected: BTreeSet<id::Server>,
    times: BTreeMap<id::Server, Vec<Instant>>,
}

impl Ejections {
    /// Times at which a server was ejected.
    pub fn times_of(&self, server: &id::Server) -> &[Instant] {
        self.times.get(server).map_or(&[], Vec::as_slice)
    }

    /// Number of ejections of the servers that satisfy a condition.
    pub fn count(&self, condition: impl Fn(&id::Server) -> bool) -> usize {
        let times = self.times.iter().filter(|(server, _)| condition(server));
        times.map(|(_, times)| times.len()).sum()
    }

    fn poll(&mut self, daemons: &[engine::Engine], services: &[id::Service]) {
        let mut ejected = BTreeSet::new();
        for proxy in daemons.iter().filter_map(|d| d.core().proxy()) {
            for service in services {
                let view = proxy.views(service).into_iter();
                let unavailable =
                    view.filter(|(_, view)| matches!(view.state, "ejected" | "returning"));
                ejected.extend(unavailable.map(|(server, _)| server));
            }
        }
        for server in ejected.difference(&self.ejected) {
            let times = self.times.entry(server.clone()).or_default();
            times.push(Instant::now());
        }
        self.ejected = ejected;
    }
}

/// Records the ejections of a fleet until it is stopped.
pub struct Recorder {
    ejections: Arc<Mutex<Ejections>>,
    task: tokio::task::JoinHandle<()>,
}

impl Recorder {
    /// Starts to poll the daemons.
    pub fn start(fleet: &local::Fleet) -> Self {
        let ejections = Arc::new(Mutex::new(Ejections::default()));
        let daemons = fleet.daemons.clone();
        let services = fleet.configuration.services.iter();
        let services: Vec<_> = services.map(|s| s.name.clone()).collect();
        let shared = ejections.clone();
        let task = tokio::spawn(async move {
            loop {
                shared
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .poll(&daemons, &services);
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        Self { ejections, task }
    }

    /// Stops and returns the recorded ejections.
    pub fn stop(self) -> Ejections {
        self.task.abort();
        let ejections = self
            .ejections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        ejections.clone()
    }
}
