//! Completes accepted configuration changes whose operator command stopped half-way.
//!
//! A change is accepted once its head is written; from then on any process may write its objects.
//! One daemon, chosen by rendezvous hashing, polls the head and completes a change that is still
//! pending at the next poll.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_policy::rank;
use monsooncart_store::{configuration, object, store};

use crate::core;

/// Interval between reads of the head.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Rendezvous hashing key that selects the responsible daemon.
const RANK_KEY: &[u8] = b"config-change";

/// Completes pending changes until the task is dropped.
pub async fn complete_pending(core: Arc<core::Core>, store: Arc<dyn store::Store>) {
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_pending = None;
    loop {
        ticks.tick().await;
        if !is_responsible(&core) {
            last_pending = None;
            continue;
        }
        let pending = pending_version(store.as_ref()).await;
        if pending.is_some() && pending == last_pending {
            match configuration::complete(store.as_ref()).await {
                Ok(_) => log::info!("config: completed a pending change"),
                Err(error) => log::warn!(error:%; "config: failed to complete a pending change"),
            }
        }
        last_pending = pending;
    }
}

fn is_responsible(core: &core::Core) -> bool {
    let Some(cluster) = core.cluster() else {
        return false;
    };
    let members = cluster.members();
    let eligible = members.iter().filter(|m| m.is_eligible());
    let first = rank::top(RANK_KEY, eligible, 1);
    first.first().is_some_and(|m| m.instance == core.instance)
}

/// Version of the head if its change is pending.
async fn pending_version(store: &dyn store::Store) -> Option<object::Version> {
    let object = store.get(configuration::HEAD).await.ok().flatten()?;
    let head: configuration::Head = serde_json::from_slice(&object.value?).ok()?;
    (head.state == configuration::State::Pending).then_some(object.version)
}
