//! A log of recent decisions and their evidence, for operators.

use std::collections::VecDeque;
use std::sync::Mutex;

use monsooncart_policy::handle;
use monsooncart_types::id;

use crate::clock;
use crate::lock::lock;

/// Maximum number of decisions in each log.
const MAX_DECISIONS: usize = 1024;

/// Kind of a decision.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// The ejection of a server was requested.
    Eject,
    /// The restoration of a server was requested.
    Restore,
    /// A server was ejected.
    Granted,
    /// An ejection was denied, since it would violate the capacity floor.
    Denied,
    /// A server was restored.
    Restored,
    /// The path to the servers was lost.
    PathLost,
    /// The path to the servers is there again.
    PathRegained,
    /// A server is leaving.
    Leaving,
    /// A poison request is refused across the fleet.
    Quarantine,
    /// A request was refused by the fleet.
    Refuse,
    /// A request was retried.
    Retry,
    /// Connections to a server that were opened before a given time were closed.
    Condemn,
}

/// A decision with its subject and evidence.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Decision {
    /// Wall-clock time of the daemon, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// Kind of the decision.
    pub kind: Kind,
    /// Affected service.
    pub service: id::Service,
    /// Affected server, if any.
    pub server: Option<id::Server>,
    /// Number of the affected request, if any.
    pub request: Option<u64>,
    /// Human-readable evidence.
    pub evidence: String,
}

/// Bounded logs of the most recent decisions.
///
/// Decisions about requests are far more frequent and have a log of their own, so that they do
/// not evict decisions about servers.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    servers: Mutex<VecDeque<Decision>>,
    requests: Mutex<VecDeque<Decision>>,
}

impl Ring {
    /// Adds a decision and evicts the oldest one when the log is full.
    pub fn push(
        &self,
        kind: Kind,
        service: &id::Service,
        server: Option<id::Server>,
        request: Option<handle::Request>,
        evidence: String,
    ) {
        let decision = Decision {
            at_millis: clock::wall_millis(),
            kind,
            service: service.clone(),
            server,
            request: request.map(|r| r.0),
            evidence,
        };
        let ring = if request.is_some() {
            &self.requests
        } else {
            &self.servers
        };
        let mut entries = lock(ring);
        if entries.len() == MAX_DECISIONS {
            entries.pop_front();
        }
        entries.push_back(decision);
    }

    /// Returns all stored decisions, oldest first.
    pub fn all(&self) -> Vec<Decision> {
        let mut all: Vec<Decision> = lock(&self.servers).iter().cloned().collect();
        all.extend(lock(&self.requests).iter().cloned());
        all.sort_by_key(|decision| decision.at_millis);
        all
    }
}
