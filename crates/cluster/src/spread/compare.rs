//! Anti-entropy reconciliation of the configuration with peers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future;
use monsooncart_config::object;
use monsooncart_policy::membership::member;
use monsooncart_policy::rollout::{comparison, watcher};
use monsooncart_wire::configuration;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::{held, watch};
use crate::{call, client, shared};

/// Delay before an announced object is requested from a further peer. A call within a region takes
/// a few milliseconds.
const HEDGE_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of peers that announced objects are requested from at a time.
const MAX_PULL_PEERS: usize = 3;

/// Interval between calls while newer objects are known or likely to exist.
const BUSY_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between reconciliations while the replica is empty.
const EMPTY_INTERVAL: Duration = Duration::from_millis(500);

/// Number of reconciliations at the busy interval after one that found newer objects.
const BUSY_ROUNDS: u32 = 4;

/// One reconciliation in this many may be with a member of another region.
const REMOTE_PEER_RATIO: u32 = 8;

/// Maximum number of objects requested in one call.
const MAX_PULL_OBJECTS: usize = 4096;

/// Reconciles periodically, and pulls announced objects, until the engine stops.
pub(crate) async fn run(shared: Arc<shared::Shared>) {
    let mut due_at = Instant::now();
    let mut busy_rounds = BUSY_ROUNDS;
    let mut was_answered = true;
    loop {
        let missing = shared.replica.missing_objects();
        if !missing.is_empty() && pull_announced(&shared, missing).await {
            busy_rounds = BUSY_ROUNDS;
        }
        if Instant::now() < due_at {
            wait(&shared, due_at).await;
            continue;
        }
        // An announcement takes precedence: a reconciliation may wait for a peer that does not
        // answer.
        let found = tokio::select! {
            found = reconcile(&shared) => found,
            () = shared.replica.announcement_received.notified() => Some(true),
        };
        busy_rounds = match found {
            Some(true) => BUSY_ROUNDS,
            // Whether there is anything newer is as unknown as before.
            None if was_answered => BUSY_ROUNDS,
            _ => busy_rounds.saturating_sub(1),
        };
        was_answered = found.is_some();
        due_at = Instant::now() + interval(&shared, busy_rounds);
    }
}

/// Time until the next reconciliation, with jitter so that daemons do not synchronise.
fn interval(shared: &shared::Shared, busy_rounds: u32) -> Duration {
    if busy_rounds > 0 {
        return BUSY_INTERVAL;
    }
    if shared.replica.is_empty() {
        return EMPTY_INTERVAL.min(shared.timings.reconciliation_interval);
    }
    let jitter = rand::rng().random_range(0.75..1.25);
    shared.timings.reconciliation_interval.mul_f64(jitter)
}

/// Waits until the next reconciliation is due or an announcement arrives. While announced objects
/// are missing, waits only for the busy interval, after which they are requested again.
async fn wait(shared: &shared::Shared, due_at: Instant) {
    if !shared.replica.missing_objects().is_empty() {
        tokio::time::sleep(BUSY_INTERVAL).await;
        return;
    }
    let announced = shared.replica.announcement_received.notified();
    let _ = tokio::time::timeout_at(due_at.into(), announced).await;
}

/// Chooses a random live member, mostly of this region; a suspected one only if no other member is
/// alive. Watcher candidates choose each other half of the time, so that they know whether the
/// watchers reach the platform.
fn choose_peer(shared: &shared::Shared) -> Option<member::Member> {
    choose_peers(shared, 1).pop()
}

/// Chooses up to `count` different members, the first one as [`choose_peer`] does.
fn choose_peers(shared: &shared::Shared, count: usize) -> Vec<member::Member> {
    let live = shared.members.load();
    let alive = live.iter().filter(|m| m.state == member::State::Alive);
    let alive: Vec<_> = alive.cloned().collect();
    let alone = alive.iter().all(|m| m.instance == shared.local.instance);
    let members = if alone { live.as_slice() } else { &alive };
    let rng = &mut rand::rng();
    let candidates = watcher_candidates(shared, members);
    let is_candidate_chosen = !candidates.is_empty() && rng.random();
    let first = candidates.choose(rng).filter(|_| is_candidate_chosen);
    let local = &shared.local;
    let any_region = rng.random_range(0..REMOTE_PEER_RATIO) == 0;
    let others = members.iter().filter(|m| m.instance != local.instance);
    let in_scope = |m: &&member::Member| any_region || m.region == local.region;
    let mut peers: Vec<_> = others.clone().filter(in_scope).collect();
    if peers.is_empty() {
        peers = others.collect();
    }
    let mut chosen: Vec<_> = first.copied().into_iter().collect();
    for peer in peers.sample(rng, count) {
        if chosen.len() < count && chosen.iter().all(|m| m.instance != peer.instance) {
            chosen.push(peer);
        }
    }
    chosen.into_iter().cloned().collect()
}

/// The other watcher candidates of the region; empty if this daemon is not a candidate itself.
fn watcher_candidates<'a>(
    shared: &shared::Shared,
    members: &'a [member::Member],
) -> Vec<&'a member::Member> {
    let local = &shared.local;
    let eligible = members.iter();
    let eligible = eligible.filter(|m| m.region == local.region && m.is_eligible());
    let mut candidates = watcher::select(watch::RANK_KEY, eligible, watcher::GROUP);
    let count = candidates.len();
    candidates.retain(|m| m.instance != local.instance);
    if candidates.len() == count {
        candidates.clear();
    }
    candidates
}

