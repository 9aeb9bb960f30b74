//! Sends copies of the counts to two peers.
//!
//! The interval between copies grows with the bytes sent, so that copying uses a bounded share of
//! the network.

use std::time::Duration;

use monsooncart_policy::membership::member;
use monsooncart_policy::rank;
use monsooncart_types::{instance, map};
use monsooncart_usage::burn::snapshot;
use monsooncart_usage::page;
use monsooncart_wire::usage as wire;

use super::{Accounts, histories, payload};
use crate::lock::lock;

/// Number of peers that store copies.
const COPY_PEERS: usize = 2;

/// Minimum interval between copies of the usage pages.
const MIN_COPY_INTERVAL: Duration = Duration::from_secs(2);

/// Average rate of copies to all peers together, in bytes per second.
const COPY_BYTES_PER_SECOND: f64 = 4096.0;

/// Rounds of page copies per copy of the error budget history.
const ROUNDS_PER_HISTORY: u32 = 30;

/// Timeout of a call that sends a copy.
const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts to send each of the last copies to a peer when the daemon stops.
const MAX_SEND_ATTEMPTS: u32 = 3;

/// Page sequences confirmed by each peer.
#[derive(Default)]
struct Confirmed {
    sequences: map::Map<(instance::Instance, page::Name), u64>,
}

impl Confirmed {
    fn is_outdated(&self, peer: instance::Instance, page: &page::Page) -> bool {
        let confirmed = self.sequences.get(&(peer, page.name));
        confirmed.is_none_or(|confirmed| *confirmed < page.sequence)
    }

    fn retain_pages(&mut self, pages: &[page::Page]) {
        let is_listed = |name: &page::Name| pages.iter().any(|page| page.name == *name);
        self.sequences.retain(|(_, name), _| is_listed(name));
    }
}

/// Sends copies until the task is dropped.
pub async fn run(accounts: &Accounts) {
    let mut confirmed = Confirmed::default();
    let mut round = 0u32;
    loop {
        let mut sent = copy_pages(accounts, &mut confirmed).await;
        round = round.wrapping_add(1);
        if round.is_multiple_of(ROUNDS_PER_HISTORY) {
            sent += copy_history(accounts).await;
        }
        let paced = Duration::from_secs_f64(sent as f64 / COPY_BYTES_PER_SECOND);
        tokio::time::sleep(MIN_COPY_INTERVAL.max(paced)).await;
    }
}

async fn copy_pages(accounts: &Accounts, confirmed: &mut Confirmed) -> usize {
    accounts.flush_counter();
    let pages: Vec<_> = lock(&accounts.book).unconfirmed().cloned().collect();
    confirmed.retain_pages(&pages);
    let mut sent = 0;
    for peer in copy_peers(accounts) {
        for page in &pages {
            if !confirmed.is_outdated(peer.instance, page) {
                continue;
            }
            let copy = payload::copy_of_page(page);
            sent += copy.counters.len();
            if send(accounts, &peer, copy).await {
                confirmed
                    .sequences
                    .insert((peer.instance, page.name), page.sequence);
            }
        }
    }
    sent
}

async fn copy_history(accounts: &Accounts) -> usize {
    let snapshots = lock(&accounts.tracker).snapshots();
    let vm = &accounts.core.settings.name;
    let mut sent = 0;
    for snapshot in snapshots {
        let copy = payload::copy_of_history(vm, &histories::truncate_lines(snapshot));
        for peer in copy_peers(accounts) {
            sent += copy.counters.len();
            send(accounts, &peer, copy.clone()).await;
        }
    }
    sent
}

/// Sends everything that the platform has not confirmed to peers, including copies stored for
/// others; returns whether at least one peer accepted all of it.
pub async fn hand_over(accounts: &Accounts, snapshots: &[snapshot::Snapshot]) -> bool {
    let mut all: Vec<_> = lock(&accounts.book)
        .unconfirmed()
        .map(payload::copy_of_page)
        .collect();
    all.extend(lock(&accounts.copies).pages().map(payload::copy_of_page));
    let vm = &accounts.core.settings.name;
    let own = snapshots.iter().cloned().map(histories::truncate_lines);
    all.extend(own.map(|s| payload::copy_of_history(vm, &s)));
    let histories: Vec<_> = lock(&accounts.histories).all().cloned().collect();
    all.extend(histories.iter().map(|h| payload::copy_of_history(vm, h)));
    let mut accepted = false;
    for peer in copy_peers(accounts) {
        accepted |= send_all(accounts, &peer, &all).await;
    }
    accepted
}

async fn send_all(accounts: &Accounts, peer: &member::Member, copies: &[wire::Copy]) -> bool {
    for copy in copies {
        let mut attempts = 0;
        while !send(accounts, peer, copy.clone()).await {
            attempts += 1;
            if attempts == MAX_SEND_ATTEMPTS {
                return false;
            }
        }
    }
    true
}

async fn send(accounts: &Accounts, peer: &member::Member, copy: wire::Copy) -> bool {
    let Some(cluster) = accounts.core.cluster() else {
        return false;
    };
    let sent = cluster.client(peer).keep_usage(copy, COPY_TIMEOUT).await;
    if let Err(error) = &sent {
        accounts.metrics.copy_failures.inc();
        log::debug!(vm:% = peer.vm, error:%; "usage: failed to send a copy");
    }
    sent.is_ok()
}

/// The peers that store this instance's copies: in the same region, by rendezvous hashing.
fn copy_peers(accounts: &Accounts) -> Vec<member::Member> {
    let core = &accounts.core;
    let members = core.cluster().map(|c| c.members()).unwrap_or_default();
    let in_region = |m: &&member::Member| {
        let other = m.instance != core.instance;
        other && m.is_eligible() && m.region == core.settings.region
    };
    let key = core.instance.to_string();
    let candidates = members.iter().filter(in_region);
    let top = rank::top(key.as_bytes(), candidates, COPY_PEERS);
    top.into_iter().cloned().collect()
}
