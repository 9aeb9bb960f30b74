//! Removals of objects that are missing after an outage of the platform.
//!
//! Objects that expired in the outage reappear soon after, so their removal is deferred. What looks like
//! an outage to a daemon may be a partition of this daemon alone, in which servers leave as at any other
//! time and must get no further requests. So a few missing servers of a service are removed at once:
//! callers can do without them until they reappear, should they do so. After a restoration of the
//! platform from a backup, only servers that had said that they leave are.

use std::time::{Duration, Instant};

use monsooncart_config::{object, registration, snapshot};
use monsooncart_types::{id, map};

use super::held;

/// Minimum share of a service's servers that stay in use while others may reappear: the share of sound
/// servers that the users' platform wants in use.
const MIN_LEFT_SHARE: f64 = 0.7;

/// The latest outage of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Time of the first answer after it.
    pub ended_at: Instant,
    /// Whether the platform was restored from a backup, in which recent objects are missing.
    pub restored: bool,
}

/// A removal that takes effect only if the object does not reappear before `due_at`.
#[derive(Debug)]
struct Deferred {
    due_at: Instant,
    object: held::Object,
}

/// Decides which removals are deferred, and keeps them.
#[derive(Debug)]
pub struct Removals {
    /// Time after an outage in which objects reappear.
    delay: Duration,
    deferred: map::Map<object::Key, Deferred>,
    /// Largest number of servers of each service since the latest outage, without those that leave.
    /// Other watchers remove servers as well.
    largest: map::Map<id::Service, usize>,
}

/// The server that an object registers.
fn registered<'a>(
    snapshot: &'a snapshot::Snapshot,
    key: &object::Key,
) -> Option<&'a registration::Registration> {
    match key {
        object::Key::Registration(server) => snapshot.registration(server),
        _ => None,
    }
}

/// Number of servers of a service that have not said that they leave.
fn count_serving(snapshot: &snapshot::Snapshot, service: &id::Service) -> usize {
    let servers = snapshot.registrations(service);
    servers.filter(|server| !server.leaving).count()
}

impl Removals {
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            deferred: map::Map::default(),
            largest: map::Map::default(),
        }
    }

    /// Keeps those of `removals` that are deferred after `outage`, and returns the others. `snapshot`
    /// is the configuration before them.
    pub fn defer(
        &mut self,
        now: Instant,
        outage: Option<Outage>,
        snapshot: &snapshot::Snapshot,
        removals: Vec<held::Object>,
    ) -> Vec<held::Object> {
        let Some(outage) = outage.filter(|outage| outage.ended_at + self.delay > now) else {
            self.largest.clear();
            return removals;
        };
        self.count_servers(snapshot);
        if removals.is_empty() {
            return removals;
        }
        let mut immediate = Vec::new();
        let mut missing = self.missing_servers(snapshot);
        for removal in &removals {
            if let Some(server) = registered(snapshot, &removal.key).filter(|s| !s.leaving) {
                let keys = missing.entry(server.service.clone()).or_default();
                keys.insert(removal.key.clone());
            }
        }
        let services = missing.iter();
        let dispensable: map::Set<id::Service> = services
            .filter(|(service, keys)| self.are_few(snapshot, service, keys.len()))
            .map(|(service, _)| service.clone())
            .collect();
        for removal in removals {
            let server = registered(snapshot, &removal.key);
            let takes_effect = match server {
                Some(server) if server.leaving => true,
                Some(server) => !outage.restored && dispensable.contains(&server.service),
                // Nothing uses a server that was removed before.
                None => !outage.restored && matches!(removal.key, object::Key::Registration(_)),
            };
            if !takes_effect {
                self.push(outage.ended_at + self.delay, removal);
                continue;
            }
            if server.is_some_and(|server| !server.leaving) {
                log::info!(object:% = removal.key, version = removal.version; "config: one of few servers that are missing after an outage; removing it");
            }
            immediate.push(removal);
        }
        immediate
    }

    /// Keys of the servers whose removal is deferred, by service.
    fn missing_servers(
        &self,
        snapshot: &snapshot::Snapshot,
    ) -> map::Map<id::Service, map::Set<object::Key>> {
        let mut missing = map::Map::<_, map::Set<_>>::default();
        for Deferred { object, .. } in self.deferred.values() {
            let reappeared = snapshot.version(&object.key) >= Some(object.version);
            if let Some(server) = registered(snapshot, &object.key).filter(|_| !reappeared) {
                let keys = missing.entry(server.service.clone()).or_default();
                keys.insert(object.key.clone());
            }
        }
        missing
    }

    /// Records how many servers each service has.
    fn count_servers(&mut self, snapshot: &snapshot::Snapshot) {
        for service in snapshot.registered_services() {
            let largest = self.largest.entry(service.clone()).or_default();
            *largest = (*largest).max(count_serving(snapshot, service));
        }
    }

    /// Whether callers can do without `missing` servers of a service and those already removed.
    fn are_few(
        &self,
        snapshot: &snapshot::Snapshot,
        service: &id::Service,
        missing: usize,
    ) -> bool {
        let largest = self.largest.get(service).copied().unwrap_or_default();
        let left = count_serving(snapshot, service).saturating_sub(missing);
        left as f64 >= largest as f64 * MIN_LEFT_SHARE
    }

    /// Defers a removal; of two removals of an object, the earlier time and the later version hold.
    fn push(&mut self, due_at: Instant, object: held::Object) {
        if let Some(deferred) = self.deferred.get_mut(&object.key) {
            if deferred.object.version < object.version {
                deferred.object = object;
            }
            return;
        }
        log::info!(object:% = object.key, version = object.version; "config: object is missing after an outage; deferring its removal");
        let key = object.key.clone();
        self.deferred.insert(key, Deferred { due_at, object });
    }

    /// Takes the deferred removals that are due. They have no effect on objects that reappeared, as
    /// these have newer versions.
    pub fn take_due(&mut self, now: Instant) -> Vec<held::Object> {
        let due = self.deferred.extract_if(|_, d| d.due_at <= now);
        due.map(|(_, deferred)| deferred.object).collect()
    }

    /// Time at which the next deferred removal is due.
    pub fn next_due_at(&self) -> Option<Instant> {
        self.deferred.values().map(|deferred| deferred.due_at).min()
    }
}
