//! The record that a keeper wants to stand.

use std::collections::BTreeSet;

use monsooncart_types::{id, instance};

use crate::floor::{mark, record};

use super::Controller;

/// A record to write.
pub(super) struct Plan {
    /// The record.
    pub record: record::Record,
    /// Wanted ejections that the free room does not allow.
    pub denied: Vec<id::Server>,
    /// Tokens of this daemon that the record gives back unspent.
    pub returned: u64,
    /// Whether the record differs by more than its capacity and lost holders.
    pub own: bool,
}

/// Makes the plan on top of a record that was read.
pub(super) fn plan(keeper: &Controller, base: record::Record) -> Plan {
    let before = base.held(keeper.instance);
    let record = reconcile(keeper, base);
    let reconciled = record.clone();
    let record = write_back(keeper, record);
    let spent = before.saturating_sub(record.held(keeper.instance));
    let (record, denied) = eject(keeper, record);
    let record = hold(keeper, record).relieve(keeper.instance);
    let returned = before.saturating_sub(spent + record.held(keeper.instance));
    Plan {
        own: record != reconciled,
        record,
        denied,
        returned,
    }
}

fn reconcile(keeper: &Controller, mut record: record::Record) -> record::Record {
    for holder in &keeper.gone {
        for mark in keeper.view.marks_by(*holder) {
            record = adopt(record, *holder, mark);
        }
    }
    let Some(capacity) = keeper.view.capacity() else {
        return record;
    };
    let gone: BTreeSet<_> = keeper.gone.iter().copied().collect();
    record.reconcile(capacity, &gone, keeper.instance)
}

/// Writes a spend that a lost holder had spread and not written back, within its tokens.
fn adopt(record: record::Record, holder: instance::Instance, mark: mark::Mark) -> record::Record {
    let slots = record.servers.get(&mark.server).map_or(0, |s| s.slots);
    let Some(entry) = record.holders.get(&holder) else {
        return record;
    };
    if entry.tokens < slots {
        return record;
    }
    let number = entry.written + 1;
    record.spend(holder, number, mark)
}

fn write_back(keeper: &Controller, mut record: record::Record) -> record::Record {
    for (number, spend) in keeper.tokens.spends() {
        record = record.spend(keeper.instance, *number, spend.mark.clone());
    }
    for mark in keeper.restores.values() {
        record = record.restore(mark.clone());
    }
    record
}

fn eject(keeper: &Controller, mut record: record::Record) -> (record::Record, Vec<id::Server>) {
    let mut denied = Vec::new();
    for (server, want) in &keeper.wants {
        if keeper.tokens.spent(server) {
            continue;
        }
        let counter = record.counter.max(keeper.view.counter()) + 1;
        let by = keeper.instance;
        let mark = mark::Mark {
            server: server.clone(),
            stamp: mark::Stamp { counter, by },
            ejection: Some(want.ejection.clone()),
        };
        match record.clone().eject(mark) {
            Ok(ejected) => record = ejected,
            Err(_) => denied.push(server.clone()),
        }
    }
    (record, denied)
}

fn hold(keeper: &Controller, record: record::Record) -> record::Record {
    let held = record.held(keeper.instance);
    if keeper.stopping {
        return record.release(keeper.instance);
    }
    let target = target(keeper, &record);
    if target == held {
        return record;
    }
    if target == 0 {
        return record.release(keeper.instance);
    }
    record.hold(keeper.instance, &keeper.vm, target)
}

/// Tokens that this daemon should hold: half of the room in whole servers, rounded up, is dealt
/// out by rank; the rest stays free for a write of the record.
fn target(keeper: &Controller, record: &record::Record) -> u64 {
    let Some(rank) = keeper.holders.iter().position(|h| *h == keeper.instance) else {
        return 0;
    };
    let available = record.servers.values().filter(|s| s.available);
    let Some(unit) = available.map(|s| s.slots).max().filter(|unit| *unit > 0) else {
        return 0;
    };
    let held: u64 = keeper.holders.iter().map(|h| record.held(*h)).sum();
    let total = record.room().saturating_add_unsigned(held);
    let pieces = (u64::try_from(total).unwrap_or(0) / unit).div_ceil(2);
    let count = keeper.holders.len() as u64;
    let extra = u64::from((rank as u64) < pieces % count);
    (pieces / count + extra) * unit
}
