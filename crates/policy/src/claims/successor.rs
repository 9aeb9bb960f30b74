//! Which daemon decides the tickets of a stopped minter.
//!
//! Successions are disseminated by gossip. A stopping daemon announces at most one successor that
//! took its table, so entries never contradict each other. They may arrive late or get lost, which
//! only makes the minter's tickets unavailable.

use std::collections::VecDeque;

use monsooncart_types::{instance, map};

/// Maximum number of successions retained; the oldest are dropped first.
const MAX_SUCCESSIONS: usize = 8192;

/// Transfer of a minter's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Succession {
    /// The daemon that stopped.
    pub from: instance::Instance,
    /// The daemon that took over its table.
    pub to: instance::Instance,
}

/// Known successions.
#[derive(Clone, Debug, Default)]
pub struct Successors {
    successor_of: map::Map<instance::Instance, instance::Instance>,
    order: VecDeque<instance::Instance>,
}

impl Successors {
    /// Adds a succession; returns whether it was new.
    pub fn insert(&mut self, succession: Succession) -> bool {
        if succession.from == succession.to || self.successor_of.contains_key(&succession.from) {
            return false;
        }
        self.successor_of.insert(succession.from, succession.to);
        self.order.push_back(succession.from);
        if self.order.len() > MAX_SUCCESSIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.successor_of.remove(&oldest);
        }
        true
    }

    /// Returns the daemon that decides a minter's tickets: the end of its chain of successors.
    #[must_use]
    pub fn decider(&self, minter: instance::Instance) -> instance::Instance {
        let mut decider = minter;
        for _ in 0..self.successor_of.len() {
            match self.successor_of.get(&decider) {
                Some(next) => decider = *next,
                None => break,
            }
        }
        decider
    }

    /// Iterates over all successions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = Succession> + '_ {
        let pair = |from: &instance::Instance| {
            let to = *self.successor_of.get(from)?;
            Some(Succession { from: *from, to })
        };
        self.order.iter().filter_map(pair)
    }
}
