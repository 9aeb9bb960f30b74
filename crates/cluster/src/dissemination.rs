//! State of the gossiped updates, without I/O: which updates have been received, which are queued
//! for forwarding, and which are retained for daemons that missed them.

use std::collections::VecDeque;
use std::time::Duration;

use monsooncart_policy::membership::queue;
use monsooncart_policy::rank;
use monsooncart_types::{map, time};
use monsooncart_wire::{datagram, frame, update};

/// Maximum number of update identifiers kept to detect duplicates.
const MAX_RECEIVED_IDS: usize = 1 << 16;

/// Maximum number of updates queued for forwarding.
const MAX_QUEUED: usize = 4096;

/// Maximum number of queued updates that are too large for a datagram.
const MAX_LARGE: usize = 64;

/// Maximum number of retained updates.
const MAX_RETAINED: usize = 4096;

struct Retained {
    item: update::Item,
    received_at: time::Time,
    expires_at: time::Time,
}

/// The updates that a daemon has received.
pub(crate) struct Dissemination {
    received_ids: map::Set<u64>,
    received_order: VecDeque<u64>,
    queue: queue::Queue<u64, (update::Item, time::Time)>,
    retained: map::Map<u64, Retained>,
    large: Vec<update::Item>,
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Returns `item`, received at `received_at`, with its age at `now`.
fn with_age(item: &update::Item, received_at: time::Time, now: time::Time) -> update::Item {
    update::Item {
        age_millis: item
            .age_millis
            .saturating_add(millis(now.since(received_at))),
        ..item.clone()
    }
}

impl Dissemination {
    pub(crate) fn new() -> Self {
        Self {
            received_ids: map::Set::default(),
            received_order: VecDeque::new(),
            queue: queue::Queue::new(MAX_QUEUED),
            retained: map::Map::default(),
            large: Vec::new(),
        }
    }

    /// Records a received item and queues it for forwarding. Returns its update unless the item is
    /// a duplicate or has expired.
    pub(crate) fn record(&mut self, now: time::Time, item: update::Item) -> Option<update::Update> {
        if !self.received_ids.insert(item.id) {
            return None;
        }
        self.received_order.push_back(item.id);
        if self.received_order.len() > MAX_RECEIVED_IDS {
            let oldest = self.received_order.pop_front();
            oldest.map(|oldest| self.received_ids.remove(&oldest));
        }
        let age = Duration::from_millis(u64::from(item.age_millis));
        let update = update_at_age(&item.update, age)?;
        if item.reach == update::Reach::Fleet {
            self.enqueue(now, item, age);
        }
        Some(update)
    }

    /// Queues an item for forwarding, and retains it if its update has a retention.
    fn enqueue(&mut self, now: time::Time, item: update::Item, age: Duration) {
        let Ok(encoded) = frame::encode(&item) else {
            return;
        };
        let size_bytes = encoded.len() + MAX_AGE_GROWTH_BYTES;
        if let Some(retention) = item.update.retention() {
            if self.retained.len() >= MAX_RETAINED {
                self.remove_expired(now);
            }
            if self.retained.len() < MAX_RETAINED {
                let expires_at = now + retention.saturating_sub(age);
                let item = item.clone();
                let retained = Retained {
                    item,
                    received_at: now,
                    expires_at,
                };
                self.retained.insert(retained.item.id, retained);
            }
        }
        if size_bytes <= datagram::MAX_BODY_BYTES - BATCH_HEADER_BYTES {
            self.queue.push(item.id, (item, now), size_bytes);
        } else if self.large.len() < MAX_LARGE {
            self.large.push(item);
        }
    }

    /// Takes the items that are too large for a datagram, which are sent once by calls.
    pub(crate) fn take_large(&mut self) -> Vec<update::Item> {
        std::mem::take(&mut self.large)
    }

    fn remove_expired(&mut self, now: time::Time) {
        self.retained
            .retain(|_, retained| retained.expires_at > now);
    }

