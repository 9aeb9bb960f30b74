//! The keeper's calls of the platform, one at a time.

use std::time::Duration;

use monsooncart_types::{id, time};

use crate::floor::action::Action;
use crate::floor::{mark, record, storage};

use super::{Call, Controller, plan};

/// Wait before the platform is tried again after one failure; it doubles with each further one.
const RETRY_MIN: Duration = Duration::from_millis(500);

/// Doublings of the wait at most: 32 s, and twice that for the last daemon.
const RETRY_DOUBLINGS: u32 = 6;

impl Controller {
    pub(super) fn stored(&mut self, now: time::Time, number: u64, answer: storage::Response) {
        let Some(call) = self.call.take_if(|c| c.number == number) else {
            return;
        };
        match (answer, call.put) {
            (storage::Response::Read(Some((version, record))), _) => {
                self.stale = false;
                self.failures = 0;
                self.read(version, record);
                self.refresh();
            }
            (storage::Response::Read(None), _) => {
                self.stale = false;
                self.refresh();
                if self.view.record().is_some() {
                    // A record that was there is not made anew: its tokens may still be spent.
                    self.fail(now);
                }
            }
            (storage::Response::Written(version), Some(record)) => {
                self.stale = false;
                self.failures = 0;
                self.read(version, record);
            }
            (storage::Response::Conflict, _) => self.stale = true,
            (storage::Response::Unknown, Some(_)) => self.stale = true,
            _ => {
                self.stale = true;
                self.fail(now);
            }
        }
    }

    /// Leaves the platform alone for a while, for longer with each failure. The daemons of a fleet
    /// wait for different times, so that they do not return all at once.
    pub(super) fn fail(&mut self, now: time::Time) {
        let wait = RETRY_MIN * (1 << self.failures.min(RETRY_DOUBLINGS));
        let spread = wait * (self.instance.0 % 256) as u32 / 256;
        self.failures += 1;
        self.outage = true;
        self.retry = now + wait + spread;
    }

    pub(super) fn refresh(&mut self) {
        for want in self.wants.values_mut() {
            want.fresh = true;
        }
    }

    pub(super) fn read(&mut self, version: storage::Version, record: record::Record) {
        if self.view.version().is_some_and(|known| known >= version) {
            return;
        }
        self.tokens.read(version, &record, self.instance);
        self.gone
            .retain(|holder| record.holders.contains_key(holder));
        let unwritten = |server: &id::Server, mark: &mut mark::Mark| {
            let known = record.servers.get(server);
            known.is_some_and(|s| s.stamp < mark.stamp)
        };
        self.restores.retain(unwritten);
        self.view.read(version, record);
    }

    /// Starts the next call of the platform, where one is needed.
    pub(super) fn call(&mut self, actions: &mut Vec<Action>) {
        if self.call.is_some() || self.outage {
            return;
        }
        if self.stale {
            if self.needs_record() {
                self.get(actions);
            }
            return;
        }
        let (condition, base) = match (self.view.version(), self.view.record()) {
            (Some(version), Some(record)) => (storage::Condition::At(version), record.clone()),
            _ => (storage::Condition::Absent, record::Record::default()),
        };
        let plan = plan::plan(self, base.clone());
        let mut reread = false;
        for server in &plan.denied {
            if let Some(want) = self.wants.get_mut(server) {
                want.denied = want.fresh;
                reread |= !want.fresh;
            }
        }
        let delegate = self.holders.first().is_none_or(|h| *h == self.instance);
        if plan.record != base && (plan.own || delegate) && self.view.capacity().is_some() {
            if let storage::Condition::At(version) = condition {
                self.tokens.set_aside(version, plan.returned);
            }
            self.put(condition, plan.record, actions);
        } else if reread {
            self.get(actions);
        }
    }

    pub(super) fn needs_record(&self) -> bool {
        let pending = !self.wants.is_empty() || !self.restores.is_empty();
        let duty = self.holders.contains(&self.instance) || !self.tokens.spends().is_empty();
        let unknown = self.view.record().is_none() && self.view.capacity().is_some();
        pending || duty || unknown || (self.stopping && !self.stopped)
    }

    pub(super) fn get(&mut self, actions: &mut Vec<Action>) {
        self.calls += 1;
        let number = self.calls;
        self.call = Some(Call { number, put: None });
        actions.push(Action::Get { call: number });
    }

    pub(super) fn put(
        &mut self,
        condition: storage::Condition,
        record: record::Record,
        actions: &mut Vec<Action>,
    ) {
        self.calls += 1;
        let number = self.calls;
        let put = Some(record.clone());
        self.call = Some(Call { number, put });
        actions.push(Action::Put {
            call: number,
            condition,
            record,
        });
    }
}
