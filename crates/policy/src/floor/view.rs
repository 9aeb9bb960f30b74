//! What one daemon knows of a service's ejections.
//!
//! Marks that holders spread lie on top of the newest record that was read. A mark that ejects
//! counts only while its decider is a holder of that record, as the tokens of a holder that was
//! removed may be in other hands. What this daemon takes for ejected is cut to the floor by what
//! it knows itself, the last ejected first.

use std::collections::{BTreeMap, BTreeSet};

use monsooncart_types::{id, instance};

use crate::floor::{capacity, mark, record, storage};

/// One daemon's knowledge.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    record: Option<(storage::Version, record::Record)>,
    capacity: Option<capacity::Capacity>,
    /// Servers that the capacity says are available.
    configured: BTreeSet<id::Server>,
    marks: BTreeMap<id::Server, mark::Mark>,
    counter: u64,
}

impl View {
    /// The newest record that was read.
    #[must_use]
    pub fn record(&self) -> Option<&record::Record> {
        self.record.as_ref().map(|(_, record)| record)
    }

    /// The version of that record.
    #[must_use]
    pub fn version(&self) -> Option<storage::Version> {
        self.record.as_ref().map(|(version, _)| *version)
    }

    /// The capacity that the configuration says.
    #[must_use]
    pub fn capacity(&self) -> Option<&capacity::Capacity> {
        self.capacity.as_ref()
    }

    /// Takes a record as read; an older one than is known changes nothing.
    pub fn read(&mut self, version: storage::Version, record: record::Record) {
        if self.version().is_some_and(|known| known >= version) {
            return;
        }
        self.counter = self.counter.max(record.counter);
        let newer = |mark: &mark::Mark| {
            let known = record.servers.get(&mark.server);
            known.is_some_and(|s| s.stamp < mark.stamp)
        };
        self.marks.retain(|_, mark| newer(mark));
        self.record = Some((version, record));
    }

    /// Takes the capacity that the configuration says; an older one changes nothing.
    pub fn configure(&mut self, capacity: capacity::Capacity) {
        let older = |known: &capacity::Capacity| known.version > capacity.version;
        if self.capacity.as_ref().is_some_and(older) {
            return;
        }
        let available = capacity.servers.iter().filter(|server| server.available);
        self.configured = available.map(|server| server.name.clone()).collect();
        self.capacity = Some(capacity);
    }

