//! Completing an accepted change of configuration whose operator's command ended half way.
//!
//! A change is accepted once its head is written; from then on anyone may write its objects. One
//! daemon, chosen by rank, looks at the head and completes a change that stays pending.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_policy::rank;
use monsooncart_store::{configuration, object, store};

use crate::core;

/// Time between two looks at the head.
const LOOK: Duration = Duration::from_secs(2);

/// Key by which the daemon with this duty is ranked.
const DUTY: &[u8] = b"config-change";

/// Completes changes until the task is dropped.
pub async fn complete(core: Arc<core::Core>, store: Arc<dyn store::Store>) {
    let mut ticks = tokio::time::interval(LOOK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut seen = None;
    loop {
        ticks.tick().await;
        if !has_duty(&core) {
            seen = None;
            continue;
        }
        let pending = pending(store.as_ref()).await;
        if pending.is_some() && pending == seen {
            match configuration::complete(store.as_ref()).await {
                Ok(_) => log::info!("config: completed a pending change"),
                Err(error) => log::warn!(error:%; "config: pending change was not completed"),
            }
        }
        seen = pending;
    }
}

fn has_duty(core: &core::Core) -> bool {
    let Some(cluster) = core.cluster() else {
        return false;
    };
    let members = cluster.members();
    let eligible = members.iter().filter(|m| m.is_eligible());
    let first = rank::top(DUTY, eligible, 1);
    first.first().is_some_and(|m| m.instance == core.instance)
}

/// Version of the head, where its change is pending.
async fn pending(store: &dyn store::Store) -> Option<object::Version> {
    let object = store.get(configuration::HEAD).await.ok().flatten()?;
    let head: configuration::Head = serde_json::from_slice(&object.value?).ok()?;
    (head.state == configuration::State::Pending).then_some(object.version)
}
