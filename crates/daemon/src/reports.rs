//! Response bodies of `/v1/usage` and `/v1/burn`.

use std::collections::BTreeMap;

use monsooncart_config::objective;
use monsooncart_types::{id, instance};
use monsooncart_usage::burn::snapshot;
use monsooncart_usage::page;

/// The usage pages stored by a daemon.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Instance id of the daemon.
    pub instance: instance::Instance,
    /// The daemon's latest pages and its copies of other instances' pages.
    pub pages: Vec<page::Page>,
}

/// The error budget counts stored by a daemon.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Burn {
    /// Current time of the daemon, in seconds since the Unix epoch.
    pub seconds: u64,
    /// Objective of each service.
    pub objectives: BTreeMap<id::Service, objective::Objective>,
    /// Parts of the daemon's snapshot and its copies of parts of other instances' snapshots.
    pub snapshots: Vec<snapshot::Part>,
}
