//! What the request path sees of the rest of the fleet.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use monsooncart_cluster::scope;
use monsooncart_policy::floor::{event, mark};
use monsooncart_policy::handle;
use monsooncart_policy::membership::member;
use monsooncart_proxy::interface;
use monsooncart_types::id;
use monsooncart_wire::news;

use crate::{core, floors};

/// Longest evidence of an ejection that is told, in characters.
const EVIDENCE_MAX: usize = 400;

/// The rest of the fleet.
pub struct Fleet {
    /// What the parts share.
    pub core: Arc<core::Core>,
    /// The ledgers, where ejections are kept in some.
    pub floors: Option<floors::Floors>,
}

impl Fleet {
    fn tell_floors(&self, input: floors::Input) {
        if let Some(floors) = &self.floors {
            floors.tell(input);
        }
    }

    fn publish(&self, news: news::News) {
        if let Some(cluster) = self.core.cluster() {
            cluster.publish(news, scope::Scope::Fleet);
        }
    }

    /// Tells the entry set of a service directly, where most of its callers are, and the rest of
    /// the fleet by gossip.
    fn publish_urgent(&self, service: &id::Service, news: news::News) {
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        let set = match &self.core.gateway {
            Some(gateway) => gateway.all(),
            None => self.core.entries.entry_set(service).to_vec(),
        };
        cluster.publish(news.clone(), scope::Scope::Members(set));
        cluster.publish(news, scope::Scope::Fleet);
    }

    fn knows(&self, service: &id::Service) -> bool {
        let cluster = self.core.cluster();
        cluster.is_some_and(|c| c.held().snapshot().service(service).is_some())
    }
}

impl interface::Fleet for Fleet {
    fn eject(&self, service: &id::Service, server: &id::Server, evidence: String) {
        log::info!(service:% = service, server:% = server, evidence:% = evidence; "floor: ejection wanted");
        // A mark with its evidence is to fit a datagram.
        let evidence = evidence.chars().take(EVIDENCE_MAX).collect();
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let ejection = mark::Ejection {
            by: self.core.instance,
            at: since.unwrap_or_default().as_secs(),
            evidence,
        };
        let server = server.clone();
        let event = event::Event::Eject { server, ejection };
        self.tell_floors(floors::Input::Event(service.clone(), event));
    }

    fn restore(&self, service: &id::Service, server: &id::Server) {
        let event = event::Event::Restore(server.clone());
        self.tell_floors(floors::Input::Event(service.clone(), event));
    }

    fn report_crash(
        &self,
        service: &id::Service,
        request: handle::Fingerprint,
        server: &id::Server,
    ) {
        self.publish_urgent(
            service,
            news::News::Blame {
                service: service.clone(),
                fingerprint: request,
                server: server.clone(),
            },
        );
    }

    fn quarantine(&self, service: &id::Service, request: handle::Fingerprint, span: Duration) {
        self.publish_urgent(
            service,
            news::News::Quarantine {
                service: service.clone(),
                fingerprint: request,
                span,
            },
        );
    }

    fn report_leaving(&self, service: &id::Service, server: &id::Server) {
        self.publish(news::News::Leaving {
            service: service.clone(),
            server: server.clone(),
        });
        let input = floors::Input::Leaving(service.clone(), server.clone());
        self.tell_floors(input);
    }

    fn entries(&self, service: &id::Service) -> Option<(Vec<interface::Entry>, Duration)> {
        if !self.knows(service) {
            return None;
        }
        let settings = &self.core.settings;
        let mut set = self.core.entries.entry_set(service).to_vec();
        let distance = |data_centre: &id::DataCentre, region: &id::Region| {
            let here = *data_centre == settings.data_centre;
            let near = *region == settings.region;
            (!here, !near)
        };
        set.sort_by_key(|m| distance(&m.data_centre, &m.region));
        let entry = |m: &member::Member| interface::Entry {
            address: m.callers,
            data_centre: m.data_centre.clone(),
        };
        let entries = set.iter().map(entry).collect();
        Some((entries, settings.entry_lifetime.0))
    }

    fn wake_gossip(&self) {
        self.core.stirred.notify_one();
    }

    fn daemon_count(&self, service: &id::Service) -> u32 {
        let count = match &self.core.gateway {
            Some(gateway) => gateway.count(),
            None => self.core.entries.entry_set(service).len(),
        };
        u32::try_from(count).unwrap_or(u32::MAX).max(1)
    }
}
