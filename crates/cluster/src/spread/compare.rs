//! Comparing the configuration held with peers, and pulling what is newer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use monsooncart_policy::membership::member;
use monsooncart_policy::rank;
use monsooncart_wire::configuration;
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::{held, watch};
use crate::{call, client, shared};

/// Time for one call.
const TIMEOUT: Duration = Duration::from_secs(3);

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
        if Instant::now() >= due {
            let found = compare(&shared).await;
            busy = if found {
                BUSY_ROUNDS
            } else {
                busy.saturating_sub(1)
            };
            due = Instant::now() + interval(&shared, busy);
        }
        rest(&shared, due).await;
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

/// A live member other than this daemon, mostly of this region. Those that may have to watch ask
/// each other half of the time, so that they know whether the watchers hear from the platform.
fn peer(shared: &shared::Shared) -> Option<member::Member> {
    let members = shared.members.load();
    let rng = &mut rand::rng();
    let candidates = candidates(shared, &members);
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

/// A member of this region that announced an object which is wanted here.
fn holder(shared: &shared::Shared) -> Option<member::Member> {
    let holders = shared.held.holders();
    let members = shared.members.load();
    let near = members.iter().filter(|m| m.region == shared.local.region);
    let mut near = near.filter(|m| holders.contains(&m.peers));
    near.next().cloned()
}

/// Pulls announced objects from a peer; says whether it gave any.
async fn fetch(shared: &Arc<shared::Shared>, wanted: Vec<configuration::Held>) -> bool {
    let Some(peer) = holder(shared).or_else(|| peer(shared)) else {
        return false;
    };
    let pulled = pull(shared, &shared.client(&peer), wanted).await;
    pulled.unwrap_or_else(|error| {
        log::debug!(error:%; "config: announced object not pulled");
        false
    })
}

/// Compares with a peer and pulls what is newer there; says whether something was.
async fn compare(shared: &Arc<shared::Shared>) -> bool {
    let Some(peer) = peer(shared) else {
        return false;
    };
    let client = shared.client(&peer);
    let compared = difference(shared, &client).await;
    compared.unwrap_or_else(|error| {
        log::debug!(error:%; "config: comparison failed");
        false
    })
}

async fn difference(
    shared: &Arc<shared::Shared>,
    client: &client::Client,
) -> Result<bool, call::Error> {
    let request = configuration::Digest {
        parts: shared.held.digest(),
        age_millis: shared.fresh.age_millis(),
    };
    let reply = client.digest(request, TIMEOUT).await?;
    shared.fresh.learn(reply.age_millis);
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
        let reply = client.pull(configuration::Pull { held }, TIMEOUT).await?;
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
