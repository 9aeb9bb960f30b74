//! Platform calls, one at a time.

use std::time::Duration;

use monsooncart_types::{id, time};

use crate::floor::action::Action;
use crate::floor::{mark, record, storage};

use super::{Controller, StoreCall, plan};

/// Delay before a retry after one failed call; doubled with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of doublings of the retry delay, which limits it to 32 s, or up to twice that
/// with jitter.
const MAX_RETRY_DOUBLINGS: u32 = 6;

impl Controller {
    pub(super) fn handle_response(
        &mut self,
        now: time::Time,
        number: u64,
        response: storage::Response,
    ) {
        let Some(call) = self.in_flight.take_if(|c| c.number == number) else {
            return;
        };
        match (response, call.put) {
            (storage::Response::Read(Some((version, record))), _) => {
                self.needs_read = false;
                self.consecutive_failures = 0;
                self.update_record(version, record);
                self.mark_record_read();
            }
            (storage::Response::Read(None), _) => {
                self.needs_read = false;
                self.mark_record_read();
                if self.view.record().is_some() {
                    // A record that disappeared is not recreated: its tokens may still be spent.
                    self.back_off(now);
                }
            }
            (storage::Response::Written(version), Some(record)) => {
                self.needs_read = false;
                self.consecutive_failures = 0;
                self.update_record(version, record);
            }
            (storage::Response::Conflict, _) => self.needs_read = true,
            (storage::Response::Unknown, Some(_)) => self.needs_read = true,
            _ => {
                self.needs_read = true;
                self.back_off(now);
            }
        }
    }

    /// Suspends platform calls with exponential backoff. The jitter is derived from the daemon's
    /// instance, so that the daemons of a fleet do not all retry at once.
    pub(super) fn back_off(&mut self, now: time::Time) {
        let delay = MIN_RETRY_DELAY * (1 << self.consecutive_failures.min(MAX_RETRY_DOUBLINGS));
        let jitter = delay * (self.instance.0 % 256) as u32 / 256;
        self.consecutive_failures += 1;
        self.backing_off = true;
        self.retry_at = now + delay + jitter;
    }

    pub(super) fn mark_record_read(&mut self) {
        for pending in self.pending.values_mut() {
            pending.record_read = true;
        }
    }

    pub(super) fn update_record(&mut self, version: storage::Version, record: record::Record) {
        if self.view.version().is_some_and(|known| known >= version) {
            return;
        }
        self.tokens.update_record(version, &record, self.instance);
        self.gone_holders
            .retain(|holder| record.holders.contains_key(holder));
        let is_unwritten = |server: &id::Server, mark: &mut mark::Mark| {
            let known = record.servers.get(server);
            known.is_some_and(|s| s.stamp < mark.stamp)
        };
        self.restores.retain(is_unwritten);
        self.view.update_record(version, record);
    }

    /// Starts the next platform call, if one is needed and none is in flight.
    pub(super) fn start_call(&mut self, actions: &mut Vec<Action>) {
        if self.in_flight.is_some() || self.backing_off {
            return;
        }
        if self.needs_read {
            if self.has_use_for_record() {
                self.start_get(actions);
            }
            return;
        }
        let (condition, base) = match (self.view.version(), self.view.record()) {
            (Some(version), Some(record)) => (storage::Condition::At(version), record.clone()),
            _ => (storage::Condition::Absent, record::Record::default()),
        };
        let plan = plan::plan(self, base.clone());
        let mut must_reread = false;
        for server in &plan.denied {
            if let Some(pending) = self.pending.get_mut(server) {
                pending.lacks_room = pending.record_read;
                must_reread |= !pending.record_read;
            }
        }
        // Changes that any daemon would write are left to the first holder, if there is one.
        let is_first_holder = self.holders.first().is_none_or(|h| *h == self.instance);
        if plan.record != base
            && (plan.has_own_changes || is_first_holder)
            && self.view.capacity().is_some()
        {
            if let storage::Condition::At(version) = condition {
                self.tokens.reserve(version, plan.returned_tokens);
            }
            self.start_put(condition, plan.record, actions);
        } else if must_reread {
            self.start_get(actions);
        }
    }

    /// Whether there is a reason to read the record. A daemon without tokens or pending changes
    /// reads it only once.
    pub(super) fn has_use_for_record(&self) -> bool {
        let has_pending = !self.pending.is_empty() || !self.restores.is_empty();
        let owns_tokens = self.holders.contains(&self.instance) || !self.tokens.spends().is_empty();
        let never_read = self.view.record().is_none() && self.view.capacity().is_some();
        has_pending || owns_tokens || never_read || (self.stopping && !self.stopped)
    }

    pub(super) fn start_get(&mut self, actions: &mut Vec<Action>) {
        self.calls_started += 1;
        let number = self.calls_started;
        self.in_flight = Some(StoreCall { number, put: None });
        actions.push(Action::Get { call: number });
    }

    pub(super) fn start_put(
        &mut self,
        condition: storage::Condition,
        record: record::Record,
        actions: &mut Vec<Action>,
    ) {
        self.calls_started += 1;
        let number = self.calls_started;
        let put = Some(record.clone());
        self.in_flight = Some(StoreCall { number, put });
        actions.push(Action::Put {
            call: number,
            condition,
            record,
        });
    }
}
