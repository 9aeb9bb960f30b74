//! Dissemination queue: items are piggybacked on datagrams until they have been sent often enough
//! to reach every member.

use std::hash::Hash;

use monsooncart_types::map;

/// Number of transmissions of an item for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 2;

struct Item<T> {
    value: T,
    size_bytes: usize,
    sends: u32,
}

/// Items by key; those with the fewest transmissions are sent first.
pub struct Queue<K, T> {
    items: map::Map<K, Item<T>>,
    max_items: usize,
}

/// Minimum number of transmissions of an item: in a small group, receivers chosen at random would
/// otherwise miss a member too often.
const MIN_SENDS: u32 = 16;

/// Returns how many times an item is sent in a group of `member_count` members.
#[must_use]
pub fn transmit_limit(member_count: usize) -> u32 {
    let doublings = usize::BITS - member_count.leading_zeros() + 1;
    MIN_SENDS.max(SENDS_PER_DOUBLING * doublings)
}

impl<K: Clone + Eq + Hash + Ord, T: Clone> Queue<K, T> {
    /// Creates an empty queue of at most `max_items` items.
    #[must_use]
    pub fn new(max_items: usize) -> Self {
        Self {
            items: map::Map::default(),
            max_items,
        }
    }

    /// Whether the queue has no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Adds an item of `size_bytes` encoded bytes, or replaces the one with the same key. If the
    /// queue exceeds its limit, drops the item sent most often.
    pub fn push(&mut self, key: K, value: T, size_bytes: usize) {
        let item = Item {
            value,
            size_bytes,
            sends: 0,
        };
        self.items.insert(key, item);
        if self.items.len() > self.max_items {
            self.evict();
        }
    }

    fn evict(&mut self) {
        let most_sent = self
            .items
            .iter()
            .max_by_key(|(key, item)| (item.sends, *key));
        if let Some(key) = most_sent.map(|(key, _)| key.clone()) {
            self.items.remove(&key);
        }
    }

    /// Returns the least-sent items that fit into `room_bytes` bytes, and removes those that have
    /// now been sent `max_sends` times.
    pub fn take(&mut self, mut room_bytes: usize, max_sends: u32) -> Vec<T> {
        let mut order: Vec<_> = self
            .items
            .iter()
            .map(|(k, i)| (i.sends, k.clone()))
            .collect();
        order.sort_unstable();
        let mut taken = Vec::new();
        for (_, key) in order {
            let Some(item) = self.items.get_mut(&key) else {
                continue;
            };
            if item.size_bytes > room_bytes {
                continue;
            }
            room_bytes -= item.size_bytes;
            taken.push(item.value.clone());
            item.sends += 1;
            if item.sends >= max_sends {
                self.items.remove(&key);
            }
        }
        taken
    }
}
