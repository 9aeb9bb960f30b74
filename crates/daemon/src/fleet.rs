//! The proxy's interface to the rest of the fleet.

use std::io;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use monsooncart_cluster::scope;
use monsooncart_config::routing::access;
use monsooncart_policy::floor::{event, mark};
use monsooncart_policy::membership::member;
use monsooncart_policy::{allowance, handle, inventory};
use monsooncart_proxy::{interface, relay as proxy_relay};
use monsooncart_types::{id, instance, rate, run};
use monsooncart_wire::update;

use crate::{core, floors};

/// Maximum length of the evidence published with an ejection, in characters.
const MAX_EVIDENCE_CHARS: usize = 400;

/// Implements the proxy's fleet interface.
pub struct Fleet {
    /// State shared by the components.
    pub core: Arc<core::Core>,
    /// Ejection ledgers; `None` in gateway deployments.
    pub floors: Option<floors::Handle>,
}

impl Fleet {
    fn send_to_floors(&self, input: floors::Input) {
        if let Some(floors) = &self.floors {
            floors.send(input);
        }
    }

    fn publish(&self, update: update::Update) {
        if let Some(cluster) = self.core.cluster() {
            cluster.publish(update, scope::Scope::Fleet);
        }
    }

    /// Publishes to the entry set of a service directly, as most of its callers connect there, and
    /// to the rest of the fleet by gossip.
    fn publish_urgent(&self, service: &id::Service, update: update::Update) {
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        let set = match &self.core.gateway_entries {
            Some(entries) => entries.all(),
            None => self.core.entries.entry_set(service).to_vec(),
        };
        cluster.publish(update.clone(), scope::Scope::Members(set));
        cluster.publish(update, scope::Scope::Fleet);
    }

    fn is_configured(&self, service: &id::Service) -> bool {
        let cluster = self.core.cluster();
        cluster.is_some_and(|c| c.replica().snapshot().service(service).is_some())
    }
}

impl interface::Fleet for Fleet {
    fn eject(&self, service: &id::Service, server: &id::Server, evidence: String) {
        log::info!(service:% = service, server:% = server, evidence:% = evidence; "floor: requesting ejection");
        // A mark with its evidence must fit a datagram.
        let evidence = evidence.chars().take(MAX_EVIDENCE_CHARS).collect();
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let ejection = mark::Ejection {
            by: self.core.instance,
            at: since_epoch.unwrap_or_default().as_secs(),
            evidence,
        };
        let server = server.clone();
        let event = event::Event::Eject { server, ejection };
        self.send_to_floors(floors::Input::Event(service.clone(), event));
    }

    fn restore(&self, service: &id::Service, server: &id::Server) {
        let event = event::Event::Restore(server.clone());
        self.send_to_floors(floors::Input::Event(service.clone(), event));
    }

    fn report_crash(
        &self,
        service: &id::Service,
        fingerprint: handle::Fingerprint,
        run: &run::Run,
    ) {
        self.publish_urgent(
            service,
            update::Update::Blame {
                service: service.clone(),
                fingerprint,
                run: run.clone(),
            },
        );
    }

    fn report_acquittal(&self, service: &id::Service, fingerprint: handle::Fingerprint) {
        self.publish_urgent(
            service,
            update::Update::Acquittal {
                service: service.clone(),
                fingerprint,
            },
        );
    }

    fn quarantine(
        &self,
        service: &id::Service,
        fingerprint: handle::Fingerprint,
        duration: Duration,
    ) {
        self.publish_urgent(
            service,
            update::Update::Quarantine {
                service: service.clone(),
                fingerprint,
                span: duration,
            },
        );
    }

