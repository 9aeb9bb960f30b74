//! The stored record of a service's ejections and tokens.
//!
//! All functions here are pure: they return a new record, which is to be written on condition that
//! the old one has not changed.

use std::cmp;
use std::collections::{BTreeMap, BTreeSet};

use monsooncart_types::{id, instance};

use crate::floor::{capacity, denial, mark};

/// Prefix of the storage keys of all records, followed by the service's name.
pub const PREFIX: &str = "floor/";

/// A server in the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// Number of requests that it processes concurrently.
    pub slots: u64,
    /// Whether it counts as in service unless ejected.
    pub available: bool,
    /// Version of `available` within one configuration version.
    #[serde(default)]
    pub generation: u64,
    /// Version of `ejection`.
    pub stamp: mark::Stamp,
    /// The current ejection, if any.
    pub ejection: Option<mark::Ejection>,
}

impl Server {
    /// Whether it is available and not ejected.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.available && self.ejection.is_none()
    }

    /// Merges the availability from the capacity of the same configuration version.
    fn merge_availability(&mut self, configured: &capacity::Server) {
        match configured.generation.cmp(&self.generation) {
            cmp::Ordering::Less => {}
            cmp::Ordering::Equal => self.available &= configured.available,
            cmp::Ordering::Greater => {
                self.available = configured.available;
                self.generation = configured.generation;
            }
        }
    }
}

/// A token holder. Only the holder itself changes its entry; other daemons remove it once the VM
/// list proves that the holder is gone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// The VM that it runs on.
    pub vm: id::Vm,
    /// Slots that it may take out of service.
    pub tokens: u64,
    /// Number of its last spend that the record contains.
    pub written: u64,
}

/// Ejections and granted tokens of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Configuration version that the capacity was taken from.
    pub version: u64,
    /// Slots that ejections must leave in service.
    pub floor: u64,
    /// Highest counter of all stamps.
    pub counter: u64,
    /// Servers by name.
    pub servers: BTreeMap<id::Server, Server>,
    /// Token holders by daemon instance.
    pub holders: BTreeMap<instance::Instance, Holder>,
}

impl Record {
    /// Returns the number of slots in service.
    #[must_use]
    pub fn serving(&self) -> u64 {
        let serving = self.servers.values().filter(|s| s.serves());
        serving.map(|s| s.slots).sum()
    }