    /// Takes a mark; whether it is news.
    pub fn mark(&mut self, mark: mark::Mark) -> bool {
        self.counter = self.counter.max(mark.stamp.counter);
        if self
            .latest(&mark.server)
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

    /// A stamp that is greater than all that are known.
    pub fn stamp(&mut self, by: instance::Instance) -> mark::Stamp {
        self.counter += 1;
        let counter = self.counter;
        mark::Stamp { counter, by }
    }

    /// The highest counter that is known.
    #[must_use]
    pub fn counter(&self) -> u64 {
        self.counter
    }

    /// Ejecting marks of one holder that the record does not show.
    #[must_use]
    pub fn marks_by(&self, holder: instance::Instance) -> Vec<mark::Mark> {
        let by = |mark: &&mark::Mark| mark.stamp.by == holder && mark.ejection.is_some();
        self.marks.values().filter(by).cloned().collect()
    }

    /// The mark of a server that counts.
    #[must_use]
    pub fn latest(&self, server: &id::Server) -> Option<mark::Mark> {
        let record = self.record()?;
        let stored = record.mark(server);
        let spread = self.marks.get(server);
        let spread = spread.filter(|mark| Self::counts(record, mark));
        match (stored, spread) {
            (Some(stored), Some(spread)) if stored.stamp >= spread.stamp => Some(stored),
            (_, Some(spread)) => Some(spread.clone()),
            (stored, None) => stored,
        }
    }

    /// Slots of a server; `None` where the record does not list it.
    #[must_use]
    pub fn slots(&self, server: &id::Server) -> Option<u64> {
        let record = self.record()?;
        record.servers.get(server).map(|s| s.slots)
    }

    /// The servers that this daemon gives no work to, as they are ejected.
    #[must_use]
    pub fn ejected(&self) -> BTreeSet<id::Server> {
        let marked = self.marked();
        let mut out: BTreeSet<_> = marked.iter().map(|(_, name)| (*name).clone()).collect();
        let floor = self.floor();
        let mut serving = self.serving(&out);
        for (_, name) in marked.iter().rev() {
            if serving >= floor {
                break;
            }
            if self.available(name) {
                out.remove(*name);
                serving += self.slots(name).unwrap_or(0);
            }
        }
        out
    }

    /// Whether this daemon's own knowledge leaves room for a holder to eject a server, beside what
    /// the other holders may do with their tokens.
    #[must_use]
    pub fn leaves_room(&self, server: &id::Server, holder: instance::Instance) -> bool {
        let marked = self.marked().into_iter();
        let mut out: BTreeSet<_> = marked.map(|(_, name)| name.clone()).collect();
        out.insert(server.clone());
        self.serving(&out) >= self.floor().saturating_add(self.promised(holder))
    }

    /// Tokens of all holders but one, less those that are known to be spent.
    fn promised(&self, except: instance::Instance) -> u64 {
        let Some(record) = self.record() else {
            return 0;
        };
        let others = record
            .holders
            .iter()
            .filter(|(holder, _)| **holder != except);
        let left = |(holder, entry): (&instance::Instance, &record::Holder)| {
            entry.tokens.saturating_sub(self.spent(record, *holder))
        };
        others.map(left).sum()
    }

    /// Slots that a holder is known to have taken out of service and the record does not show.
    fn spent(&self, record: &record::Record, holder: instance::Instance) -> u64 {
        let spends = self.marks.values().filter(|mark| mark.stamp.by == holder);
        let spends = spends.filter(|mark| mark.ejection.is_some());
        let servers = spends.filter_map(|mark| Some((record.servers.get(&mark.server)?, mark)));
        let spent = servers.filter(|(server, mark)| server.serves() && server.stamp < mark.stamp);
        spent.map(|(server, _)| server.slots).sum()
    }

    /// Servers with an ejecting mark that counts, and the order of it, oldest first.
    fn marked(&self) -> Vec<(mark::Stamp, &id::Server)> {
        let Some(record) = self.record() else {
            return Vec::new();
        };
        let ejecting = |(name, server): (&'_ id::Server, &record::Server)| {
            let spread = self.marks.get(name);
            let spread = spread.filter(|m| m.stamp > server.stamp && Self::counts(record, m));
            match spread {
                Some(mark) => mark.ejection.as_ref().map(|_| mark.stamp),
                None => server.ejection.as_ref().map(|_| server.stamp),
            }
        };
        let servers = record.servers.iter();
        let marked = servers.filter_map(|pair| Some((ejecting(pair)?, pair.0)));
        let mut marked: Vec<_> = marked.collect();
        marked.sort_unstable();
        marked
    }

    fn counts(record: &record::Record, mark: &mark::Mark) -> bool {
        mark.ejection.is_none() || record.holders.contains_key(&mark.stamp.by)
    }

    fn floor(&self) -> u64 {
        let recorded = self.record().map_or(0, |r| r.floor);
        self.capacity.as_ref().map_or(recorded, |c| c.floor)
    }

    /// Slots in service where `out` is ejected.
    fn serving(&self, out: &BTreeSet<id::Server>) -> u64 {
        let Some(record) = self.record() else {
            return 0;
        };
        let serves = |name: &id::Server| self.available(name) && !out.contains(name);
        let servers = record.servers.iter();
        servers
            .filter(|(name, _)| serves(name))
            .map(|(_, s)| s.slots)
            .sum()
    }

    fn available(&self, name: &id::Server) -> bool {
        let recorded = self.record().and_then(|r| r.servers.get(name));
        let configured = self.capacity.is_none() || self.configured.contains(name);
        configured && recorded.is_some_and(|s| s.available)
    }
}