    fn report_leaving(&self, service: &id::Service, server: &id::Server, started_millis: u64) {
        let (service_name, server_name) = (service.clone(), server.clone());
        if started_millis == 0 {
            self.publish(update::Update::Leaving {
                service: service_name,
                server: server_name,
            });
        } else {
            let update = update::Update::RunLeaving {
                service: service_name,
                server: server_name,
                started_millis,
            };
            self.publish_urgent(service, update);
        }
        let input = floors::Input::ServerLeaving(service.clone(), server.clone());
        self.send_to_floors(input);
    }

    fn report_rate_limit(
        &self,
        service: &id::Service,
        server: &id::Server,
        started_millis: u64,
        limit: Option<rate::Rate>,
    ) {
        self.publish_urgent(
            service,
            update::Update::RateLimit {
                service: service.clone(),
                server: server.clone(),
                started_millis,
                limit,
            },
        );
    }

    fn entries(&self, service: &id::Service) -> Option<(Vec<interface::Entry>, Duration)> {
        if !self.is_configured(service) {
            return None;
        }
        let settings = &self.core.settings;
        let mut set = self.core.entries.entry_set(service).to_vec();
        let distance = |data_centre: &id::DataCentre, region: &id::Region| {
            let same_data_centre = *data_centre == settings.data_centre;
            let same_region = *region == settings.region;
            (!same_data_centre, !same_region)
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
        self.core.evidence_ready.notify_one();
    }

    fn relays(&self, service: &id::Service) -> Vec<inventory::Relay> {
        let core = &self.core;
        let (Some(entries), Some(paths)) = (&core.gateway_entries, &core.gateway_paths) else {
            return Vec::new();
        };
        let members = entries.all().into_iter();
        let has_path =
            |m: &member::Member| m.instance != core.instance && !paths.is_lost(m.instance, service);
        let relays = members.filter(has_path).map(|m| inventory::Relay {
            peer: m.instance,
            local: m.data_centre == core.settings.data_centre,
            capacity: m.capacity,
        });
        let mut relays: Vec<_> = relays.collect();
        relays.sort_unstable_by_key(|relay| relay.peer);
        relays
    }

    fn vm(&self, daemon: instance::Instance) -> Option<id::Vm> {
        let member = self.core.cluster()?.member(daemon);
        member.map(|member| member.vm)
    }

    fn open_relay(
        &self,
        daemon: instance::Instance,
    ) -> BoxFuture<'_, io::Result<Box<dyn proxy_relay::Stream>>> {
        async move {
            let cluster = self.core.cluster();
            let cluster = cluster.ok_or(io::ErrorKind::NotConnected)?;
            let stream = cluster.open_relay(daemon).await?;
            Ok(Box::new(stream) as Box<dyn proxy_relay::Stream>)
        }
        .boxed()
    }

    fn report_path(&self, service: &id::Service, lost: bool) {
        if let Some(paths) = &self.core.gateway_paths {
            paths.record_own(service, lost);
        }
    }

    fn admit(
        &self,
        organisation: &id::Organisation,
        allowance: &access::Allowance,
        is_first: bool,
    ) -> allowance::Decision {
        let now = self.core.now();
        match &self.core.gateway_allowances {
            Some(allowances) => allowances.admit(now, organisation, allowance, is_first),
            None => allowance::Decision::Admit {
                after: Duration::ZERO,
            },
        }
    }

    fn allowance_share(&self, organisation: &id::Organisation) -> Option<f64> {
        let allowances = self.core.gateway_allowances.as_ref()?;
        allowances.part(organisation)
    }

    fn refund(&self, organisation: &id::Organisation) {
        if let Some(allowances) = &self.core.gateway_allowances {
            allowances.refund(self.core.now(), organisation);
        }
    }

    fn daemons(&self, service: &id::Service) -> Vec<instance::Instance> {
        if let Some(entries) = &self.core.gateway_entries {
            return entries.instances();
        }
        let set = self.core.entries.entry_set(service);
        let mut instances: Vec<_> = set.iter().map(|m| m.instance).collect();
        instances.sort_unstable();
        instances
    }
}
