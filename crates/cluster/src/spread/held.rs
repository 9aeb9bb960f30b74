//! The configuration that a daemon holds.

use std::net;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use monsooncart_config::{object, snapshot};
use monsooncart_policy::rank;
use monsooncart_types::map;
use monsooncart_wire::configuration;
use tokio::sync::{Notify, watch};

/// Parts of a digest: a difference costs the names of one part.
pub const PARTS: usize = 64;

/// Objects in one reply, by their estimated bytes, at most.
const REPLY: usize = 1 << 20;

/// Announced objects waited for at a time, at most.
const WANTED: usize = 4096;

/// Time after which an announced object that no peer has given is no longer asked for.
const WANTED_LIFETIME: Duration = Duration::from_secs(30);

/// A configuration object to be taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Names it.
    pub key: object::Key,
    /// Its version.
    pub version: u64,
    /// Its value.
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
            digest: vec![0; PARTS],
        }
    }
}

/// An object that was announced and is not held yet.
struct Wanted {
    version: u64,
    since: Instant,
    /// Peer listener of a daemon that holds it.
    holder: net::SocketAddr,
}

/// The configuration held, with the means to compare it.
///
/// Writers take turns under `writer`; readers load the state without a lock.
#[derive(Default)]
pub struct Held {
    state: ArcSwap<State>,
    writer: Mutex<()>,
    changes: watch::Sender<u64>,
    wanted: Mutex<map::Map<object::Key, Wanted>>,
    pub(crate) news: Notify,
}

fn part(key: &str) -> usize {
    (rank::hash(key.as_bytes()) % PARTS as u64) as usize
}

/// Hash of an object's key and version.
fn hash(key: &str, version: u64) -> u64 {
    rank::hash(key.as_bytes()) ^ rank::hash(&version.to_be_bytes()).rotate_left(1)
}

impl Held {
    /// The configuration as it is now.
    #[must_use]
    pub fn snapshot(&self) -> Arc<snapshot::Snapshot> {
        self.state.load().snapshot.clone()
    }

    /// Whether no object is held yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.state.load().snapshot.versions().next().is_none()
    }

    /// Tells when the configuration has changed.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Takes the objects that are newer than the ones held, as one change; gives the keys and
    /// versions of those taken.
    pub fn take_all(&self, objects: Vec<Object>) -> Vec<(object::Key, u64)> {
        let writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let state = self.state.load();
        let mut digest = state.digest.clone();
        let mut next = None;
        let mut taken = Vec::new();
        for Object {
            key,
            version,
            value,
        } in objects
        {
            let held = next.as_ref().unwrap_or(state.snapshot.as_ref());
            let earlier = held.version(&key);
            if earlier.is_some_and(|earlier| earlier >= version) {
                continue;
            }
            let next = next.get_or_insert_with(|| state.snapshot.as_ref().clone());
            if !next.take(&key, version, value) {
                continue;
            }
            let text = key.to_string();
            let part = &mut digest[part(&text)];
            *part ^= earlier.map_or(0, |earlier| hash(&text, earlier));
            *part ^= hash(&text, version);
            taken.push((key, version));
        }
        if let Some(next) = next {
            let snapshot = Arc::new(next);
            self.state.store(Arc::new(State { snapshot, digest }));
        }
        drop(writer);
        self.tell(&taken);
        taken
    }

    fn tell(&self, taken: &[(object::Key, u64)]) {
        if taken.is_empty() {
            return;
        }
        for (key, version) in taken {
            log::debug!(object:% = key, version; "config: took object");
        }
        log::info!(objects = taken.len(); "config: took newer objects");
        self.changes.send_modify(|number| *number += 1);
    }

    fn lock_wanted(&self) -> MutexGuard<'_, map::Map<object::Key, Wanted>> {
        self.wanted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hears that an object has a version.
    pub(crate) fn announced(&self, key: &object::Key, version: u64, holder: net::SocketAddr) {
        let held = self.snapshot().version(key);
        if held.is_some_and(|held| held >= version) {
            return;
        }
        let mut wanted = self.lock_wanted();
        if wanted.len() >= WANTED && !wanted.contains_key(key) {
            return;
        }
        let since = Instant::now();
        let newest = wanted.entry(key.clone());
        let newest = newest.or_insert(Wanted {
            version,
            since,
            holder,
        });
        if version > newest.version {
            newest.version = version;
            newest.holder = holder;
        }
        drop(wanted);
        self.news.notify_one();
    }

    /// The objects that were announced and are not held yet, with the versions held.
    pub(crate) fn wanted(&self) -> Vec<configuration::Held> {
        let snapshot = self.snapshot();
        let mut wanted = self.lock_wanted();
        wanted.retain(|key, wanted| {
            let missing = snapshot
                .version(key)
                .is_none_or(|held| held < wanted.version);
            missing && wanted.since.elapsed() < WANTED_LIFETIME
        });
        let held = |key: &object::Key| configuration::Held {
            key: key.clone(),
            version: snapshot.version(key).unwrap_or(0),
        };
        wanted.keys().map(held).collect()
    }

    /// Peer listeners of daemons that hold objects which are wanted here.
    pub(crate) fn holders(&self) -> Vec<net::SocketAddr> {
        let wanted = self.lock_wanted();
        wanted.values().map(|wanted| wanted.holder).collect()
    }

    /// The hash of the keys and versions of each part.
    #[must_use]
    pub fn digest(&self) -> Vec<u64> {
        self.state.load().digest.clone()
    }

    /// What is held in the parts that differ from `digest`.
    #[must_use]
    pub fn difference(&self, digest: &[u64]) -> Vec<configuration::Held> {
        let state = self.state.load();
        if state.digest == digest {
            return Vec::new();
        }
        let differs = |key: &object::Key| {
            let part = part(&key.to_string());
            digest.get(part) != state.digest.get(part)
        };
        let versions = state.snapshot.versions();
        let versions = versions.filter(|(key, _)| differs(key));
        let held = versions.map(|(key, version)| configuration::Held {
            key: key.clone(),
            version,
        });
        held.collect()
    }

    /// The objects asked for of which a newer version is held.
    #[must_use]
    pub fn newer(&self, pull: &configuration::Pull) -> configuration::Objects {
        let snapshot = self.snapshot();
        let mut objects = Vec::new();
        let mut size = 0;
        for asked in &pull.held {
            let version = snapshot.version(&asked.key);
            let Some(version) = version.filter(|held| *held > asked.version) else {
                continue;
            };
            if size > REPLY {
                let more = true;
                return configuration::Objects { objects, more };
            }
            let Some(value) = snapshot.value(&asked.key) else {
                continue;
            };
            size += estimate(&value);
            objects.push(configuration::Object {
                key: asked.key.clone(),
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

/// Bytes of an encoded server, route, organisation or zone, roughly.
const ITEM: usize = 256;

/// Bytes of an encoded object, roughly.
fn estimate(value: &object::Value) -> usize {
    let items = match value {
        object::Value::Zones(zones) => zones.len(),
        object::Value::Service(None) => 0,
        object::Value::Service(Some(service)) => service.servers.len() + service.routes.len(),
        object::Value::Organisations(organisations) => organisations.len(),
        object::Value::Routing(routing) => routing.routes.len() + routing.services.len(),
        object::Value::Registration(registration) => usize::from(registration.is_some()),
    };
    (1 + items) * ITEM
}
