//! The servers that registered themselves, by name and by service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use monsooncart_types::{id, map, share, span};

use crate::{objective, registration, routing, rules, server, service};

/// Time to the head of an answer that a service promises where its routes state none.
const LATENCY: Duration = Duration::from_secs(1);

/// The servers that registered themselves.
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

    /// Takes what a server says of itself, or its end; gives the services that it concerns.
    pub(super) fn take(
        &mut self,
        server: &id::Server,
        registration: Option<Arc<registration::Registration>>,
    ) -> Vec<id::Service> {
        let mut concerned = Vec::new();
        let old = match &registration {
            Some(new) => self.servers.insert(server.clone(), new.clone()),
            None => self.servers.remove(server),
        };
        if let Some(old) = old {
            if let Some(servers) = self.services.get_mut(&old.service) {
                servers.remove(server);
            }
            concerned.push(old.service.clone());
        }
        if let Some(new) = registration {
            let service = new.service.clone();
            let servers = self.services.entry(service.clone()).or_default();
            servers.insert(server.clone(), new);
            if !concerned.contains(&service) {
                concerned.push(service);
            }
        }
        concerned
    }

    /// A service with the servers that registered for it.
    pub(super) fn service(&self, known: &routing::Service) -> service::Service {
        let servers = self.services.get(&known.name);
        let server =
            |(name, said): (&id::Server, &Arc<registration::Registration>)| server::Server {
                name: name.clone(),
                address: said.address,
                data_centre: said.data_centre.clone(),
                slots: said.slots,
                connections: known.connections,
                leaving: said.leaving,
                cold: said.cold,
                started_millis: said.started_millis,
            };
        service::Service {
            name: known.name.clone(),
            floor: share::Share::default(),
            detection: rules::Detection::Fast,
            objective: objective::Objective {
                availability: share::Share::default(),
                fast: share::Share::default(),
                latency: span::Span(LATENCY),
            },
            health_path: known.health_path.clone(),
            routes: Vec::new(),
            servers: servers.into_iter().flatten().map(server).collect(),
        }
    }
}
