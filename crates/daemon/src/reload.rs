//! Taking settings that changed while the daemon runs.

use monsooncart_config::settings;

use crate::{engine, gateway};

/// What a reload came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The settings are as they were.
    Unchanged,
    /// All that changed is in force.
    Taken,
    /// Something changed that only a start takes.
    NextStart,
}

/// Takes settings that were read again: the seeds are in force at once, all else at the next start.
#[must_use]
pub fn apply(engine: &engine::Engine, settings: &settings::Settings) -> Outcome {
    let held = &engine.core().settings;
    if let Some(cluster) = engine.core().cluster() {
        cluster.reseed(gateway::seeds(settings));
    }
    let mut same = settings.clone();
    same.seeds.clone_from(&held.seeds);
    let outcome = match (settings == held, same == *held) {
        (true, _) => Outcome::Unchanged,
        (false, true) => Outcome::Taken,
        (false, false) => Outcome::NextStart,
    };
    log::info!(outcome:%, seeds = settings.seeds.len(); "daemon: settings read again");
    outcome
}
