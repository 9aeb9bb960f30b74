//! Snapshots of the configuration, assembled from the platform's objects.
//!
//! A change creates a new snapshot that shares all unchanged parts with the previous one, so that
//! requests in progress continue with the snapshot that they started with.

use std::sync::Arc;

use monsooncart_types::{id, map};

use crate::{object, organisation, registration, routing, service, zone};

mod block;
mod index;
mod interner;
mod registry;

/// The configuration of a daemon at one version of each object.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    zones: Arc<Vec<zone::Zone>>,
    services: Arc<map::Map<id::Service, Arc<service::Service>>>,
    blocks: map::Map<u32, Arc<block::Block>>,
    service_names: Arc<interner::Interner<id::Service>>,
    data_centres: Arc<interner::Interner<id::DataCentre>>,
    key_index: index::Index,
    versions: Arc<map::Map<object::Key, u64>>,
    routing: Arc<routing::Routing>,
    route_table: Arc<routing::Table>,
    access_index: Arc<routing::access::Index>,
    registry: Arc<registry::Registry>,
}

impl Snapshot {
    /// All data centres with their regions.
    #[must_use]
    pub fn zones(&self) -> &[zone::Zone] {
        &self.zones
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &id::Service) -> Option<&Arc<service::Service>> {
        self.services.get(name)
    }

