//! The ejections of a service as known to one daemon.
//!
//! Marks broadcast by holders are overlaid on the newest record that was read. A mark that ejects a
//! server is valid only while the daemon that made it is a holder in that record, as the tokens of
//! a removed holder may have been granted to others. The set of ejected servers is then limited to
//! what the floor allows given this daemon's own state; the most recent ejections are dropped
//! first.

use std::collections::{BTreeMap, BTreeSet};

use monsooncart_types::{id, instance};

use crate::floor::{capacity, mark, record, storage};

/// Newest known record, capacity and marks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    record: Option<(storage::Version, record::Record)>,
    capacity: Option<capacity::Capacity>,
    /// Servers that are available according to `capacity`.
    configured_available: BTreeSet<id::Server>,
    marks: BTreeMap<id::Server, mark::Mark>,
    counter: u64,
}

impl View {
    /// Returns the newest record that was read.
    #[must_use]
    pub fn record(&self) -> Option<&record::Record> {
        self.record.as_ref().map(|(_, record)| record)
    }

    /// Returns the version of the newest record.
    #[must_use]
    pub fn version(&self) -> Option<storage::Version> {
        self.record.as_ref().map(|(version, _)| *version)
    }

    /// Returns the newest configured capacity.
    #[must_use]
    pub fn capacity(&self) -> Option<&capacity::Capacity> {
        self.capacity.as_ref()
    }

    /// Stores a record that was read, unless the known one is at least as new. Drops the marks that
    /// the record already contains.
    pub fn update_record(&mut self, version: storage::Version, record: record::Record) {
        if self.version().is_some_and(|known| known >= version) {
            return;
        }
        self.counter = self.counter.max(record.counter);
        let is_newer = |mark: &mark::Mark| {
            let known = record.servers.get(&mark.server);
            known.is_some_and(|s| s.stamp < mark.stamp)
        };
        self.marks.retain(|_, mark| is_newer(mark));
        self.record = Some((version, record));
    }

    /// Stores the configured capacity, unless it is older than the known one.
    pub fn update_capacity(&mut self, capacity: capacity::Capacity) {
        let is_newer = |known: &capacity::Capacity| known.version > capacity.version;
        if self.capacity.as_ref().is_some_and(is_newer) {
            return;
        }
        let available = capacity.servers.iter().filter(|server| server.available);
        self.configured_available = available.map(|server| server.name.clone()).collect();
        self.capacity = Some(capacity);
    }

    /// Stores a mark; returns whether it was newer than the known state of its server.
    pub fn apply_mark(&mut self, mark: mark::Mark) -> bool {
        self.counter = self.counter.max(mark.stamp.counter);
        if self
            .latest_mark(&mark.server)
            .is_some_and(|known| known.stamp >= mark.stamp)
        {
            return false;
        }
        if let Some(record) = self.record()
            && !record.servers.contains_key(&mark.server)
        {
            return false;
        }
        self.marks.insert(mark.server.clone(), mark);
        true
    }

    /// Creates a stamp that is greater than all known ones.
    pub fn next_stamp(&mut self, by: instance::Instance) -> mark::Stamp {
        self.counter += 1;
        let counter = self.counter;
        mark::Stamp { counter, by }
    }

    /// Returns the highest known counter.
    #[must_use]
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// Returns the ejections by one holder that the record does not contain.
    #[must_use]
    pub fn unrecorded_ejections(&self, holder: instance::Instance) -> Vec<mark::Mark> {
        let is_by_holder = |mark: &&mark::Mark| mark.stamp.by == holder && mark.ejection.is_some();
        self.marks.values().filter(is_by_holder).cloned().collect()
    }

    /// Returns the newest valid mark of a server.
    #[must_use]
    pub fn latest_mark(&self, server: &id::Server) -> Option<mark::Mark> {
        let record = self.record()?;
        let stored = record.mark(server);
        let broadcast = self.marks.get(server);
        let broadcast = broadcast.filter(|mark| Self::is_valid(record, mark));
        match (stored, broadcast) {
            (Some(stored), Some(broadcast)) if stored.stamp >= broadcast.stamp => Some(stored),
            (_, Some(broadcast)) => Some(broadcast.clone()),
            (stored, None) => stored,
        }
    }

    /// Returns the slots of a server; `None` if the record does not list it.
    #[must_use]
    pub fn slots(&self, server: &id::Server) -> Option<u64> {
        let record = self.record()?;
        record.servers.get(server).map(|s| s.slots)
    }

