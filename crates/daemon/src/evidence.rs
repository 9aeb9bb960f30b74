//! Publishes this daemon's health evidence to the daemons that serve the same services.
//!
//! Evidence is sent only to the entry set of each service, so that its cost grows with the traffic
//! of this daemon and not with the size of the fleet.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_cluster::scope;
use monsooncart_types::id;
use monsooncart_wire::update;

use crate::core;

/// Interval between publications.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Publishes evidence until the task is dropped.
pub async fn publish(core: Arc<core::Core>) {
    let mut ticks = tokio::time::interval(PUBLISH_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let active = core
            .proxy()
            .map(monsooncart_proxy::engine::Engine::active_services);
        for service in active.unwrap_or_default() {
            publish_evidence(&core, &service);
        }
    }
}

fn publish_evidence(core: &core::Core, service: &id::Service) {
    let (Some(cluster), Some(proxy)) = (core.cluster(), core.proxy()) else {
        return;
    };
    let digests = proxy.digests(service);
    let has_activity = |d: &monsooncart_policy::event::Digest| d.good + d.bad + d.in_flight > 0;
    let evidence: Vec<_> = digests
        .into_iter()
        .filter(|(_, digest)| has_activity(digest))
        .map(|(server, digest)| update::Evidence { server, digest })
        .collect();
    if evidence.is_empty() {
        return;
    }
    let set = core.entries.entry_set(service);
    let others = set.iter().filter(|m| m.instance != core.instance);
    let receivers: Vec<_> = others.cloned().collect();
    if receivers.is_empty() {
        return;
    }
    let update = update::Update::Evidence {
        service: service.clone(),
        from: core.instance,
        digests: evidence,
    };
    cluster.publish(update, scope::Scope::Members(receivers));
}
