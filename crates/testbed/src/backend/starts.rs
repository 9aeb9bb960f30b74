//! The log of started requests.

use std::sync::{Mutex, PoisonError};

/// Maximum number of logged requests; later ones are only counted.
const MAX_RECORDED: usize = 1 << 20;

/// A started request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Start {
    /// The `x-request-id` of the request, else its ticket, else empty.
    pub id: String,
    /// Attempt id set by the fleet.
    pub attempt: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Time since the start of the server, in milliseconds.
    pub at_millis: u64,
}

/// The log as the control listener returns it.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Starts {
    /// Number of started requests.
    pub count: u64,
    /// Number of requests rejected as not run.
    pub shed: u64,
    /// Number of crashes, by poison requests or on request of the control listener.
    pub crashes: u64,
    /// Started requests in order.
    pub starts: Vec<Start>,
}

/// The log of started requests.
#[derive(Debug, Default)]
pub(super) struct Log(Mutex<Starts>);

impl Log {
    fn with_locked<T>(&self, change: impl FnOnce(&mut Starts) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn record_start(&self, start: Start) {
        self.with_locked(|log| {
            log.count += 1;
            if log.starts.len() < MAX_RECORDED {
                log.starts.push(start);
            }
        });
    }

    pub fn record_shed(&self) {
        self.with_locked(|log| log.shed += 1);
    }

    pub fn record_crash(&self) {
        self.with_locked(|log| log.crashes += 1);
    }

    /// Returns a copy of the log.
    pub fn contents(&self) -> Starts {
        self.with_locked(|log| log.clone())
    }
}
