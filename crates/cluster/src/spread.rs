//! Dissemination of configuration.
//!
//! A few daemons of each region, chosen by rank, watch the platform's objects. The others receive
//! announcements of new versions by gossip, reconcile their replica with random peers, and pull
//! what is newer. The routing, which can be large, is fetched in parts that are passed on along a
//! distribution tree (`fetch`, `serve`). A replica accepts only newer versions of an object, so that
//! the configuration never reverts, whichever messages arrive and from whom.

pub mod freshness;
pub mod held;
pub mod source;

mod compare;
mod fetch;
mod outage;
mod removals;
pub(crate) mod serve;
mod silence;
pub(crate) mod staging;
mod watch;

use std::sync::Arc;

use crate::shared;

/// Starts the reconciliation task, the task that fetches the routing and, with a store, one watch
/// per key prefix.
pub(crate) fn start(shared: &Arc<shared::Shared>) {
    let state = shared.clone();
    shared.spawn_restarting("reconciliation", move || compare::run(state.clone()));
    let state = shared.clone();
    shared.spawn_restarting("routing fetch", move || fetch::run(state.clone()));
    let Some(store) = &shared.store else {
        return;
    };
    for &prefix in shared.source.prefixes() {
        let (state, store) = (shared.clone(), store.clone());
        let watch = move || watch::Watch::new(state.clone(), store.clone(), prefix).run();
        shared.spawn_restarting("store watch", watch);
    }
}
