//! A holder's own tokens: what it may spend for certain, whatever became of its writes.

use std::collections::BTreeMap;

use monsooncart_types::{id, instance};

use crate::floor::{mark, record, storage};

/// Tokens that a write still under way may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Return {
    /// The record's version that the write is conditional on.
    base: storage::Version,
    tokens: u64,
}

/// A spend that the record does not show yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Spend {
    pub mark: mark::Mark,
    pub slots: u64,
}

/// A holder's tokens beside what the record says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Tokens {
    spends: BTreeMap<u64, Spend>,
    spent: u64,
    returning: Option<Return>,
}

impl Tokens {
    /// Tokens that can be spent, by the newest record that was read.
    pub fn free(&self, record: &record::Record, holder: instance::Instance) -> u64 {
        let spent: u64 = self.spends.values().map(|s| s.slots).sum();
        let returning = self.returning.map_or(0, |r| r.tokens);
        record.held(holder).saturating_sub(spent + returning)
    }

    /// Notes a spend.
    pub fn spend(&mut self, mark: mark::Mark, slots: u64) {
        self.spent += 1;
        self.spends.insert(self.spent, Spend { mark, slots });
    }

    /// Spends that are to be written back, by their numbers.
    pub fn spends(&self) -> &BTreeMap<u64, Spend> {
        &self.spends
    }

    /// Whether a spend of this server is to be written back.
    pub fn spent(&self, server: &id::Server) -> bool {
        self.spends.values().any(|s| s.mark.server == *server)
    }

    /// Sets tokens aside before a write that returns them: it may take effect at any time until
    /// the record has a later version than `base`.
    pub fn set_aside(&mut self, base: storage::Version, tokens: u64) {
        let same = self.returning.filter(|r| r.base == base);
        let tokens = same.map_or(tokens, |r| r.tokens.max(tokens));
        self.returning = (tokens > 0).then_some(Return { base, tokens });
    }

    /// Takes a newer record.
    pub fn read(
        &mut self,
        version: storage::Version,
        record: &record::Record,
        holder: instance::Instance,
    ) {
        if self.returning.is_some_and(|r| r.base < version) {
            self.returning = None;
        }
        match record.holders.get(&holder) {
            Some(entry) => self.spends.retain(|number, _| *number > entry.written),
            None => self.spends.clear(),
        }
    }
}
