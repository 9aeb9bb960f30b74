//! The planned stop's hand-over of claims, carried over calls.
//!
//! A table is sent in parts that fit a frame. The successor takes it once it has all parts; an
//! offer that is repeated sends all parts again.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use monsooncart_cluster::{call, client, scope};
use monsooncart_policy::claims::{handover, successor};
use monsooncart_policy::membership::member;
use monsooncart_policy::rank;
use monsooncart_types::{instance, map, time};
use monsooncart_wire::{claims as wire, news};

use crate::lock::lock;
use crate::{claims, core};

/// Bytes of one part.
const PART: usize = 256 << 10;

/// Parts of one table, at most.
const PARTS_MAX: u32 = 1024;

/// Longest wait for the answer to one part.
const PART_TIMEOUT: Duration = Duration::from_secs(2);

/// Offers to one successor before the stop goes on without an answer.
const OFFERS: u32 = 10;

/// Wait between two offers.
const BACKOFF: Duration = Duration::from_millis(200);

/// Parts of tables that are being handed over to here.
#[derive(Default)]
pub struct Inbox {
    parts: Mutex<map::Map<instance::Instance, Vec<Option<Bytes>>>>,
}

impl Inbox {
    /// Takes a part; gives the whole table with the last one.
    pub fn take(&self, request: wire::HandOver) -> Option<Bytes> {
        if request.parts == 0 || request.parts > PARTS_MAX || request.part >= request.parts {
            return None;
        }
        let count = request.parts as usize;
        let mut tables = lock(&self.parts);
        let parts = tables.entry(request.minter).or_default();
        if parts.len() != count {
            *parts = vec![None; count];
        }
        parts[request.part as usize] = Some(request.table);
        if parts.iter().any(Option::is_none) {
            return None;
        }
        let parts = tables.remove(&request.minter)?;
        let mut table = BytesMut::new();
        for part in parts.into_iter().flatten() {
            table.extend_from_slice(&part);
        }
        Some(table.freeze())
    }
}

/// Takes over a whole table.
pub fn accept(claims: &claims::Claims, now: time::Time, table: &[u8]) -> handover::Reply {
    let handover: handover::Handover = match serde_json::from_slice(table) {
        Ok(handover) => handover,
        Err(error) => {
            log::error!(error:%; "claims: handed over table is not understood");
            return handover::Reply::Misaddressed;
        }
    };
    let from = handover.from;
    let reply = claims.table(|t| t.import(now, handover));
    log::info!(from:% = from, reply:% = reply; "claims: table was handed over");
    reply
}

/// Hands this daemon's claims to a successor; whether one took them.
pub async fn offer(core: &Arc<core::Core>, claims: &claims::Claims) -> bool {
    let Some(cluster) = core.cluster() else {
        return false;
    };
    let members = cluster.members();
    for successor in candidates(core, &members) {
        match offer_to(core, claims, cluster.call(successor.instance), successor).await {
            Some(handover::Reply::Taken) => {
                announce(core, claims, successor.instance);
                return true;
            }
            Some(handover::Reply::Refused) => {}
            Some(handover::Reply::Misaddressed) | None => {
                // It may have taken the table: nobody else may have it.
                announce(core, claims, successor.instance);
                return false;
            }
        }
    }
    false
}

fn candidates<'a>(core: &core::Core, members: &'a [member::Member]) -> Vec<&'a member::Member> {
    let near = |m: &&member::Member| {
        let other = m.instance != core.instance;
        other && m.is_eligible() && m.region == core.settings.region
    };
    let key = core.instance.to_string();
    let near = members.iter().filter(near);
    rank::top(key.as_bytes(), near, members.len())
}

async fn offer_to(
    core: &core::Core,
    claims: &claims::Claims,
    client: client::Client,
    to: &member::Member,
) -> Option<handover::Reply> {
    for _ in 0..OFFERS {
        let now = core.now();
        let table = claims.table(|t| t.export(now, to.instance))?;
        let bytes = Bytes::from(serde_json::to_vec(&table).unwrap_or_default());
        match send(core, &client, bytes).await {
            Ok(reply) => {
                claims.table(|t| t.record_reply(to.instance, reply));
                return Some(reply);
            }
            Err(error) => {
                log::warn!(vm:% = to.vm, error:%; "claims: hand-over was not answered");
                tokio::time::sleep(BACKOFF).await;
            }
        }
    }
    None
}

async fn send(
    core: &core::Core,
    client: &client::Client,
    table: Bytes,
) -> Result<handover::Reply, call::Error> {
    let count = table.len().div_ceil(PART).max(1);
    let parts = u32::try_from(count).unwrap_or(u32::MAX);
    let mut reply = handover::Reply::Misaddressed;
    for (number, start) in (0..parts).zip((0..table.len().max(1)).step_by(PART)) {
        let end = table.len().min(start + PART);
        let request = wire::HandOver {
            minter: core.instance,
            part: number,
            parts,
            table: table.slice(start..end),
        };
        reply = client.hand_over(request, PART_TIMEOUT).await?;
    }
    Ok(reply)
}

fn announce(core: &core::Core, claims: &claims::Claims, to: instance::Instance) {
    let succession = successor::Succession {
        from: core.instance,
        to,
    };
    claims.succeeded(succession);
    if let Some(cluster) = core.cluster() {
        cluster.publish(news::News::Succession(succession), scope::Scope::Fleet);
    }
}
