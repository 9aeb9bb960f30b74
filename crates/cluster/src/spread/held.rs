//! The local replica of the configuration.

use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use monsooncart_config::{object, snapshot};
use monsooncart_policy::rank;
use monsooncart_types::map;
use monsooncart_wire::configuration;
use tokio::sync::{Notify, watch};

use super::{source, staging};

/// Number of hash buckets of a digest; for each one that differs, the peer sends the keys and
/// versions of its objects.
pub const BUCKETS: usize = 64;

/// Maximum estimated size of the objects in a reply.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// Maximum number of announced objects that have not arrived yet.
const MAX_ANNOUNCED: usize = 4096;

/// Time after which an announced object that no peer has sent is no longer requested.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(30);

/// A configuration object.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Key of the object.
    pub key: object::Key,
    /// Version of the value.
    pub version: u64,
    /// Value at this version.
    pub value: object::Value,
}

/// A snapshot with its digest.
struct State {
    snapshot: Arc<snapshot::Snapshot>,
    digest: Vec<u64>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            snapshot: Arc::default(),
            digest: vec![0; BUCKETS],
        }
    }
}

/// A complete listing of the platform's objects under a prefix.
struct Listing {
    prefix: &'static str,
    revision: u64,
    listed_at: Instant,
}

/// An announced version of an object that is not stored yet.
struct Announcement {
    version: u64,
    received_at: Instant,
    /// Peer listener of a daemon that stores this version.
    holder: net::SocketAddr,
}

/// A replica of the configuration, with a digest for reconciliation.
///
/// The `writer` lock serialises writers; readers load the state without a lock.
#[derive(Default)]
pub struct Replica {
    state: ArcSwap<State>,
    writer: Mutex<()>,
    changes: watch::Sender<u64>,
    announced: Mutex<map::Map<object::Key, Announcement>>,
    /// Latest listing of each prefix.
    listings: Mutex<Vec<Listing>>,
    pub(crate) announcement_received: Notify,
    /// Parts of the routing.
    pub(crate) staging: staging::Staging,
}

fn bucket(key: &str) -> usize {
    (rank::hash(key.as_bytes()) % BUCKETS as u64) as usize
}

/// Hash of an object's key and version.
fn hash(key: &str, version: u64) -> u64 {
    rank::hash(key.as_bytes()) ^ rank::hash(&version.to_be_bytes()).rotate_left(1)
}

impl Replica {
    /// The current configuration.
    #[must_use]
    pub fn snapshot(&self) -> Arc<snapshot::Snapshot> {
        self.state.load().snapshot.clone()
    }

