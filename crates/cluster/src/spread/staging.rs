//! Parts of the routing that this daemon can serve to others: those of the stored version, and those
//! of the version that is being fetched.

use std::net;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use monsooncart_config::routing::part;
use monsooncart_config::{object, snapshot};
use monsooncart_types::map;
use monsooncart_wire::configuration;
use tokio::sync::watch;

use crate::shared::lock;

/// Maximum size of the parts in a reply, unless a single part is larger.
const MAX_REPLY_BYTES: usize = 16 << 10;

/// A version of the routing that another daemon stores and this one does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Wanted {
    pub(crate) version: u64,
    /// Peer listener of the daemon.
    pub(crate) holder: net::SocketAddr,
}

#[derive(Default)]
struct State {
    wanted: Option<Wanted>,
    /// Manifest of the version that is being fetched.
    manifest: Option<configuration::Manifest>,
    /// Parts of that version.
    contents: map::Map<part::Digest, Bytes>,
    /// Parts of the stored version, split at the first request.
    stored: Option<(u64, Arc<part::Parts>)>,
}

/// Parts by digest, and the version to fetch.
#[derive(Default)]
pub(crate) struct Staging {
    state: Mutex<State>,
    arrivals: watch::Sender<u64>,
    wanted: watch::Sender<u64>,
}

impl State {
    /// Parts of the routing in `snapshot`, with its version.
    fn stored_parts(&mut self, snapshot: &snapshot::Snapshot) -> Option<(u64, Arc<part::Parts>)> {
        let version = snapshot.version(&object::Key::Routing)?;
        let routing = snapshot.routing()?;
        if self.stored.as_ref().is_none_or(|(v, _)| *v != version) {
            self.stored = Some((version, Arc::new(part::Parts::split(routing))));
        }
        self.stored.clone()
    }

    /// Contents of the parts that the stored routing has in common with a manifest.
    fn common_contents(
        &mut self,
        snapshot: &snapshot::Snapshot,
        manifest: &part::Manifest,
    ) -> map::Map<part::Digest, Bytes> {
        let count = manifest.parts.len();
        let stored = self.stored_parts(snapshot).map(|(_, parts)| parts);
        let parts = match (stored, snapshot.routing()) {
            (Some(stored), _) if stored.manifest().parts.len() == count => stored,
            (_, Some(routing)) => Arc::new(part::Parts::split_into(routing, count)),
            (_, None) => return map::Map::default(),
        };
        let common = manifest.parts.iter().filter_map(|digest| {
            let content = parts.content(digest)?;
            Some((*digest, content.clone()))
        });
        common.collect()
    }
}

impl Staging {
    /// Subscribes to arrivals of parts and manifests.
    pub(crate) fn arrivals(&self) -> watch::Receiver<u64> {
        self.arrivals.subscribe()
    }

    /// Subscribes to changes of the wanted version.
    pub(crate) fn wanted_changes(&self) -> watch::Receiver<u64> {
        self.wanted.subscribe()
    }

    /// Requests that a version be fetched, unless a later one is wanted already.
    pub(crate) fn want(&self, wanted: Wanted) {
        let mut state = lock(&self.state);
        if state.wanted.is_some_and(|w| w.version >= wanted.version) {
            return;
        }
        state.wanted = Some(wanted);
        drop(state);
        self.wanted.send_modify(|number| *number += 1);
    }

    /// The version to fetch, if it is later than the stored one.
    pub(crate) fn wanted(&self, stored_version: u64) -> Option<Wanted> {
        let wanted = lock(&self.state).wanted;
        wanted.filter(|wanted| wanted.version > stored_version)
    }

    /// Gives up a version, which can then be wanted again.
    pub(crate) fn abandon(&self, version: u64) {
        let mut state = lock(&self.state);
        if state.wanted.is_some_and(|w| w.version == version) {
            state.wanted = None;
        }
    }

    /// Starts to collect the parts of a version, and returns the missing ones. Parts of the stored
    /// version and of one that was being fetched are reused.
    pub(crate) fn begin(
        &self,
        snapshot: &snapshot::Snapshot,
        manifest: configuration::Manifest,
    ) -> Vec<part::Digest> {
        let mut state = lock(&self.state);
        let mut contents = state.common_contents(snapshot, &manifest.manifest);
        for digest in &manifest.manifest.parts {
            if let Some(content) = state.contents.remove(digest) {
                contents.insert(*digest, content);
            }
        }
        let digests = manifest.manifest.parts.iter();
        let missing = digests.filter(|digest| !contents.contains_key(*digest));
        let missing = missing.copied().collect();
        state.contents = contents;
        state.manifest = Some(manifest);
        drop(state);
        self.arrivals.send_modify(|number| *number += 1);
        missing
    }

    /// Adds the content of a part of the version that is being fetched.
    pub(crate) fn add(&self, digest: part::Digest, content: Bytes) {
        lock(&self.state).contents.insert(digest, content);
        self.arrivals.send_modify(|number| *number += 1);
    }

    /// The manifest and the parts that were collected for `version`.
    pub(crate) fn collected(&self, version: u64) -> Option<part::Parts> {
        let state = lock(&self.state);
        let manifest = state.manifest.as_ref().filter(|m| m.version == version)?;
        Some(part::Parts::new(
            manifest.manifest.clone(),
            state.contents.clone(),
        ))
    }

    /// Records that a fetched version is stored, and keeps its parts to serve them.
    pub(crate) fn finish(&self, version: u64, parts: part::Parts) {
        let mut state = lock(&self.state);
        state.manifest = None;
        state.contents = map::Map::default();
        state.stored = Some((version, Arc::new(parts)));
        drop(state);
        self.arrivals.send_modify(|number| *number += 1);
    }

    /// What this daemon has of a request.
    pub(crate) fn reply(
        &self,
        snapshot: &snapshot::Snapshot,
        request: &configuration::PartsRequest,
    ) -> configuration::PartsReply {
        let mut state = lock(&self.state);
        let stored = state.stored_parts(snapshot);
        let manifest = newest_manifest(&state, stored.as_ref());
        let manifest = manifest.filter(|m| {
            m.version > request.version || (m.version == request.version && request.parts.is_none())
        });
        let mut contents = Vec::new();
        let mut size_bytes = 0;
        for digest in request.parts.iter().flatten() {
            let stored = stored.as_ref().and_then(|(_, parts)| parts.content(digest));
            let Some(content) = state.contents.get(digest).or(stored) else {
                continue;
            };
            size_bytes += content.len();
            if size_bytes > MAX_REPLY_BYTES && !contents.is_empty() {
                break;
            }
            contents.push(content.clone());
        }
        configuration::PartsReply { manifest, contents }
    }
}

/// The manifest of the newest version of which parts can be served.
fn newest_manifest(
    state: &State,
    stored: Option<&(u64, Arc<part::Parts>)>,
) -> Option<configuration::Manifest> {
    let stored_version = stored.map_or(0, |(version, _)| *version);
    let fetched = state.manifest.as_ref();
    if let Some(fetched) = fetched.filter(|m| m.version > stored_version) {
        return Some(fetched.clone());
    }
    stored.map(|(version, parts)| configuration::Manifest {
        version: *version,
        manifest: parts.manifest().clone(),
    })
}
