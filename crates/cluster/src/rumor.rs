//! News on its way through the fleet, without input and output: what has been heard, what is still
//! to be told on, and what lasts.

use std::collections::VecDeque;
use std::time::Duration;

use monsooncart_policy::membership::queue;
use monsooncart_policy::rank;
use monsooncart_types::{map, time};
use monsooncart_wire::{datagram, frame, news};

/// Numbers of news remembered.
const HEARD: usize = 1 << 16;

/// News waiting to be told on, at most.
const QUEUE: usize = 4096;

/// News too large for a datagram that waits to be told on, at most.
const LARGE: usize = 64;

/// Lasting news held, at most.
const LASTING: usize = 4096;

struct Lasting {
    item: news::Item,
    origin: time::Time,
    ends: time::Time,
}

/// The news that a daemon knows of.
pub(crate) struct Rumor {
    heard: map::Set<u64>,
    order: VecDeque<u64>,
    queue: queue::Queue<u64, (news::Item, time::Time)>,
    lasting: map::Map<u64, Lasting>,
    large: Vec<news::Item>,
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// The item as it is told at `now`, for one that had age 0 at `origin`.
fn aged(item: &news::Item, origin: time::Time, now: time::Time) -> news::Item {
    news::Item {
        age_millis: item.age_millis.saturating_add(millis(now.since(origin))),
        ..item.clone()
    }
}

impl Rumor {
    pub(crate) fn new() -> Self {
        Self {
            heard: map::Set::default(),
            order: VecDeque::new(),
            queue: queue::Queue::new(QUEUE),
            lasting: map::Map::default(),
            large: Vec::new(),
        }
    }

    /// Takes an item; gives its news where it is heard for the first time and still holds.
    pub(crate) fn hear(&mut self, now: time::Time, item: news::Item) -> Option<news::News> {
        if !self.heard.insert(item.number) {
            return None;
        }
        self.order.push_back(item.number);
        if self.order.len() > HEARD {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.heard.remove(&oldest));
        }
        let age = Duration::from_millis(u64::from(item.age_millis));
        let news = remaining(&item.news, age)?;
        if item.reach == news::Reach::Fleet {
            self.spread(now, item, age);
        }
        Some(news)
    }

    fn spread(&mut self, now: time::Time, item: news::Item, age: Duration) {
        let Ok(encoded) = frame::encode(&item) else {
            return;
        };
        let size = encoded.len() + AGE_GROWTH;
        if let Some(lifetime) = item.news.lifetime() {
            if self.lasting.len() >= LASTING {
                self.expire(now);
            }
            if self.lasting.len() < LASTING {
                let ends = now + lifetime.saturating_sub(age);
                let item = item.clone();
                let lasting = Lasting {
                    item,
                    origin: now,
                    ends,
                };
                self.lasting.insert(lasting.item.number, lasting);
            }
        }
        if size <= datagram::BODY - OVERHEAD {
            self.queue.push(item.number, (item, now), size);
        } else if self.large.len() < LARGE {
            self.large.push(item);
        }
    }

    /// Takes the items that no datagram holds: they are told by calls, once.
    pub(crate) fn take_large(&mut self) -> Vec<news::Item> {
        std::mem::take(&mut self.large)
    }

    fn expire(&mut self, now: time::Time) {
        self.lasting.retain(|_, lasting| lasting.ends > now);
    }

    /// Whether something is to be told on.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// What the next datagram tells, among `members`.
    pub(crate) fn tell(&mut self, now: time::Time, members: usize) -> Vec<news::Item> {
        let taken = self
            .queue
            .take(datagram::BODY - OVERHEAD, queue::transmit_limit(members));
        let aged = taken.iter().map(|(item, origin)| aged(item, *origin, now));
        aged.collect()
    }

    /// Hash of the numbers of the lasting news held.
    pub(crate) fn hash(&mut self, now: time::Time) -> u64 {
        self.expire(now);
        let hashes = self.lasting.keys().map(|n| rank::hash(&n.to_be_bytes()));
        hashes.fold(0, |all, hash| all ^ hash)
    }

    /// Numbers of the lasting news held.
    pub(crate) fn held(&mut self, now: time::Time) -> Vec<u64> {
        self.expire(now);
        let mut held: Vec<_> = self.lasting.keys().copied().collect();
        held.sort_unstable();
        held
    }

    /// Lasting news for one that holds `theirs`, and the numbers in `theirs` not heard here.
    pub(crate) fn compare(
        &mut self,
        now: time::Time,
        theirs: &[u64],
    ) -> (Vec<news::Item>, Vec<u64>) {
        self.expire(now);
        let held: map::Set<u64> = theirs.iter().copied().collect();
        let theirs = theirs.iter().copied();
        let missing = theirs
            .filter(|number| !self.heard.contains(number))
            .collect();
        let mine = self
            .lasting
            .iter()
            .filter(|(number, _)| !held.contains(number));
        let news = mine.map(|(_, l)| aged(&l.item, l.origin, now)).collect();
        (news, missing)
    }

    /// The lasting news of these numbers.
    pub(crate) fn numbered(&self, now: time::Time, numbers: &[u64]) -> Vec<news::Item> {
        let held = numbers.iter().filter_map(|number| self.lasting.get(number));
        held.map(|l| aged(&l.item, l.origin, now)).collect()
    }
}

/// Bytes by which an item's encoded age may grow.
const AGE_GROWTH: usize = 5;

/// Bytes of a datagram's body besides its items.
const OVERHEAD: usize = 8;

/// The news as it holds at `age`; `None` where it has ended.
fn remaining(news: &news::News, age: Duration) -> Option<news::News> {
    match news {
        news::News::Quarantine {
            service,
            fingerprint,
            span,
        } => {
            let span = span.checked_sub(age).filter(|span| !span.is_zero())?;
            Some(news::News::Quarantine {
                service: service.clone(),
                fingerprint: *fingerprint,
                span,
            })
        }
        _ => Some(news.clone()),
    }
}
