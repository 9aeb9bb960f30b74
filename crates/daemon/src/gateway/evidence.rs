//! Telling evidence as it comes to the daemons that share this one's servers.
//!
//! Daemons of the same data centre are told everything within a moment. Those of other data
//! centres are told of failures alone, as what crosses is dear and their work goes elsewhere.

use std::sync::Arc;
use std::time::Duration;

use monsooncart_policy::event;
use monsooncart_policy::membership::member;
use monsooncart_types::id;
use monsooncart_wire::news;

use crate::core;

/// Time in which what ends is gathered before it is told.
const GATHER: Duration = Duration::from_millis(20);

/// Time between two looks while there are requests.
const LOOK: Duration = Duration::from_millis(200);

/// Tells evidence until the task is dropped.
pub async fn tell(core: Arc<core::Core>) {
    loop {
        let stirred = core.stirred.notified();
        if tokio::time::timeout(LOOK, stirred).await.is_err() && !is_busy(&core) {
            core.stirred.notified().await;
        }
        tokio::time::sleep(GATHER).await;
        let active = core
            .proxy()
            .map(monsooncart_proxy::engine::Engine::active_services);
        for service in active.unwrap_or_default() {
            tell_service(&core, &service);
        }
    }
}

fn is_busy(core: &core::Core) -> bool {
    core.proxy().is_some_and(|proxy| proxy.in_flight() > 0)
}

fn tell_service(core: &core::Core, service: &id::Service) {
    let (Some(cluster), Some(proxy), Some(gateway)) =
        (core.cluster(), core.proxy(), core.gateway.as_ref())
    else {
        return;
    };
    let digests = proxy.digests(service);
    if digests.is_empty() {
        return;
    }
    let (near, far): (Vec<_>, Vec<_>) = gateway
        .all()
        .into_iter()
        .filter(|m| m.instance != core.instance)
        .partition(|m| m.data_centre == core.settings.data_centre);
    let failed: Vec<_> = digests.iter().filter(|(_, d)| d.bad > 0).cloned().collect();
    let tell = |digests: Vec<(id::Server, event::Digest)>, members: &[member::Member]| {
        if digests.is_empty() || members.is_empty() {
            return;
        }
        let evidence = digests.into_iter();
        let evidence = evidence.map(|(server, digest)| news::Evidence { server, digest });
        let news = news::News::Evidence {
            service: service.clone(),
            from: core.instance,
            digests: evidence.collect(),
        };
        cluster.cast(news, members);
    };
    tell(digests, &near);
    tell(failed, &far);
}
