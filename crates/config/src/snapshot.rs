//! The configuration that a daemon holds, put together from the platform's objects.
//!
//! A snapshot is a value: a change makes a new one that shares all that it did not touch, so that
//! requests go on under the one that they started with.

use std::sync::Arc;

use monsooncart_types::{id, map};

use crate::{object, organisation, routing, service, zone};

mod block;
mod index;
mod names;
mod registry;

/// A configuration.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    zones: Arc<Vec<zone::Zone>>,
    services: Arc<map::Map<id::Service, Arc<service::Service>>>,
    blocks: map::Map<u32, Arc<block::Block>>,
    names: Arc<names::Names<id::Service>>,
    centres: Arc<names::Names<id::DataCentre>>,
    keys: index::Index,
    versions: Arc<map::Map<object::Key, u64>>,
    routing: Arc<routing::Routing>,
    table: Arc<routing::Table>,
    registry: Arc<registry::Registry>,
}

impl Snapshot {
    /// The data centres.
    #[must_use]
    pub fn zones(&self) -> &[zone::Zone] {
        &self.zones
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&Arc<service::Service>> {
        self.services.get(name)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<service::Service>> {
        self.services.values()
    }

    /// The organisation that a bearer key belongs to, put together from its compact form.
    ///
    /// A key that moves from one block to another is for a while in both or in none; of two that
    /// hold it, the one in the newer object has it.
    #[must_use]
    pub fn organisation(
        &self,
        key: &organisation::Digest,
    ) -> Option<Arc<organisation::Organisation>> {
        let holds = |place: &index::Place| {
            let block = self.blocks.get(&u32::from(place.block));
            block.is_some_and(|block| block.keys(place.index).any(|held| held == *key))
        };
        let version = |place: &index::Place| {
            self.version(&object::Key::Organisations(u32::from(place.block)))
        };
        let holders = self.keys.places(key).filter(holds);
        let place = holders.max_by_key(version)?;
        let block = self.blocks.get(&u32::from(place.block))?;
        block.organisation(place.index, &self.names).map(Arc::new)
    }

    /// All organisations, in no order, each put together from its compact form.
    pub fn organisations(&self) -> impl Iterator<Item = organisation::Organisation> + '_ {
        let blocks = self.blocks.values();
        blocks.flat_map(|block| block.organisations(&self.names))
    }

    /// The routing of a deployment whose servers register themselves; `None` before it is held.
    #[must_use]
    pub fn routing(&self) -> Option<&Arc<routing::Routing>> {
        self.version(&object::Key::Routing)?;
        Some(&self.routing)
    }

    /// The route of a request of a deployment whose servers register themselves.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&routing::Route> {
        let place = self.table.find(host, path)?;
        self.routing.routes.get(place)
    }

    /// Version of an object; `None` where it is not held.
    #[must_use]
    pub fn version(&self, key: &object::Key) -> Option<u64> {
        self.versions.get(key).copied()
    }

    /// Every object held, with its version, in no order.
    pub fn versions(&self) -> impl Iterator<Item = (&object::Key, u64)> {
        self.versions.iter().map(|(key, version)| (key, *version))
    }

    /// The value of an object, for a peer that asks for it; `None` where it is not held.
    #[must_use]
    pub fn value(&self, key: &object::Key) -> Option<object::Value> {
        self.version(key)?;
        Some(match key {
            object::Key::Zones => object::Value::Zones(self.zones.to_vec()),
            object::Key::Service(name) => {
                let service = self.services.get(name);
                object::Value::Service(service.map(|s| Box::new(s.as_ref().clone())))
            }
            object::Key::Organisations(block) => {
                let block = self.blocks.get(block);
                let block = block.map(|b| b.organisations(&self.names).collect());
                object::Value::Organisations(block.unwrap_or_default())
            }
            object::Key::Routing => object::Value::Routing(Box::new(self.routing.as_ref().clone())),
            object::Key::Registration(server) => {
                let registration = self.registry.get(server);
                object::Value::Registration(registration.map(|r| Box::new(r.as_ref().clone())))
            }
        })
    }

