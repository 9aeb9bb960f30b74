//! Applies changed settings to a running daemon.

use monsooncart_config::settings;

use crate::{engine, gateway};

/// Outcome of a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The settings did not change.
    Unchanged,
    /// All changes are in force.
    Taken,
    /// Some changes take effect only at the next start.
    NextStart,
}

/// Applies reloaded settings: seeds take effect immediately, everything else at the next start.
#[must_use]
pub fn apply(engine: &engine::Engine, settings: &settings::Settings) -> Outcome {
    let current = &engine.core().settings;
    if let Some(cluster) = engine.core().cluster() {
        cluster.set_seeds(gateway::seed_addresses(settings));
    }
    let mut with_current_seeds = settings.clone();
    with_current_seeds.seeds.clone_from(&current.seeds);
    let outcome = match (settings == current, with_current_seeds == *current) {
        (true, _) => Outcome::Unchanged,
        (false, true) => Outcome::Taken,
        (false, false) => Outcome::NextStart,
    };
    log::info!(outcome:%, seeds = settings.seeds.len(); "daemon: settings read again");
    outcome
}
