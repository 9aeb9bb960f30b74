//! Registered servers, by name and by service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use monsooncart_types::{id, map, share, span};

use crate::{objective, registration, routing, rules, server, service};

/// Latency objective of services whose routes define none.
const DEFAULT_LATENCY: Duration = Duration::from_secs(1);

/// Registered servers, by name and by service.
#[derive(Clone, Debug, Default)]
pub(super) struct Registry {
    servers: map::Map<id::Server, Arc<registration::Registration>>,
    services: map::Map<id::Service, BTreeMap<id::Server, Arc<registration::Registration>>>,
}

impl Registry {
    /// A server by name.
    pub(super) fn get(&self, server: &id::Server) -> Option<&Arc<registration::Registration>> {
        self.servers.get(server)
    }

    /// Services that servers have registered for.
    pub(super) fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.services.keys()
    }

    /// The servers of a service.
    pub(super) fn of_service(
        &self,
        service: &id::Service,
    ) -> impl Iterator<Item = &Arc<registration::Registration>> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Updates the registration of a server, or removes it; returns the affected services.
    pub(super) fn update(
        &mut self,
        server: &id::Server,
        registration: Option<Arc<registration::Registration>>,
    ) -> Vec<id::Service> {
        let mut affected = Vec::new();
        let old = match &registration {
            Some(new) => self.servers.insert(server.clone(), new.clone()),
            None => self.servers.remove(server),
        };
        if let Some(old) = old {
            if let Some(servers) = self.services.get_mut(&old.service) {
                servers.remove(server);
            }
            affected.push(old.service.clone());
        }
        if let Some(new) = registration {
            let service = new.service.clone();
            let servers = self.services.entry(service.clone()).or_default();
            servers.insert(server.clone(), new);
            if !affected.contains(&service) {
                affected.push(service);
            }
        }
        affected
    }

    /// Builds a service with its registered servers.
    pub(super) fn build_service(&self, routed: &routing::Service) -> service::Service {
        let servers = self.services.get(&routed.name);
        let to_server = |(name, registration): (&id::Server, &Arc<registration::Registration>)| {
            server::Server {
                name: name.clone(),
                address: registration.address,
                data_centre: registration.data_centre.clone(),
                slots: registration.slots,
                connections: routed.connections,
                leaving: registration.leaving,
                remaining_warm_up: registration.cold,
                started_millis: registration.started_millis,
            }
        };
        service::Service {
            name: routed.name.clone(),
            floor: share::Share::default(),
            detection: rules::Detection::Fast,
            objective: objective::Objective {
                availability: share::Share::default(),
                fast: share::Share::default(),
                latency: span::Span(DEFAULT_LATENCY),
            },
            health_path: routed.health_path.clone(),
            routes: Vec::new(),
            servers: servers.into_iter().flatten().map(to_server).collect(),
        }
    }
}
