//! What the keeper tells: outcomes to the decisions, grounds to operators.

use std::collections::BTreeSet;

use monsooncart_types::{id, time};

use crate::event as policy;
use crate::floor::action::Action;
use crate::floor::{decision, mark, record};

use super::{Controller, want};

impl Controller {
    /// Tells the decisions what changed.
    pub(super) fn tell(&mut self, now: time::Time, actions: &mut Vec<Action>) {
        let ejected = self.view.ejected();
        self.note_changes(now, &ejected);
        for server in ejected.difference(&self.told) {
            self.wants.remove(server);
            actions.push(Action::Report {
                server: server.clone(),
                ejection: policy::Ejection::Granted,
            });
        }
        for server in self.told.difference(&ejected) {
            actions.push(Action::Report {
                server: server.clone(),
                ejection: policy::Ejection::Restored,
            });
        }
        self.told = ejected;
    }

    pub(super) fn note_changes(&mut self, now: time::Time, ejected: &BTreeSet<id::Server>) {
        let told = std::mem::take(&mut self.told);
        for server in ejected.difference(&told) {
            let Some(mark) = self.view.latest(server) else {
                continue;
            };
            let stored = self.view.record().and_then(|r| r.mark(server));
            let verdict = decision::Verdict::Ejected {
                by: mark.stamp.by,
                recorded: stored.is_some_and(|stored| stored.stamp == mark.stamp),
            };
            self.note(now, server, mark.ejection, verdict);
        }
        for server in told.difference(ejected) {
            self.note(now, server, None, decision::Verdict::Restored);
        }
        self.told = told;
    }

    pub(super) fn denial(&self, want: &want::Want) -> decision::Verdict {
        let record = self.view.record();
        decision::Verdict::Denied {
            room: record.map_or(0, record::Record::room),
            free: self.free(),
            tokens: record.map_or(0, record::Record::tokens),
            asked: want.asked.iter().copied().collect(),
            outage: self.outage,
        }
    }

    pub(super) fn note(
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

    pub(super) fn finish(&mut self, actions: &mut Vec<Action>) {
        let record = self.view.record();
        let holder = record.is_some_and(|r| r.holders.contains_key(&self.instance));
        let written = !holder && self.restores.is_empty() && self.tokens.spends().is_empty();
        if self.stopping && !self.stopped && written && self.call.is_none() {
            self.stopped = true;
            actions.push(Action::Stopped);
        }
    }
}
