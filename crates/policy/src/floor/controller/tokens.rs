//! Accounting of this daemon's own tokens: how many it may safely spend, whatever the result of its
//! writes.

use std::collections::BTreeMap;

use monsooncart_types::{id, instance};

use crate::floor::{mark, record, storage};

/// Tokens that a write without a known result may have returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingReturn {
    /// Record version that the write is conditional on.
    base: storage::Version,
    tokens: u64,
}

/// A spend that the record does not contain yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Spend {
    pub mark: mark::Mark,
    pub slots: u64,
}

/// Changes to a holder's tokens that are not reflected in the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Tokens {
    spends: BTreeMap<u64, Spend>,
    last_number: u64,
    pending_return: Option<PendingReturn>,
}

impl Tokens {
    /// Returns the number of tokens that can be spent, given the newest record that was read.
    pub fn spendable(&self, record: &record::Record, holder: instance::Instance) -> u64 {
        let spent: u64 = self.spends.values().map(|s| s.slots).sum();
        let returning = self.pending_return.map_or(0, |r| r.tokens);
        record.tokens_of(holder).saturating_sub(spent + returning)
    }

    /// Records a spend under the next number.
    pub fn spend(&mut self, mark: mark::Mark, slots: u64) {
        self.last_number += 1;
        self.spends.insert(self.last_number, Spend { mark, slots });
    }

    /// Returns the spends to be written back, by number.
    pub fn spends(&self) -> &BTreeMap<u64, Spend> {
        &self.spends
    }

    /// Whether a spend on this server is still to be written back.
    pub fn has_spend(&self, server: &id::Server) -> bool {
        self.spends.values().any(|s| s.mark.server == *server)
    }

    /// Reserves tokens before a write that returns them: until the record has a later version than
    /// `base`, the write may still take effect.
    pub fn reserve(&mut self, base: storage::Version, tokens: u64) {
        let reserved = self.pending_return.filter(|r| r.base == base);
        let tokens = reserved.map_or(tokens, |r| r.tokens.max(tokens));
        self.pending_return = (tokens > 0).then_some(PendingReturn { base, tokens });
    }

    /// Drops the reservation if its write can no longer take effect, and the spends that the record
    /// contains.
    pub fn update_record(
        &mut self,
        version: storage::Version,
        record: &record::Record,
        holder: instance::Instance,
    ) {
        if self.pending_return.is_some_and(|r| r.base < version) {
            self.pending_return = None;
        }
        match record.holders.get(&holder) {
            Some(entry) => self.spends.retain(|number, _| *number > entry.written),
            None => self.spends.clear(),
        }
    }
}
