//! Handover of the claim table to a successor during a planned stop.
//!
//! A table is sent in parts that fit a frame. The successor imports it once it has received all
//! parts; a repeated offer sends every part again.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use monsooncart_cluster::{call, client, scope};
use monsooncart_policy::claims::{handover, successor};
use monsooncart_policy::membership::member;
use monsooncart_policy::rank;
use monsooncart_types::{instance, map, time};
use monsooncart_wire::{claims as wire, update};

use crate::lock::lock;
use crate::{claims, core};

/// Size of one part, in bytes.
const PART_BYTES: usize = 256 << 10;

/// Maximum number of parts of one table.
const MAX_PARTS: u32 = 1024;

/// Timeout of the call that sends one part.
const PART_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of offers to one successor; if it answers none, the stop proceeds without a
/// confirmed handover.
const MAX_OFFERS: u32 = 10;

/// Delay between two offers.
const OFFER_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reassembles the tables that other daemons are handing over to this one.
#[derive(Default)]
pub struct Reassembly {
    /// Received parts of each table, by the instance that hands it over.
    parts: Mutex<map::Map<instance::Instance, Vec<Option<Bytes>>>>,
}

impl Reassembly {
    /// Stores a part; returns the whole table once all parts have arrived.
    pub fn insert(&self, request: wire::HandOver) -> Option<Bytes> {
        if request.parts == 0 || request.parts > MAX_PARTS || request.part >= request.parts {
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

/// Imports a reassembled table.
pub fn import_table(claims: &claims::Claims, now: time::Time, table: &[u8]) -> handover::Reply {
    let handover: handover::Handover = match serde_json::from_slice(table) {
        Ok(handover) => handover,
        Err(error) => {
            log::error!(error:%; "claims: received table could not be decoded");
            return handover::Reply::Misaddressed;
        }
    };
    let from = handover.from;
    let reply = claims.with_table(|t| t.import(now, handover));
    log::info!(from:% = from, reply:% = reply; "claims: received a handed-over table");
    reply
}

/// Hands this daemon's claims over to a successor; returns whether one accepted them.
pub async fn hand_over(core: &Arc<core::Core>, claims: &claims::Claims) -> bool {
    let Some(cluster) = core.cluster() else {
        return false;
    };
    let members = cluster.members();
    for successor in candidates(core, &members) {
        match hand_over_to(core, claims, cluster.client(successor.instance), successor).await {
            Some(handover::Reply::Taken) => {
                announce_succession(core, claims, successor.instance);
                return true;
            }
            Some(handover::Reply::Refused) => {}
            Some(handover::Reply::Misaddressed) | None => {
                // The successor may have imported the table, so no other daemon may be offered it.
                announce_succession(core, claims, successor.instance);
                return false;
            }
        }
    }
    false
}

fn candidates<'a>(core: &core::Core, members: &'a [member::Member]) -> Vec<&'a member::Member> {
    let is_candidate = |m: &&member::Member| {
        let is_other = m.instance != core.instance;
        is_other && m.is_eligible() && m.region == core.settings.region
    };
    let key = core.instance.to_string();
    let candidates = members.iter().filter(is_candidate);
    rank::top(key.as_bytes(), candidates, members.len())
}

async fn hand_over_to(
    core: &core::Core,
    claims: &claims::Claims,
    client: client::Client,
    to: &member::Member,
) -> Option<handover::Reply> {
    for _ in 0..MAX_OFFERS {
        let now = core.now();
        let table = claims.with_table(|t| t.export(now, to.instance))?;
        let bytes = Bytes::from(serde_json::to_vec(&table).unwrap_or_default());
        match send_table(core, &client, bytes).await {
            Ok(reply) => {
                claims.with_table(|t| t.record_reply(to.instance, reply));
                return Some(reply);
            }
            Err(error) => {
                log::warn!(vm:% = to.vm, error:%; "claims: handover call failed");
                tokio::time::sleep(OFFER_RETRY_DELAY).await;
            }
        }
    }
    None
}

async fn send_table(
    core: &core::Core,
    client: &client::Client,
    table: Bytes,
) -> Result<handover::Reply, call::Error> {
    let count = table.len().div_ceil(PART_BYTES).max(1);
    let parts = u32::try_from(count).unwrap_or(u32::MAX);
    let mut reply = handover::Reply::Misaddressed;
    for (number, start) in (0..parts).zip((0..table.len().max(1)).step_by(PART_BYTES)) {
        let end = table.len().min(start + PART_BYTES);
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

fn announce_succession(core: &core::Core, claims: &claims::Claims, to: instance::Instance) {
    let succession = successor::Succession {
        from: core.instance,
        to,
    };
    claims.record_succession(succession);
    if let Some(cluster) = core.cluster() {
        cluster.publish(update::Update::Succession(succession), scope::Scope::Fleet);
    }
}
