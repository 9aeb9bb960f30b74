//! Spreading of configuration.
//!
//! A few daemons of each region, chosen by rank, watch the platform's objects; the others hear of
//! new versions by gossip, compare what they hold with random peers, and pull. A daemon takes only
//! a newer version of an object, so that its configuration never reverts, whatever it is told and
//! by whom.

pub mod fresh;
pub mod held;
pub mod source;

mod compare;
mod watch;

use std::sync::Arc;

use crate::shared;

/// Starts the tasks.
pub(crate) fn start(shared: &Arc<shared::Shared>) {
    shared.spawn(compare::run(shared.clone()));
    if let Some(store) = shared.store.clone() {
        for prefix in shared.source.prefixes() {
            let watch = watch::Watch::new(shared.clone(), store.clone(), prefix);
            shared.spawn(watch.run());
        }
    }
}