    /// All services, in unspecified order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<service::Service>> {
        self.services.values()
    }

    /// The organisation that a bearer key belongs to, decoded from its compact form.
    ///
    /// A key that moves from one block to another is temporarily in both or in neither. If two
    /// organisations have it, the one in the object with the higher version is returned.
    #[must_use]
    pub fn organisation(
        &self,
        key: &organisation::Digest,
    ) -> Option<Arc<organisation::Organisation>> {
        let has_key = |location: &index::Location| {
            let block = self.blocks.get(&u32::from(location.block));
            block.is_some_and(|block| block.keys(location.index).any(|digest| digest == *key))
        };
        let version = |location: &index::Location| {
            self.version(&object::Key::Organisations(u32::from(location.block)))
        };
        let owners = self.key_index.locations(key).filter(has_key);
        let location = owners.max_by_key(version)?;
        let block = self.blocks.get(&u32::from(location.block))?;
        block
            .organisation(location.index, &self.service_names)
            .map(Arc::new)
    }

    /// All organisations, in unspecified order, decoded from their compact form.
    pub fn organisations(&self) -> impl Iterator<Item = organisation::Organisation> + '_ {
        let blocks = self.blocks.values();
        blocks.flat_map(|block| block.organisations(&self.service_names))
    }

    /// The routing of a deployment whose servers register themselves; `None` until it is received.
    #[must_use]
    pub fn routing(&self) -> Option<&Arc<routing::Routing>> {
        self.version(&object::Key::Routing)?;
        Some(&self.routing)
    }

    /// The route of a request in a deployment whose servers register themselves.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&routing::Route> {
        let index = self.route_table.find(host, path)?;
        self.routing.routes.get(index)
    }

    /// The organisation that a key of the routing belongs to.
    #[must_use]
    pub fn routing_organisation(
        &self,
        key: &routing::digest::Digest,
    ) -> Option<&routing::access::Organisation> {
        let index = self.access_index.find_key(key)?;
        self.routing.access.organisations().get(index)
    }

    /// The organisation of the routing with this name.
    #[must_use]
    pub fn routing_organisation_by_name(
        &self,
        name: &id::Organisation,
    ) -> Option<&routing::access::Organisation> {
        let index = self.access_index.find_name(name)?;
        self.routing.access.organisations().get(index)
    }

    /// The registration of a server.
    #[must_use]
    pub fn registration(&self, server: &id::Server) -> Option<&registration::Registration> {
        self.registry.get(server).map(Arc::as_ref)
    }

    /// Services that servers have registered for.
    pub fn registered_services(&self) -> impl Iterator<Item = &id::Service> {
        self.registry.services()
    }

    /// Registrations of the servers of a service.
    pub fn registrations(
        &self,
        service: &id::Service,
    ) -> impl Iterator<Item = &registration::Registration> {
        self.registry.of_service(service).map(Arc::as_ref)
    }

    /// Version of an object; `None` if it is not in the snapshot.
    #[must_use]
    pub fn version(&self, key: &object::Key) -> Option<u64> {
        self.versions.get(key).copied()
    }

    /// Keys and versions of all objects, in unspecified order.
    pub fn versions(&self) -> impl Iterator<Item = (&object::Key, u64)> {
        self.versions.iter().map(|(key, version)| (key, *version))
    }

    /// The value of an object, for a peer that requests it; `None` if it is not in the snapshot.
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
                let block = block.map(|b| b.organisations(&self.service_names).collect());
                object::Value::Organisations(block.unwrap_or_default())
            }
            object::Key::Routing => object::Value::Routing(Box::new(self.routing.as_ref().clone())),
            object::Key::Registration(server) => {
                let registration = self.registry.get(server);
                object::Value::Registration(registration.map(|r| Box::new(r.as_ref().clone())))
            }
        })
    }

    /// The snapshot with an object updated; `None` if `version` is not newer than the current one or
    /// the value does not match the kind of the key.
    #[must_use]
    pub fn with_object(
        &self,
        key: &object::Key,
        version: u64,
        value: object::Value,
    ) -> Option<Self> {
        let mut next = self.clone();
        next.apply(key, version, value).then_some(next)
    }

    /// Updates an object. Returns false, without effect, if `version` is not newer than the current
    /// one or the value does not match the kind of the key.
    ///
    /// Parts shared with other snapshots are copied once per clone, so many objects are best applied
    /// to a single clone.
    pub fn apply(&mut self, key: &object::Key, version: u64, value: object::Value) -> bool {
        if self.version(key).is_some_and(|current| current >= version) {
            return false;
        }
        match (key, value) {
            // Parsing rejects such keys, and an index above 16 bits does not fit into an
            // `index::Location`.
            (object::Key::Organisations(block), _) if *block >= object::BLOCKS => return false,
            (object::Key::Zones, object::Value::Zones(zones)) => self.zones = Arc::new(zones),
            (object::Key::Service(name), object::Value::Service(service)) => {
                self.set_service(name, service);
            }
            (object::Key::Organisations(block), object::Value::Organisations(organisations)) => {
                self.set_block(*block, &organisations);
            }
            (object::Key::Routing, object::Value::Routing(routing)) => self.set_routing(*routing),
            (object::Key::Registration(server), object::Value::Registration(registration)) => {
                let registration = registration.map(|r| Arc::new(*r));
                for service in Arc::make_mut(&mut self.registry).update(server, registration) {
                    self.rebuild_registered_service(&service);
                }
            }
            _ => return false,
        }
        Arc::make_mut(&mut self.versions).insert(key.clone(), version);
        true
    }

    fn set_service(&mut self, name: &id::Service, service: Option<Box<service::Service>>) {
        let service = service.map(|service| self.compact(service));
        let services = Arc::make_mut(&mut self.services);
        match service {
            Some(service) => services.insert(name.clone(), service),
            None => services.remove(name),
        };
    }

    /// Releases the spare capacity left by decoding a service, and interns its data centres.
    fn compact(&mut self, mut service: Box<service::Service>) -> Arc<service::Service> {
        let data_centres = service.servers.iter().map(|server| &server.data_centre);
        interner::Interner::intern_all(&mut self.data_centres, data_centres);
        for server in &mut service.servers {
            if let Some(interned) = self.data_centres.interned(&server.data_centre) {
                server.data_centre = interned.clone();
            }
        }
        service.servers.shrink_to_fit();
        service.routes.shrink_to_fit();
        for route in &mut service.routes {
            route.methods.shrink_to_fit();
        }
        Arc::from(service)
    }

    fn set_routing(&mut self, routing: routing::Routing) {
        let old = std::mem::replace(&mut self.routing, Arc::new(routing));
        self.route_table = Arc::new(routing::Table::new(&self.routing));
        self.access_index = Arc::new(routing::access::Index::new(&self.routing.access));
        let names = old.services.iter().chain(&self.routing.services);
        let names: std::collections::BTreeSet<_> = names.map(|s| s.name.clone()).collect();
        for name in names {
            self.rebuild_registered_service(&name);
        }
    }

    /// Builds a service from the routing and the servers registered for it.
    fn rebuild_registered_service(&mut self, name: &id::Service) {
        let routed = self.routing.services.iter().find(|s| s.name == *name);
        let service = routed.map(|routed| Arc::new(self.registry.build_service(routed)));
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

    fn set_block(&mut self, block: u32, organisations: &[organisation::Organisation]) {
        let services = organisations.iter().flat_map(|o| &o.services);
        interner::Interner::intern_all(&mut self.service_names, services);
        let new = Arc::new(block::Block::new(organisations, &self.service_names));
        let index = u16::try_from(block).unwrap_or(u16::MAX);
        let entries = new.entries(index);
        let old = self.blocks.insert(block, new);
        let old = old.map(|old| old.entries(index)).unwrap_or_default();
        self.key_index.replace(index, old, entries);
    }
}
