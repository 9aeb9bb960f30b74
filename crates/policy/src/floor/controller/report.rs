//! Reports outcomes to the balancer, and logs decisions with their reasons for operators.

use std::collections::BTreeSet;

use monsooncart_types::{id, time};

use crate::event as policy_event;
use crate::floor::action::Action;
use crate::floor::{decision, mark, record};

use super::{Controller, pending};

impl Controller {
    /// Reports the servers that were ejected or restored since the last report.
    pub(super) fn report_changes(&mut self, now: time::Time, actions: &mut Vec<Action>) {
        let ejected = self.view.ejected();
        self.log_changes(now, &ejected);
        for server in ejected.difference(&self.reported) {
            self.pending.remove(server);
            actions.push(Action::Report {
                server: server.clone(),
                ejection: policy_event::Ejection::Granted,
            });
        }
        for server in self.reported.difference(&ejected) {
            actions.push(Action::Report {
                server: server.clone(),
                ejection: policy_event::Ejection::Restored,
            });
        }
        self.reported = ejected;
    }

    pub(super) fn log_changes(&mut self, now: time::Time, ejected: &BTreeSet<id::Server>) {
        let reported = std::mem::take(&mut self.reported);
        for server in ejected.difference(&reported) {
            let Some(mark) = self.view.latest_mark(server) else {
                continue;
            };
            let stored = self.view.record().and_then(|r| r.mark(server));
            let verdict = decision::Verdict::Ejected {
                by: mark.stamp.by,
                recorded: stored.is_some_and(|stored| stored.stamp == mark.stamp),
            };
            self.log_decision(now, server, mark.ejection, verdict);
        }
        for server in reported.difference(ejected) {
            self.log_decision(now, server, None, decision::Verdict::Restored);
        }
        self.reported = reported;
    }

    pub(super) fn denied_verdict(&self, pending: &pending::Pending) -> decision::Verdict {
        let record = self.view.record();
        decision::Verdict::Denied {
            room: record.map_or(0, record::Record::room),
            free: self.spendable_tokens(),
            tokens: record.map_or(0, record::Record::tokens),
            asked: pending.asked.iter().copied().collect(),
            outage: self.backing_off,
        }
    }

    pub(super) fn log_decision(
        &mut self,
        now: time::Time,
        server: &id::Server,
        evidence: Option<mark::Ejection>,
        verdict: decision::Verdict,
    ) {
        self.log.push(decision::Decision {
            at: now,
            server: server.clone(),
            evidence,
            verdict,
        });
    }

    pub(super) fn report_stopped(&mut self, actions: &mut Vec<Action>) {
        let record = self.view.record();
        let is_holder = record.is_some_and(|r| r.holders.contains_key(&self.instance));
        let all_written = !is_holder && self.restores.is_empty() && self.tokens.spends().is_empty();
        if self.stopping && !self.stopped && all_written && self.in_flight.is_none() {
            self.stopped = true;
            actions.push(Action::Stopped);
        }
    }
}
