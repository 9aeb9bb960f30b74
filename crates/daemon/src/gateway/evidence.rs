//! Sends health evidence, as it arises, to the daemons that use the same servers.
//!
//! Daemons in the same data centre receive all evidence almost immediately. Those in other data
//! centres receive failures, and the load of servers that this daemon keeps busy
//! ([`report::Reports`]), as traffic between data centres is expensive. A few of them also receive which
//! servers are in use ([`super::entries::Entries::observers`]).

use std::sync::Arc;
use std::time::Duration;

use monsooncart_policy::event;
use monsooncart_policy::membership::member;
use monsooncart_policy::selector::report;
use monsooncart_types::{id, map};
use monsooncart_wire::update;

use super::observers;
use crate::core;

/// Time for which results are batched before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Interval between polls while requests are in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Sends evidence until the task is dropped.
pub async fn send(core: Arc<core::Core>) {
    let mut remote_reports = map::Map::<id::Service, RemoteReports>::default();
    loop {
        let evidence_ready = core.evidence_ready.notified();
        if tokio::time::timeout(POLL_INTERVAL, evidence_ready)
            .await
            .is_err()
            && !has_requests_in_flight(&core)
        {
            core.evidence_ready.notified().await;
        }
        tokio::time::sleep(BATCH_DELAY).await;
        let active = core
            .proxy()
            .map(monsooncart_proxy::engine::Engine::active_services);
        for service in active.unwrap_or_default() {
            let remote_reports = remote_reports.entry(service.clone()).or_default();
            send_evidence(&core, &service, remote_reports);
        }
    }
}

fn has_requests_in_flight(core: &core::Core) -> bool {
    core.proxy().is_some_and(|proxy| proxy.in_flight() > 0)
}

/// What is reported of one service to other data centres.
#[derive(Default)]
struct RemoteReports {
    reports: report::Reports,
    observers: observers::Observers,
}

fn send_evidence(core: &core::Core, service: &id::Service, remote: &mut RemoteReports) {
    let RemoteReports { reports, observers } = remote;
    let (Some(cluster), Some(proxy), Some(entries)) =
        (core.cluster(), core.proxy(), core.gateway_entries.as_ref())
    else {
        return;
    };
    let digests = proxy.digests(service);
    reports.add(&digests);
    let used = reports.take_use(core.now());
    if !reports.is_pending() && used.is_none() {
        return;
    }
    let (local, remote): (Vec<_>, Vec<_>) = entries
        .all()
        .into_iter()
        .filter(|m| m.instance != core.instance)
        .partition(|m| m.data_centre == core.settings.data_centre);
    let snapshot = proxy.snapshot();
    let spec = snapshot.service(service);
    let slots = |name: &id::Server| {
        let servers = spec.map(|spec| spec.servers.as_slice());
        let server = servers.unwrap_or_default().iter().find(|s| s.name == *name);
        server.map_or(1, |server| server.slots)
    };
    let remote_digests = reports.take(core.now(), slots);
    let send = |digests: Vec<(id::Server, event::Digest)>, members: &[member::Member]| {
        let evidence = digests.into_iter();
        let evidence = evidence.map(|(server, digest)| update::Evidence { server, digest });
        let update = update::Update::Evidence {
            service: service.clone(),
            from: core.instance,
            digests: evidence.collect(),
        };
        if !members.is_empty() {
            cluster.broadcast(update, members);
        }
    };
    if !digests.is_empty() {
        send(digests, &local);
    }
    if !remote_digests.is_empty() {
        send(remote_digests, &remote);
    }
    match used {
        Some(used) if used.is_empty() => send(used, &observers.receivers()),
        Some(used) => {
            let chosen = entries.observers(&core.settings.data_centre);
            send(used, &chosen);
            observers.record_report(core.now(), chosen);
        }
        None => {}
    }
}
