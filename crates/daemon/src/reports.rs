//! What a daemon tells operators of usage and burn.

use std::collections::BTreeMap;

use monsooncart_config::objective;
use monsooncart_types::{id, instance};
use monsooncart_usage::burn::snapshot;
use monsooncart_usage::page;

/// The usage pages that a daemon holds.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Its run.
    pub instance: instance::Instance,
    /// Its latest pages, and copies of other runs'.
    pub pages: Vec<page::Page>,
}

/// The counts towards the objectives that a daemon holds.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Burn {
    /// The present of the daemon, in seconds of the Unix epoch.
    pub seconds: u64,
    /// What each service promises.
    pub objectives: BTreeMap<id::Service, objective::Objective>,
    /// Its counts, and copies of other runs'.
    pub snapshots: Vec<snapshot::Snapshot>,
}