    /// Returns the number of slots that all holders together may take out of service.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.holders.values().map(|h| h.tokens).sum()
    }

    /// Returns the number of slots that a write of the record may take out of service. It is
    /// negative if capacity was removed while tokens were granted.
    #[must_use]
    pub fn room(&self) -> i64 {
        let signed = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
        signed(self.serving())
            .saturating_sub(signed(self.floor))
            .saturating_sub(signed(self.tokens()))
    }

    /// Returns the number of tokens of one holder.
    #[must_use]
    pub fn tokens_of(&self, holder: instance::Instance) -> u64 {
        self.holders.get(&holder).map_or(0, |h| h.tokens)
    }

    /// Returns the current mark of a server.
    #[must_use]
    pub fn mark(&self, name: &id::Server) -> Option<mark::Mark> {
        let server = self.servers.get(name)?;
        Some(mark::Mark {
            server: name.clone(),
            stamp: server.stamp,
            ejection: server.ejection.clone(),
        })
    }

    /// Applies the configured capacity, removes holders that are proven gone, and restores the
    /// floor.
    #[must_use]
    pub fn reconcile(
        mut self,
        capacity: &capacity::Capacity,
        gone: &BTreeSet<instance::Instance>,
        by: instance::Instance,
    ) -> Self {
        self.apply_capacity(capacity);
        self.holders.retain(|holder, _| !gone.contains(holder));
        self.restore_floor(by)
    }

    /// Returns the most recently ejected servers to service while the room is negative. In every
    /// record that is written, either the room is not negative or no available server is ejected.
    #[must_use]
    pub fn restore_floor(mut self, by: instance::Instance) -> Self {
        while self.room() < 0 {
            let ejected = self.servers.iter();
            let ejected = ejected.filter(|(_, s)| s.available && s.ejection.is_some());
            let Some((last, _)) = ejected.max_by_key(|(_, s)| s.stamp) else {
                break;
            };
            let last = last.clone();
            let stamp = self.next_stamp(by);
            self.apply_mark(mark::Mark {
                server: last,
                stamp,
                ejection: None,
            });
        }
        self
    }

    /// Ejects a server using free tokens; does nothing if it is already ejected.
    ///
    /// # Errors
    ///
    /// Fails if the record does not list the server or has too little room.
    pub fn eject(mut self, mark: mark::Mark) -> Result<Self, denial::Denial> {
        let room = self.room();
        let name = mark.server.clone();
        let Some(server) = self.servers.get(&name) else {
            return Err(denial::Denial::UnknownServer { server: name });
        };
        if server.ejection.is_some() {
            return Ok(self);
        }
        let slots = server.slots;
        let cost = if server.available { slots } else { 0 };
        if cost > 0 && room < i64::try_from(cost).unwrap_or(i64::MAX) {
            return Err(denial::Denial::Floor {
                server: name,
                slots,
                room,
            });
        }
        self.apply_mark(mark);
        Ok(self)
    }

    /// Records a holder's spend. The tokens are deducted only if this spend is what takes the
    /// server out of service.
    #[must_use]
    pub fn record_spend(
        mut self,
        holder: instance::Instance,
        number: u64,
        mark: mark::Mark,
    ) -> Self {
        let Some(entry) = self.holders.get_mut(&holder) else {
            return self;
        };
        if entry.written >= number {
            return self;
        }
        entry.written = number;
        let Some(server) = self.servers.get(&mark.server) else {
            return self;
        };
        if server.serves() && server.stamp < mark.stamp {
            entry.tokens = entry.tokens.saturating_sub(server.slots);
        }
        self.apply_mark(mark);
        self
    }

    /// Returns a server to service if the mark is newer than its last change.
    #[must_use]
    pub fn restore(mut self, mark: mark::Mark) -> Self {
        self.apply_mark(mark);
        self
    }

    /// Sets a holder's tokens; an increase is limited to the room.
    #[must_use]
    pub fn set_tokens(mut self, holder: instance::Instance, vm: &id::Vm, tokens: u64) -> Self {
        let current = self.tokens_of(holder);
        let room = u64::try_from(self.room()).unwrap_or(0);
        let tokens = tokens.min(current.saturating_add(room));
        if tokens == 0 && !self.holders.contains_key(&holder) {
            return self;
        }
        let entry = self.holders.entry(holder).or_insert_with(|| Holder {
            vm: vm.clone(),
            tokens,
            written: 0,
        });
        entry.tokens = tokens;
        self
    }

    /// Removes a holder, which returns all its tokens.
    #[must_use]
    pub fn remove_holder(mut self, holder: instance::Instance) -> Self {
        self.holders.remove(&holder);
        self
    }

    /// Creates a stamp that is greater than all stamps of the record.
    #[must_use]
    pub fn next_stamp(&self, by: instance::Instance) -> mark::Stamp {
        let counter = self.counter + 1;
        mark::Stamp { counter, by }
    }

    fn apply_mark(&mut self, mark: mark::Mark) {
        self.counter = self.counter.max(mark.stamp.counter);
        let Some(server) = self.servers.get_mut(&mark.server) else {
            return;
        };
        if server.stamp < mark.stamp {
            server.stamp = mark.stamp;
            server.ejection = mark.ejection;
        }
    }

    fn apply_capacity(&mut self, capacity: &capacity::Capacity) {
        if capacity.version < self.version {
            return;
        }
        if capacity.version == self.version && !self.servers.is_empty() {
            for configured in &capacity.servers {
                if let Some(server) = self.servers.get_mut(&configured.name) {
                    server.merge_availability(configured);
                }
            }
            return;
        }
        let counter = self.counter;
        let stamp = mark::Stamp {
            counter,
            ..mark::Stamp::ZERO
        };
        let mut previous = std::mem::take(&mut self.servers);
        for configured in &capacity.servers {
            let mut server = previous.remove(&configured.name).unwrap_or(Server {
                slots: configured.slots,
                available: configured.available,
                generation: configured.generation,
                stamp,
                ejection: None,
            });
            server.slots = configured.slots;
            server.available = configured.available;
            server.generation = configured.generation;
            self.servers.insert(configured.name.clone(), server);
        }
        self.version = capacity.version;
        self.floor = capacity.floor;
    }
}
