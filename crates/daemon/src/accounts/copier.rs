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

/// Maximum number of attempts to send each copy to a peer when the daemon stops.
const MAX_SEND_ATTEMPTS: u32 = 3;

/// Page sequences that each peer has confirmed.
#[derive(Default)]
struct Confirmed {
    sequences: map::Map<(instance::Instance, page::Name), u64>,
}

impl Confirmed {
    /// Whether the peer has not confirmed the latest counts of the page.
    fn needs_copy(&self, peer: instance::Instance, page: &page::Page) -> bool {
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
        let mut sent_bytes = copy_pages(accounts, &mut confirmed).await;
        round = round.wrapping_add(1);
        if round.is_multiple_of(ROUNDS_PER_HISTORY) {
            sent_bytes += copy_history(accounts).await;
        }
        let pacing_delay = Duration::from_secs_f64(sent_bytes as f64 / COPY_BYTES_PER_SECOND);
        tokio::time::sleep(MIN_COPY_INTERVAL.max(pacing_delay)).await;
    }
}

/// Sends each peer the pages that it lacks; returns the number of bytes sent.
async fn copy_pages(accounts: &Accounts, confirmed: &mut Confirmed) -> usize {
    accounts.flush_counter();
    let pages: Vec<_> = lock(&accounts.book).unconfirmed().cloned().collect();
    confirmed.retain_pages(&pages);
    let mut sent_bytes = 0;
    for peer in copy_peers(accounts) {
        for page in &pages {
            if !confirmed.needs_copy(peer.instance, page) {
                continue;
            }
            let copy = payload::copy_of_page(page);
            sent_bytes += copy.counters.len();
            if send(accounts, &peer, copy).await {
                confirmed
                    .sequences
                    .insert((peer.instance, page.name), page.sequence);
            }
        }
    }
    sent_bytes
}

/// Sends the error budget history to all peers; returns the number of bytes sent.
async fn copy_history(accounts: &Accounts) -> usize {
    let history = lock(&accounts.tracker).snapshot();
    let vm = &accounts.core.settings.name;
    let mut sent_bytes = 0;
    for part in history {
        let copy = payload::copy_of_history(vm, &histories::truncate_lines(part));
        for peer in copy_peers(accounts) {
            sent_bytes += copy.counters.len();
            send(accounts, &peer, copy.clone()).await;
        }
    }
    sent_bytes
}

/// Sends everything that the platform has not confirmed to peers, including copies stored for
/// others; returns whether at least one peer accepted all of it.
pub async fn hand_over(accounts: &Accounts, history: &[snapshot::Part]) -> bool {
    let mut copies: Vec<_> = lock(&accounts.book)
        .unconfirmed()
        .map(payload::copy_of_page)
        .collect();
    copies.extend(lock(&accounts.copies).pages().map(payload::copy_of_page));
    let vm = &accounts.core.settings.name;
    let own_parts = history.iter().cloned().map(histories::truncate_lines);
    copies.extend(own_parts.map(|part| payload::copy_of_history(vm, &part)));
    let stored_parts: Vec<_> = lock(&accounts.histories).all().cloned().collect();
    copies.extend(
        stored_parts
            .iter()
            .map(|part| payload::copy_of_history(vm, part)),
    );
    let mut accepted = false;
    for peer in copy_peers(accounts) {
        accepted |= send_all(accounts, &peer, &copies).await;
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
    let result = cluster.client(peer).keep_usage(copy, COPY_TIMEOUT).await;
    if let Err(error) = &result {
        accounts.metrics.copy_failures.inc();
        log::debug!(vm:% = peer.vm, error:%; "usage: failed to send a copy");
    }
    result.is_ok()
}

/// The peers that store this instance's copies: in the same region, by rendezvous hashing.
fn copy_peers(accounts: &Accounts) -> Vec<member::Member> {
    let core = &accounts.core;
    let members = core.cluster().map(|c| c.members()).unwrap_or_default();
    let is_candidate = |m: &&member::Member| {
        let is_other = m.instance != core.instance;
        is_other && m.is_eligible() && m.region == core.settings.region
    };
    let key = core.instance.to_string();
    let candidates = members.iter().filter(is_candidate);
    let top = rank::top(key.as_bytes(), candidates, COPY_PEERS);
    top.into_iter().cloned().collect()
}
