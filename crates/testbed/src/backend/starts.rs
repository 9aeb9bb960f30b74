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
    /// Number of crashes by poison requests.
    pub crashes: u64,
    /// Started requests in order.
    pub starts: Vec<Start>,
}

/// The log of started requests.
#[derive(Debug, Default)]
pub(super) struct Log(Mutex<Starts>);

impl Log {
    fn with<T>(&self, change: impl FnOnce(&mut Starts) -> T) -> T {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Logs a started request.
    pub fn start(&self, start: Start) {
        self.with(|log| {
            log.count += 1;
            if log.starts.len() < MAX_RECORDED {
                log.starts.push(start);
            }
        });
    }

    /// Counts a rejected request.
    pub fn shed(&self) {
        self.with(|log| log.shed += 1);
    }

    /// Counts a crash.
    pub fn crash(&self) {
        self.with(|log| log.crashes += 1);
    }

    /// Returns the complete log.
    pub fn all(&self) -> Starts {
        self.with(|log| log.clone())
    }
}
