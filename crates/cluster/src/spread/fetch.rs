//! Fetches new versions of the routing in parts, along the distribution tree of the region.

use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::FutureExt as _;
use futures_util::stream::{FuturesUnordered, StreamExt as _};
use monsooncart_config::object;
use monsooncart_config::routing::part;
use monsooncart_policy::rollout::{transfer, tree};
use monsooncart_types::time;
use monsooncart_wire::configuration;
use rand::seq::IndexedRandom as _;

use super::{held, staging};
use crate::shared;

/// Timeout of a request for parts: the time for which a source waits for parts and for bandwidth,
/// and the transmission of the reply.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of random members that are tried after those of the distribution tree.
const RANDOM_SOURCES: usize = 2;

type Transfer = transfer::Transfer<net::SocketAddr, part::Digest>;

/// Fetches wanted versions until the engine stops.
pub(crate) async fn run(shared: Arc<shared::Shared>) {
    let mut changes = shared.replica.staging.wanted_changes();
    loop {
        changes.borrow_and_update();
        while let Some(wanted) = shared.replica.wanted_routing() {
            fetch(&shared, wanted).await;
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Fetches a version, until it is stored, a later one is wanted or no source supplies it.
async fn fetch(shared: &Arc<shared::Shared>, wanted: staging::Wanted) {
    let started_at = Instant::now();
    let version = wanted.version;
    let mut transfer = Transfer::new(shared.now(), version, sources(shared, wanted));
    let mut lists = FuturesUnordered::new();
    while shared.replica.wanted_routing() == Some(wanted) {
        match transfer.next_step(shared.now()) {
            transfer::Step::RequestList { source } => {
                transfer.record_list_request(shared.now());
                lists.push(request(shared, wanted, source, None).map(move |reply| (source, reply)));
            }
            transfer::Step::RequestParts { source, parts } => {
                lists.clear();
                let reply = request(shared, wanted, source, Some(parts)).await;
                let progressed =
                    reply.is_some_and(|reply| record_reply(shared, &mut transfer, source, reply));
                transfer.record_reply(shared.now(), progressed);
            }
            transfer::Step::Wait(until) => tokio::select! {
                Some((source, reply)) = lists.next(), if !lists.is_empty() => {
                    let progressed =
                        reply.is_some_and(|r| record_reply(shared, &mut transfer, source, r));
                    if !progressed {
                        transfer.record_list_failure(shared.now());
                    }
                }
                () = sleep_until(shared, until) => {}
            },
            transfer::Step::Complete => {
                store(shared, version, started_at);
                return;
            }
            transfer::Step::GiveUp => {
                log::warn!(version, sources = sources(shared, wanted).len(); "config: no peer supplies the routing; giving up until it is announced again");
                shared.replica.staging.abandon(version);
                return;
            }
        }
    }
}

async fn sleep_until(shared: &shared::Shared, until: time::Time) {
    tokio::time::sleep(until.since(shared.now())).await;
}

/// The members to fetch a version from, in the order in which they are tried.
fn sources(shared: &shared::Shared, wanted: staging::Wanted) -> Vec<net::SocketAddr> {
    let local = &shared.local;
    let members = shared.members.load();
    let in_region = members.iter();
    let in_region: Vec<_> = in_region
        .filter(|m| m.region == local.region && m.is_eligible())
        .collect();
    let key = format!("routing@{}", wanted.version);
    let mut sources = match members.iter().find(|m| m.peers == wanted.holder) {
        Some(root) => {
            let path = tree::sources(key.as_bytes(), in_region.iter().copied(), root, local);
            path.into_iter().map(|m| m.peers).collect()
        }
        None => vec![wanted.holder],
    };
    let random = in_region.sample(&mut rand::rng(), RANDOM_SOURCES);
    for member in random {
        if !sources.contains(&member.peers) {
            sources.push(member.peers);
        }
    }
    sources.retain(|source| *source != local.peers);
    sources
}

/// Requests the list of the parts, or parts; `None` if the source does not reply.
async fn request(
    shared: &Arc<shared::Shared>,
    wanted: staging::Wanted,
    source: net::SocketAddr,
    parts: Option<Vec<part::Digest>>,
) -> Option<configuration::PartsReply> {
    let request = configuration::PartsRequest {
        version: wanted.version,
        holder: wanted.holder,
        parts,
    };
    let client = shared.client(source);
    match client.parts(request, REQUEST_TIMEOUT).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            log::info!(version = wanted.version, error:%; "config: request for parts of the routing failed; trying another peer");
            None
        }
    }
}

/// Records a reply; returns whether it brought the manifest or a missing part.
fn record_reply(
    shared: &shared::Shared,
    transfer: &mut Transfer,
    source: net::SocketAddr,
    reply: configuration::PartsReply,
) -> bool {
    let staging = &shared.replica.staging;
    let now = shared.now();
    let mut progressed = false;
    if let Some(manifest) = reply.manifest {
        if manifest.version > transfer.version() {
            staging.want(staging::Wanted {
                version: manifest.version,
                holder: source,
            });
        } else if manifest.version == transfer.version()
            && !transfer.has_list()
            && (1..=part::MAX_PARTS).contains(&manifest.manifest.parts.len())
        {
            let missing = staging.begin(&shared.replica.snapshot(), manifest);
            transfer.record_list(now, &source, missing);
            progressed = true;
        }
    }
    for content in reply.contents {
        shared::add(&shared.counters.part_bytes_received, content.len());
        let digest = part::Digest::of(&content);
        if transfer.record_part(now, &digest) {
            staging.add(digest, content);
            progressed = true;
        }
    }
    progressed
}

/// Stores a version of which all parts were collected.
fn store(shared: &shared::Shared, version: u64, started_at: Instant) {
    let staging = &shared.replica.staging;
    let Some(parts) = staging.collected(version) else {
        staging.abandon(version);
        return;
    };
    match parts.join() {
        Ok(routing) => {
            let elapsed_millis = started_at.elapsed().as_millis();
            log::info!(version, parts = parts.manifest().parts.len(), routes = routing.routes.len(), elapsed_millis; "config: fetched routing from peers");
            shared.replica.merge(vec![held::Object {
                key: object::Key::Routing,
                version,
                value: object::Value::Routing(Box::new(routing)),
            }]);
            staging.finish(version, parts);
        }
        Err(error) => {
            log::error!(version, error:%; "config: fetched routing could not be assembled; keeping the current version");
            staging.abandon(version);
        }
    }
}
