//! Computes the record that the controller should write next.

use std::collections::BTreeSet;

use monsooncart_types::{id, instance};

use crate::floor::{mark, record};

use super::Controller;

/// The next record and how it differs from the current one.
pub(super) struct Plan {
    /// The record to write.
    pub record: record::Record,
    /// Requested ejections for which the record has no room.
    pub denied: Vec<id::Server>,
    /// Tokens of this daemon that the record returns unspent.
    pub returned_tokens: u64,
    /// Whether the record contains changes of this daemon's own, beside updated capacity and
    /// removed holders, which any daemon would write.
    pub has_own_changes: bool,
}

/// Computes the plan from a record that was read.
pub(super) fn plan(controller: &Controller, base: record::Record) -> Plan {
    let tokens_before = base.tokens_of(controller.instance);
    let record = reconcile(controller, base);
    let reconciled = record.clone();
    let record = write_back(controller, record);
    let spent = tokens_before.saturating_sub(record.tokens_of(controller.instance));
    let (record, denied) = eject(controller, record);
    let record = adjust_tokens(controller, record).restore_floor(controller.instance);
    let returned_tokens =
        tokens_before.saturating_sub(spent + record.tokens_of(controller.instance));
    Plan {
        has_own_changes: record != reconciled,
        record,
        denied,
        returned_tokens,
    }
}

fn reconcile(controller: &Controller, mut record: record::Record) -> record::Record {
    for holder in &controller.gone_holders {
        for mark in controller.view.unrecorded_ejections(*holder) {
            record = record_lost_spend(record, *holder, mark);
        }
    }
    let Some(capacity) = controller.view.capacity() else {
        return record;
    };
    let gone: BTreeSet<_> = controller.gone_holders.iter().copied().collect();
    record.reconcile(capacity, &gone, controller.instance)
}

/// Records a spend that a lost holder broadcast but did not write back, if the holder's tokens
/// cover it.
fn record_lost_spend(
    record: record::Record,
    holder: instance::Instance,
    mark: mark::Mark,
) -> record::Record {
    let slots = record.servers.get(&mark.server).map_or(0, |s| s.slots);
    let Some(entry) = record.holders.get(&holder) else {
        return record;
    };
    if entry.tokens < slots {
        return record;
    }
    let number = entry.written + 1;
    record.record_spend(holder, number, mark)
}

/// Adds this daemon's spends and restores that the record does not contain.
fn write_back(controller: &Controller, mut record: record::Record) -> record::Record {
    for (number, spend) in controller.tokens.spends() {
        record = record.record_spend(controller.instance, *number, spend.mark.clone());
    }
    for mark in controller.restores.values() {
        record = record.restore(mark.clone());
    }
    record
}

/// Makes the pending ejections with free tokens; also returns the servers for which there is no
/// room.
fn eject(controller: &Controller, mut record: record::Record) -> (record::Record, Vec<id::Server>) {
    let mut denied = Vec::new();
    for (server, pending) in &controller.pending {
        if controller.tokens.has_spend(server) {
            continue;
        }
        let counter = record.counter.max(controller.view.counter()) + 1;
        let by = controller.instance;
        let mark = mark::Mark {
            server: server.clone(),
            stamp: mark::Stamp { counter, by },
            ejection: Some(pending.ejection.clone()),
        };
        match record.clone().eject(mark) {
            Ok(ejected) => record = ejected,
            Err(_) => denied.push(server.clone()),
        }
    }
    (record, denied)
}

/// Sets this daemon's tokens to their target, or returns all of them when it is stopping.
fn adjust_tokens(controller: &Controller, record: record::Record) -> record::Record {
    let granted_tokens = record.tokens_of(controller.instance);
    if controller.stopping {
        return record.remove_holder(controller.instance);
    }
    let target = target_tokens(controller, &record);
    if target == granted_tokens {
        return record;
    }
    if target == 0 {
        return record.remove_holder(controller.instance);
    }
    record.set_tokens(controller.instance, &controller.vm, target)
}

/// Returns the number of tokens that this daemon should hold. Half of the tokens that are free or
/// granted to a holder, in whole servers and rounded up, is divided among the holders in rank
/// order; the rest stays free for writes of the record.
fn target_tokens(controller: &Controller, record: &record::Record) -> u64 {
    let Some(rank) = controller
        .holders
        .iter()
        .position(|h| *h == controller.instance)
    else {
        return 0;
    };
    let available = record.servers.values().filter(|s| s.available);
    let Some(max_server_slots) = available
        .map(|s| s.slots)
        .max()
        .filter(|max_slots| *max_slots > 0)
    else {
        return 0;
    };
    let granted_tokens: u64 = controller
        .holders
        .iter()
        .map(|h| record.tokens_of(*h))
        .sum();
    let total_tokens = record.room().saturating_add_unsigned(granted_tokens);
    let servers_to_grant =
        (u64::try_from(total_tokens).unwrap_or(0) / max_server_slots).div_ceil(2);
    let holder_count = controller.holders.len() as u64;
    let extra = u64::from((rank as u64) < servers_to_grant % holder_count);
    (servers_to_grant / holder_count + extra) * max_server_slots
}
