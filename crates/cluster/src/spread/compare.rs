//! Comparing the configuration held with peers, and pulling what is newer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future;
use monsooncart_policy::membership::member;
use monsooncart_policy::rank;
use monsooncart_wire::configuration;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::{held, watch};
use crate::{call, client, shared};

/// Time after which an announced object is asked for at one more peer; a call inside a region takes
/// a few milliseconds.
const NEXT_PEER: Duration = Duration::from_millis(300);

/// Peers that are asked for announced objects at a time, at most.
const PEERS: usize = 3;

/// Wait between calls while something newer is known or likely to be about.
const BUSY: Duration = Duration::from_millis(150);

/// Wait between comparisons while nothing is held.
const EMPTY: Duration = Duration::from_millis(500);

/// Comparisons at the short wait after one that found something newer.
const BUSY_ROUNDS: u32 = 4;

/// One comparison in so many goes to a member of any region.
const FAR: u32 = 8;

/// Objects asked for in one call, at most.
const PULL: usize = 4096;

/// Compares at intervals, and pulls what was announced, until the engine stops.
pub(crate) async fn run(shared: Arc<shared::Shared>) {
    let mut due = Instant::now();
    let mut busy = BUSY_ROUNDS;
    loop {
        let announced = shared.held.wanted();
        if !announced.is_empty() && fetch(&shared, announced).await {
            busy = BUSY_ROUNDS;
        }
        if Instant::now() < due {
            rest(&shared, due).await;
            continue;
        }
        // News goes first: a comparison may wait for a peer that does not answer.
        let found = tokio::select! {
            found = compare(&shared) => found,
            () = shared.held.news.notified() => true,
        };
        busy = if found {
            BUSY_ROUNDS
        } else {
            busy.saturating_sub(1)
        };
        due = Instant::now() + interval(&shared, busy);
    }
}

/// Time until the next comparison, spread so that daemons do not keep step.
fn interval(shared: &shared::Shared, busy: u32) -> Duration {
    if busy > 0 {
        return BUSY;
    }
    if shared.held.is_empty() {
        return EMPTY.min(shared.timings.compare);
    }
    let jitter = rand::rng().random_range(0.75..1.25);
    shared.timings.compare.mul_f64(jitter)
}

/// Waits for the next comparison; for news too, unless some is waiting already, whose next try
/// takes place after a short wait.
async fn rest(shared: &shared::Shared, due: Instant) {
    if !shared.held.wanted().is_empty() {
        tokio::time::sleep(BUSY).await;
        return;
    }
    let heard = shared.held.news.notified();
    let _ = tokio::time::timeout_at(due.into(), heard).await;
}

/// A live member other than this daemon, mostly of this region, and one that answers probes where
/// there is any. Those that may have to watch ask each other half of the time, so that they know
/// whether the watchers hear from the platform.
fn peer(shared: &shared::Shared) -> Option<member::Member> {
    let live = shared.members.load();
    let alive = live.iter().filter(|m| m.state == member::State::Alive);
    let alive: Vec<_> = alive.cloned().collect();
    let alone = alive.iter().all(|m| m.instance == shared.local.instance);
    let members = if alone { live.as_slice() } else { &alive };
    let rng = &mut rand::rng();
    let candidates = candidates(shared, members);
    if !candidates.is_empty() && rng.random() {
        return candidates.choose(rng).map(|m| (*m).clone());
    }
    let local = &shared.local;
    let far = rng.random_range(0..FAR) == 0;
    let others = members.iter().filter(|m| m.instance != local.instance);
    let near = |m: &&member::Member| far || m.region == local.region;
    let mut chosen: Vec<_> = others.clone().filter(near).collect();
    if chosen.is_empty() {
        chosen = others.collect();
    }
    chosen.choose(rng).map(|m| (*m).clone())
}

/// The other daemons of the region that may have to watch, where this one is among them.
fn candidates<'a>(
    shared: &shared::Shared,
    members: &'a [member::Member],
) -> Vec<&'a member::Member> {
    let local = &shared.local;
    let near = members.iter();
    let near = near.filter(|m| m.region == local.region && m.is_eligible());
    let mut top = rank::top(watch::WATCHERS, near, watch::COUNT_STALE);
    let all = top.len();
    top.retain(|m| m.instance != local.instance);
    if top.len() == all {
        top.clear();
    }
    top
}

