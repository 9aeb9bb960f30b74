//! Services.

use monsooncart_types::{id, share};

use crate::{objective, route, rules, server};

/// A service with its backend servers and its rules.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique within the fleet.
    pub name: id::Service,
    /// Share of the slots of all its servers that ejections must leave available.
    pub floor: share::Share,
    /// Trade-off between detection time and false ejections.
    #[serde(default)]
    pub detection: rules::Detection,
    /// Service-level objective.
    pub objective: objective::Objective,
    /// Path of the health endpoint of its servers; `None` if they have none.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Requests that it accepts.
    pub routes: Vec<route::Route>,
    /// Its backend servers.
    pub servers: Vec<server::Server>,
}

impl Service {
    /// Total number of slots of its servers.
    #[must_use]
    pub fn slots(&self) -> u64 {
        self.servers.iter().map(|s| u64::from(s.slots)).sum()
    }

    /// Number of slots that ejections must leave available.
    #[must_use]
    pub fn floor_slots(&self) -> u64 {
        self.floor.of(self.slots())
    }
}