    /// Whether items are queued for forwarding.
    pub(crate) fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Takes the items of the next gossip datagram, in a fleet with `member_count` members.
    pub(crate) fn next_batch(&mut self, now: time::Time, member_count: usize) -> Vec<update::Item> {
        let items = self.queue.take(
            datagram::MAX_BODY_BYTES - BATCH_HEADER_BYTES,
            queue::transmit_limit(member_count),
        );
        let items = items
            .iter()
            .map(|(item, received_at)| with_age(item, *received_at, now));
        items.collect()
    }

    /// Hash of the identifiers of the retained updates.
    pub(crate) fn retained_hash(&mut self, now: time::Time) -> u64 {
        self.remove_expired(now);
        let hashes = self.retained.keys().map(|id| rank::hash(&id.to_be_bytes()));
        hashes.fold(0, |all, hash| all ^ hash)
    }

    /// Sorted identifiers of the retained updates.
    pub(crate) fn retained_ids(&mut self, now: time::Time) -> Vec<u64> {
        self.remove_expired(now);
        let mut ids: Vec<_> = self.retained.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Compares the retained updates with a peer's identifiers. Returns the updates that the peer
    /// lacks, and the identifiers of those not received here.
    pub(crate) fn difference(
        &mut self,
        now: time::Time,
        peer_ids: &[u64],
    ) -> (Vec<update::Item>, Vec<u64>) {
        self.remove_expired(now);
        let peer_set: map::Set<u64> = peer_ids.iter().copied().collect();
        let peer_ids = peer_ids.iter().copied();
        let missing = peer_ids
            .filter(|id| !self.received_ids.contains(id))
            .collect();
        let unknown_to_peer = self
            .retained
            .iter()
            .filter(|(id, _)| !peer_set.contains(id));
        let items = unknown_to_peer
            .map(|(_, r)| with_age(&r.item, r.received_at, now))
            .collect();
        (items, missing)
    }

    /// Returns the retained updates with these identifiers.
    pub(crate) fn retained_items(&self, now: time::Time, ids: &[u64]) -> Vec<update::Item> {
        let retained = ids.iter().filter_map(|id| self.retained.get(id));
        retained
            .map(|r| with_age(&r.item, r.received_at, now))
            .collect()
    }
}

/// Packs items into batches that each fit a datagram; the items in `large` are left out.
pub(crate) fn pack_batches(
    items: Vec<update::Item>,
    large: &[update::Item],
) -> Vec<Vec<update::Item>> {
    let mut batches: Vec<Vec<update::Item>> = Vec::new();
    let mut remaining_bytes = 0;
    for item in items {
        if large.iter().any(|l| l.id == item.id) {
            continue;
        }
        let size_bytes = frame::encode(&item).map_or(datagram::MAX_BODY_BYTES, |bytes| bytes.len());
        match batches.last_mut() {
            Some(batch) if size_bytes <= remaining_bytes => batch.push(item),
            _ => {
                remaining_bytes = datagram::MAX_BODY_BYTES - BATCH_HEADER_BYTES;
                batches.push(vec![item]);
            }
        }
        remaining_bytes = remaining_bytes.saturating_sub(size_bytes);
    }
    batches
}

/// Maximum growth of an item's encoded age while the item is queued.
const MAX_AGE_GROWTH_BYTES: usize = 5;

/// Size of a datagram's body without its items.
const BATCH_HEADER_BYTES: usize = 8;

/// Returns the update with what remains of its duration at `age`; `None` if it has expired.
fn update_at_age(update: &update::Update, age: Duration) -> Option<update::Update> {
    match update {
        update::Update::Quarantine {
            service,
            fingerprint,
            span,
        } => {
            let span = span.checked_sub(age).filter(|span| !span.is_zero())?;
            Some(update::Update::Quarantine {
                service: service.clone(),
                fingerprint: *fingerprint,
                span,
            })
        }
        _ => Some(update.clone()),
    }
}