    /// Whether no object is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.state.load().snapshot.versions().next().is_none()
    }

    /// Subscribes to changes of the configuration.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Stores the objects that are newer than the stored ones, as one change. Returns the keys and
    /// versions of those it stored.
    pub fn merge(&self, objects: Vec<Object>) -> Vec<(object::Key, u64)> {
        let writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.state.load();
        let mut digest = state.digest.clone();
        let mut next = None;
        let mut merged = Vec::new();
        for Object {
            key,
            version,
            value,
        } in objects
        {
            let current = next.as_ref().unwrap_or(state.snapshot.as_ref());
            let previous = current.version(&key);
            if previous.is_some_and(|previous| previous >= version) {
                continue;
            }
            let next = next.get_or_insert_with(|| state.snapshot.as_ref().clone());
            if !next.apply(&key, version, value) {
                continue;
            }
            let text = key.to_string();
            let bucket = &mut digest[bucket(&text)];
            *bucket ^= previous.map_or(0, |previous| hash(&text, previous));
            *bucket ^= hash(&text, version);
            merged.push((key, version));
        }
        if let Some(next) = next {
            let snapshot = Arc::new(next);
            self.state.store(Arc::new(State { snapshot, digest }));
        }
        drop(writer);
        self.notify_subscribers(&merged);
        merged
    }

    /// Records that the objects under `prefix` were listed completely at `revision` and stored.
    pub fn record_listing(&self, prefix: &'static str, revision: u64) {
        let mut listings = self.lock_listings();
        listings.retain(|listing| listing.prefix != prefix);
        listings.push(Listing {
            prefix,
            revision,
            listed_at: Instant::now(),
        });
    }

    fn lock_listings(&self) -> MutexGuard<'_, Vec<Listing>> {
        self.listings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores the newer objects among those that a peer sent, like [`Replica::merge`].
    ///
    /// An object that is older than this daemon's own listing and was not in it has been removed.
    /// It is not stored, as the peer may not know of the removal. Objects that expired in an outage
    /// may reappear within `retention`, so until then it is only left out; afterwards its removal is
    /// stored in its place, and so reaches the peer.
    pub fn merge_from_peer(
        &self,
        objects: Vec<Object>,
        source: &dyn source::Source,
        retention: Duration,
    ) -> Vec<(object::Key, u64)> {
        let snapshot = self.snapshot();
        let listings = self.lock_listings();
        let judge = |object: Object| {
            if object.key == object::Key::Routing {
                // It is never removed, and its versions are the operators'.
                return Some(object);
            }
            let covers = |l: &&Listing| {
                l.revision > object.version && source.key(l.prefix, &object.key).is_some()
            };
            let is_unknown = snapshot.version(&object.key).is_none();
            let listing = listings.iter().find(covers).filter(|_| is_unknown);
            let Some(listing) = listing else {
                return Some(object);
            };
            if listing.listed_at.elapsed() < retention {
                return None;
            }
            log::info!(object:% = object.key, version = object.version, listed = listing.revision; "config: peer has an object that the platform has removed; storing its removal");
            Some(Object {
                value: object.key.empty_value(),
                version: listing.revision,
                key: object.key,
            })
        };
        let objects = objects.into_iter().filter_map(judge).collect();
        drop(listings);
        self.merge(objects)
    }

    fn notify_subscribers(&self, merged: &[(object::Key, u64)]) {
        if merged.is_empty() {
            return;
        }
        for (key, version) in merged {
            log::debug!(object:% = key, version; "config: stored newer version of object");
        }
        log::info!(objects = merged.len(); "config: stored newer objects");
        self.changes.send_modify(|number| *number += 1);
    }

    fn lock_announced(&self) -> MutexGuard<'_, map::Map<object::Key, Announcement>> {
        self.announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a daemon announced a version of an object.
    pub(crate) fn record_announcement(
        &self,
        key: &object::Key,
        version: u64,
        holder: net::SocketAddr,
    ) {
        let current = self.snapshot().version(key);
        if current.is_some_and(|current| current >= version) {
            return;
        }
        if *key == object::Key::Routing {
            self.staging.want(staging::Wanted { version, holder });
            return;
        }
        let mut announced = self.lock_announced();
        if announced.len() >= MAX_ANNOUNCED && !announced.contains_key(key) {
            return;
        }
        let received_at = Instant::now();
        let announcement = announced.entry(key.clone());
        let announcement = announcement.or_insert(Announcement {
            version,
            received_at,
            holder,
        });
        if version > announcement.version {
            announcement.version = version;
            announcement.holder = holder;
        }
        drop(announced);
        self.announcement_received.notify_one();
    }

    /// The version of the routing to fetch; `None` if none is newer than the stored one.
    pub(crate) fn wanted_routing(&self) -> Option<staging::Wanted> {
        let stored = self.snapshot().version(&object::Key::Routing);
        self.staging.wanted(stored.unwrap_or(0))
    }

    /// The announced objects whose announced version is not stored, with their stored versions.
    /// Discards announcements whose version is stored or that have expired.
    pub(crate) fn missing_objects(&self) -> Vec<configuration::ObjectVersion> {
        let snapshot = self.snapshot();
        let mut announced = self.lock_announced();
        announced.retain(|key, announcement| {
            let missing = snapshot
                .version(key)
                .is_none_or(|stored| stored < announcement.version);
            missing && announcement.received_at.elapsed() < ANNOUNCEMENT_LIFETIME
        });
        let stored = |key: &object::Key| configuration::ObjectVersion {
            key: key.clone(),
            version: snapshot.version(key).unwrap_or(0),
        };
        announced.keys().map(stored).collect()
    }

    /// Peer listeners of daemons that store announced objects.
    pub(crate) fn holders(&self) -> Vec<net::SocketAddr> {
        let announced = self.lock_announced();
        announced.values().map(|a| a.holder).collect()
    }

    /// Hash of the keys and versions in each bucket.
    #[must_use]
    pub fn digest(&self) -> Vec<u64> {
        self.state.load().digest.clone()
    }

    /// Keys and versions of the stored objects in the buckets that differ from `digest`.
    #[must_use]
    pub fn difference(&self, digest: &[u64]) -> Vec<configuration::ObjectVersion> {
        let state = self.state.load();
        if state.digest == digest {
            return Vec::new();
        }
        let differs = |key: &object::Key| {
            let bucket = bucket(&key.to_string());
            digest.get(bucket) != state.digest.get(bucket)
        };
        let versions = state.snapshot.versions();
        let versions = versions.filter(|(key, _)| differs(key));
        let versions = versions.map(|(key, version)| configuration::ObjectVersion {
            key: key.clone(),
            version,
        });
        versions.collect()
    }

    /// The requested objects of which a newer version is stored.
    #[must_use]
    pub fn newer_objects(&self, pull: &configuration::Pull) -> configuration::Objects {
        let snapshot = self.snapshot();
        let mut objects = Vec::new();
        let mut size_bytes = 0;
        for requested in &pull.versions {
            let version = snapshot.version(&requested.key);
            let Some(version) = version.filter(|stored| *stored > requested.version) else {
                continue;
            };
            if size_bytes > MAX_REPLY_BYTES {
                let more = true;
                return configuration::Objects { objects, more };
            }
            let Some(value) = snapshot.value(&requested.key) else {
                continue;
            };
            size_bytes += estimate_bytes(&value);
            objects.push(configuration::Object {
                key: requested.key.clone(),
                version,
                value,
            });
        }
        configuration::Objects {
            objects,
            more: false,
        }
    }
}

/// Approximate size of an encoded server, route, organisation or zone.
const ITEM_BYTES: usize = 256;

/// Approximate size of an encoded object.
fn estimate_bytes(value: &object::Value) -> usize {
    let items = match value {
        object::Value::Zones(zones) => zones.len(),
        object::Value::Service(None) => 0,
        object::Value::Service(Some(service)) => service.servers.len() + service.routes.len(),
        object::Value::Organisations(organisations) => organisations.len(),
        object::Value::Routing(routing) => routing.routes.len() + routing.services.len(),
        object::Value::Registration(registration) => usize::from(registration.is_some()),
    };
    (1 + items) * ITEM_BYTES
}