/// The members that are asked for announced objects: those of this region that announced one
/// first, then others at random.
fn givers(shared: &shared::Shared) -> Vec<member::Member> {
    let holders = shared.held.holders();
    let members = shared.members.load();
    let near = members.iter().filter(|m| m.region == shared.local.region);
    let holding = near.filter(|m| holders.contains(&m.peers));
    let mut givers: Vec<_> = holding.take(1).cloned().collect();
    let others = (0..PEERS).filter_map(|_| peer(shared));
    for other in others {
        if givers.iter().all(|m| m.instance != other.instance) {
            givers.push(other);
        }
    }
    givers.truncate(PEERS);
    givers
}

/// Pulls announced objects from the first peer that gives any; says whether one did.
async fn fetch(shared: &Arc<shared::Shared>, wanted: Vec<configuration::Held>) -> bool {
    let givers = givers(shared).into_iter().zip(0..);
    let pulls = givers.map(|(giver, place)| {
        let wanted = wanted.clone();
        Box::pin(async move {
            tokio::time::sleep(NEXT_PEER * place).await;
            match pull(shared, &shared.client(&giver), wanted).await {
                Ok(true) => Ok(()),
                Ok(false) => Err(()),
                Err(error) => {
                    log::debug!(error:%; "config: announced object not pulled");
                    Err(())
                }
            }
        })
    });
    let pulls: Vec<_> = pulls.collect();
    !pulls.is_empty() && future::select_ok(pulls).await.is_ok()
}

/// Compares with a peer and pulls what is newer there; says whether something was.
async fn compare(shared: &Arc<shared::Shared>) -> bool {
    let Some(peer) = peer(shared) else {
        return false;
    };
    let compared = difference(shared, &peer).await;
    compared.unwrap_or_else(|error| {
        log::debug!(error:%; "config: comparison failed");
        false
    })
}

/// Each region has its watchers: what those of another hear says nothing of this one's, and is
/// neither told nor learned.
async fn difference(
    shared: &Arc<shared::Shared>,
    peer: &member::Member,
) -> Result<bool, call::Error> {
    let client = &shared.client(peer);
    let near = peer.region == shared.local.region;
    let request = configuration::Digest {
        parts: shared.held.digest(),
        age_millis: shared.fresh.age_millis().filter(|_| near),
    };
    let reply = client.digest(request, shared.timings.exchange).await?;
    shared.fresh.learn(reply.age_millis.filter(|_| near));
    let snapshot = shared.held.snapshot();
    let version = |held: &configuration::Held| snapshot.version(&held.key).unwrap_or(0);
    let newer = reply
        .held
        .into_iter()
        .filter(|held| held.version > version(held));
    let asked = newer.map(|held| configuration::Held {
        version: version(&held),
        ..held
    });
    let asked: Vec<_> = asked.collect();
    pull(shared, client, asked).await
}

/// Pulls the objects asked for that the peer holds newer; says whether any was taken.
async fn pull(
    shared: &Arc<shared::Shared>,
    client: &client::Client,
    mut asked: Vec<configuration::Held>,
) -> Result<bool, call::Error> {
    let mut taken = false;
    while !asked.is_empty() {
        let batch = asked.len().min(PULL);
        let held = asked[..batch].to_vec();
        let reply = client
            .pull(configuration::Pull { held }, shared.timings.exchange)
            .await?;
        let last = reply.objects.last().map(|o| o.key.clone());
        let objects = reply.objects.into_iter().map(|o| held::Object {
            key: o.key,
            version: o.version,
            value: o.value,
        });
        taken |= !shared.held.take_all(objects.collect()).is_empty();
        let done = match (reply.more, last) {
            (true, Some(last)) => asked
                .iter()
                .position(|h| h.key == last)
                .map_or(batch, |at| at + 1),
            _ => batch,
        };
        asked.drain(..done);
    }
    Ok(taken)
}