    /// The snapshot with an object taken in; `None` where `version` is not newer than the one held
    /// or the value is of another kind than the key.
    #[must_use]
    pub fn with(&self, key: &object::Key, version: u64, value: object::Value) -> Option<Self> {
        let mut next = self.clone();
        next.take(key, version, value).then_some(next)
    }

    /// Takes an object in, and says whether it did: not where `version` is not newer than the one
    /// held or the value is of another kind than the key.
    ///
    /// Copies what is shared with other snapshots once, so that many objects are best taken into
    /// one clone.
    pub fn take(&mut self, key: &object::Key, version: u64, value: object::Value) -> bool {
        if self.version(key).is_some_and(|held| held >= version) {
            return false;
        }
        match (key, value) {
            // Keys that were parsed are all below; the places of the index hold no more.
            (object::Key::Organisations(block), _) if *block >= object::BLOCKS => return false,
            (object::Key::Zones, object::Value::Zones(zones)) => self.zones = Arc::new(zones),
            (object::Key::Service(name), object::Value::Service(service)) => {
                self.take_service(name, service);
            }
            (object::Key::Organisations(block), object::Value::Organisations(organisations)) => {
                self.take_block(*block, &organisations);
            }
            (object::Key::Routing, object::Value::Routing(routing)) => self.take_routing(*routing),
            (object::Key::Registration(server), object::Value::Registration(registration)) => {
                let registration = registration.map(|r| Arc::new(*r));
                for service in Arc::make_mut(&mut self.registry).take(server, registration) {
                    self.take_registered(&service);
                }
            }
            _ => return false,
        }
        Arc::make_mut(&mut self.versions).insert(key.clone(), version);
        true
    }

    fn take_service(&mut self, name: &id::Service, service: Option<Box<service::Service>>) {
        let service = service.map(|service| self.compact(service));
        let services = Arc::make_mut(&mut self.services);
        match service {
            Some(service) => services.insert(name.clone(), service),
            None => services.remove(name),
        };
    }

    /// A service without the room that its decoding left, and with data centres that are held once.
    fn compact(&mut self, mut service: Box<service::Service>) -> Arc<service::Service> {
        let centres = service.servers.iter().map(|server| &server.data_centre);
        names::Names::add_all(&mut self.centres, centres);
        for server in &mut service.servers {
            if let Some(held) = self.centres.held(&server.data_centre) {
                server.data_centre = held.clone();
            }
        }
        service.servers.shrink_to_fit();
        service.routes.shrink_to_fit();
        for route in &mut service.routes {
            route.methods.shrink_to_fit();
        }
        Arc::from(service)
    }

    fn take_routing(&mut self, routing: routing::Routing) {
        let old = std::mem::replace(&mut self.routing, Arc::new(routing));
        self.table = Arc::new(routing::Table::new(&self.routing));
        let names = old.services.iter().chain(&self.routing.services);
        let names: std::collections::BTreeSet<_> = names.map(|s| s.name.clone()).collect();
        for name in names {
            self.take_registered(&name);
        }
    }

    /// Puts a service together from the routing and the servers that registered for it.
    fn take_registered(&mut self, name: &id::Service) {
        let known = self.routing.services.iter().find(|s| s.name == *name);
        let service = known.map(|known| Arc::new(self.registry.service(known)));
        let services = Arc::make_mut(&mut self.services);
        match service {
            Some(service) if services.get(name) == Some(&service) => {}
            Some(service) => {
                services.insert(name.clone(), service);
            }
            None => {
                services.remove(name);
            }
        }
    }

    fn take_block(&mut self, number: u32, organisations: &[organisation::Organisation]) {
        let services = organisations.iter().flat_map(|o| &o.services);
        names::Names::add_all(&mut self.names, services);
        let new = Arc::new(block::Block::new(organisations, &self.names));
        let place = u16::try_from(number).unwrap_or(u16::MAX);
        let entries = new.entries(place);
        let old = self.blocks.insert(number, new);
        let old = old.map(|old| old.entries(place)).unwrap_or_default();
        self.keys.replace(place, old, entries);
    }
}