/// The peers that announced objects are requested from: first a member of this region that
/// announced one, then random peers.
fn pull_peers(shared: &shared::Shared) -> Vec<member::Member> {
    let holders = shared.replica.holders();
    let members = shared.members.load();
    let in_region = members.iter().filter(|m| m.region == shared.local.region);
    let announcers = in_region.filter(|m| holders.contains(&m.peers));
    let mut peers: Vec<_> = announcers.take(1).cloned().collect();
    let others = (0..MAX_PULL_PEERS).filter_map(|_| choose_peer(shared));
    for other in others {
        if peers.iter().all(|m| m.instance != other.instance) {
            peers.push(other);
        }
    }
    peers.truncate(MAX_PULL_PEERS);
    peers
}

/// Pulls announced objects from the first peer that sends any; returns whether one did.
async fn pull_announced(
    shared: &Arc<shared::Shared>,
    missing: Vec<configuration::ObjectVersion>,
) -> bool {
    let peers = pull_peers(shared).into_iter().zip(0..);
    let pulls = peers.map(|(peer, index)| {
        let missing = missing.clone();
        Box::pin(async move {
            tokio::time::sleep(HEDGE_DELAY * index).await;
            match pull(shared, &shared.client(&peer), missing).await {
                Ok(true) => Ok(()),
                Ok(false) => Err(()),
                Err(error) => {
                    log::debug!(error:%; "config: pull of announced objects failed");
                    Err(())
                }
            }
        })
    });
    let pulls: Vec<_> = pulls.collect();
    !pulls.is_empty() && future::select_ok(pulls).await.is_ok()
}

/// Reconciles with the first peer that responds; returns whether newer objects were pulled, `None` if no peer
/// has responded.
async fn reconcile(shared: &Arc<shared::Shared>) -> Option<bool> {
    let peers = choose_peers(shared, comparison::MAX_PEERS);
    let calls = peers.into_iter().zip(0..).map(|(peer, index)| {
        Box::pin(async move {
            tokio::time::sleep(comparison::ask_delay(index)).await;
            let reconciled = reconcile_with(shared, &peer).await;
            reconciled.inspect_err(|error| log::debug!(error:%; "config: reconciliation failed"))
        })
    });
    let calls: Vec<_> = calls.collect();
    if calls.is_empty() {
        return Some(false);
    }
    let reconciled = future::select_ok(calls).await;
    reconciled.ok().map(|(found, _)| found)
}

/// Compares digests with `peer` and pulls the objects that are newer there.
///
/// The age of the platform's latest answer is exchanged only within a region, as each region has
/// its own watchers.
async fn reconcile_with(
    shared: &Arc<shared::Shared>,
    peer: &member::Member,
) -> Result<bool, call::Error> {
    let client = &shared.client(peer);
    let same_region = peer.region == shared.local.region;
    let request = configuration::Digest {
        buckets: shared.replica.digest(),
        age_millis: shared.freshness.age_millis().filter(|_| same_region),
    };
    let reply = client
        .digest(request, shared.timings.exchange_timeout)
        .await?;
    shared
        .freshness
        .record_answer(reply.age_millis.filter(|_| same_region));
    let snapshot = shared.replica.snapshot();
    let stored = |object: &configuration::ObjectVersion| snapshot.version(&object.key).unwrap_or(0);
    let newer = reply
        .versions
        .into_iter()
        .filter(|object| object.version > stored(object));
    let (routing, newer): (Vec<_>, Vec<_>) =
        newer.partition(|object| object.key == object::Key::Routing);
    for object in routing {
        let replica = &shared.replica;
        replica.record_announcement(&object.key, object.version, peer.peers);
    }
    let requested = newer
        .into_iter()
        .map(|object| configuration::ObjectVersion {
            version: stored(&object),
            ..object
        });
    let requested: Vec<_> = requested.collect();
    pull(shared, client, requested).await
}

/// Pulls those of the requested objects that are newer at the peer; returns whether any was stored.
async fn pull(
    shared: &Arc<shared::Shared>,
    client: &client::Client,
    mut requested: Vec<configuration::ObjectVersion>,
) -> Result<bool, call::Error> {
    let mut any_stored = false;
    while !requested.is_empty() {
        let batch_len = requested.len().min(MAX_PULL_OBJECTS);
        let versions = requested[..batch_len].to_vec();
        let reply = client
            .pull(
                configuration::Pull { versions },
                shared.timings.exchange_timeout,
            )
            .await?;
        let last = reply.objects.last().map(|o| o.key.clone());
        let objects = reply.objects.into_iter().map(|o| held::Object {
            key: o.key,
            version: o.version,
            value: o.value,
        });
        any_stored |= !shared.merge_from_peer(objects.collect()).is_empty();
        let processed = match (reply.more, last) {
            (true, Some(last)) => requested
                .iter()
                .position(|o| o.key == last)
                .map_or(batch_len, |index| index + 1),
            _ => batch_len,
        };
        requested.drain(..processed);
    }
    Ok(any_stored)
}