    /// Returns the servers that this daemon sends no requests to because they are ejected.
    #[must_use]
    pub fn ejected(&self) -> BTreeSet<id::Server> {
        let ejections = self.ejections();
        let mut ejected: BTreeSet<_> = ejections.iter().map(|(_, name)| (*name).clone()).collect();
        let floor = self.floor();
        let mut serving = self.serving(&ejected);
        for (_, name) in ejections.iter().rev() {
            if serving >= floor {
                break;
            }
            if self.is_available(name) {
                ejected.remove(*name);
                serving += self.slots(name).unwrap_or(0);
            }
        }
        ejected
    }

    /// Whether, according to this daemon's state, the floor holds if `holder` ejects `server` and
    /// all other holders spend their remaining tokens.
    #[must_use]
    pub fn leaves_room(&self, server: &id::Server, holder: instance::Instance) -> bool {
        let ejections = self.ejections().into_iter();
        let mut ejected: BTreeSet<_> = ejections.map(|(_, name)| name.clone()).collect();
        ejected.insert(server.clone());
        self.serving(&ejected)
            >= self
                .floor()
                .saturating_add(self.unspent_tokens_except(holder))
    }

    /// Tokens of all holders other than `except`, less those that are known to be spent.
    fn unspent_tokens_except(&self, except: instance::Instance) -> u64 {
        let Some(record) = self.record() else {
            return 0;
        };
        let others = record
            .holders
            .iter()
            .filter(|(holder, _)| **holder != except);
        let unspent = |(holder, entry): (&instance::Instance, &record::Holder)| {
            entry
                .tokens
                .saturating_sub(self.unrecorded_spend(record, *holder))
        };
        others.map(unspent).sum()
    }

    /// Slots of the servers that a holder is known to have taken out of service by ejections that
    /// the record does not contain.
    fn unrecorded_spend(&self, record: &record::Record, holder: instance::Instance) -> u64 {
        let spends = self.marks.values().filter(|mark| mark.stamp.by == holder);
        let spends = spends.filter(|mark| mark.ejection.is_some());
        let servers = spends.filter_map(|mark| Some((record.servers.get(&mark.server)?, mark)));
        let spent = servers.filter(|(server, mark)| server.serves() && server.stamp < mark.stamp);
        spent.map(|(server, _)| server.slots).sum()
    }

    /// Ejected servers before the floor is applied, oldest ejection first.
    fn ejections(&self) -> Vec<(mark::Stamp, &id::Server)> {
        let Some(record) = self.record() else {
            return Vec::new();
        };
        let ejection_stamp = |(name, server): (&'_ id::Server, &record::Server)| {
            let broadcast = self.marks.get(name);
            let broadcast =
                broadcast.filter(|m| m.stamp > server.stamp && Self::is_valid(record, m));
            match broadcast {
                Some(mark) => mark.ejection.as_ref().map(|_| mark.stamp),
                None => server.ejection.as_ref().map(|_| server.stamp),
            }
        };
        let servers = record.servers.iter();
        let ejections = servers.filter_map(|pair| Some((ejection_stamp(pair)?, pair.0)));
        let mut ejections: Vec<_> = ejections.collect();
        ejections.sort_unstable();
        ejections
    }

    fn is_valid(record: &record::Record, mark: &mark::Mark) -> bool {
        mark.ejection.is_none() || record.holders.contains_key(&mark.stamp.by)
    }

    fn floor(&self) -> u64 {
        let recorded = self.record().map_or(0, |r| r.floor);
        self.capacity.as_ref().map_or(recorded, |c| c.floor)
    }

    /// Slots in service if `ejected` are out of service.
    fn serving(&self, ejected: &BTreeSet<id::Server>) -> u64 {
        let Some(record) = self.record() else {
            return 0;
        };
        let serves = |name: &id::Server| self.is_available(name) && !ejected.contains(name);
        let servers = record.servers.iter();
        servers
            .filter(|(name, _)| serves(name))
            .map(|(_, s)| s.slots)
            .sum()
    }

    fn is_available(&self, name: &id::Server) -> bool {
        let recorded = self.record().and_then(|r| r.servers.get(name));
        let is_configured_available =
            self.capacity.is_none() || self.configured_available.contains(name);
        is_configured_available && recorded.is_some_and(|s| s.available)
    }
}
