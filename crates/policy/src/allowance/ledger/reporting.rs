//! Reports: which are due, and what those of other daemons change.

use monsooncart_types::{instance, time};

use super::Ledger;
use crate::allowance::{REPORT_INTERVAL_PER_RECEIVER, peer, report};

/// Maximum number of earlier instances whose late reports are recognised.
const MAX_SUPERSEDED: usize = 256;

impl Ledger {
    /// Applies the report of another daemon.
    pub fn receive(&mut self, now: time::Time, report: &report::Report) {
        if report.from == self.own || self.superseded.contains(&report.from) {
            return;
        }
        if report.is_last {
            self.remove(report.from);
            return;
        }
        if !self.peers.contains_key(&report.from) || report.since == 0 {
            self.supersede(report);
        }
        let peer = self.peers.entry(report.from);
        let peer = peer.or_insert_with(|| peer::Peer::new(now));
        peer.apply(now, report);
        peer.echoed = report.echo;
        self.generation += 1;
        self.confirm();
    }

    /// Removes the earlier instances of the reporting daemon's VM.
    fn supersede(&mut self, report: &report::Report) {
        let is_earlier = |(daemon, peer): &(&instance::Instance, &peer::Peer)| {
            peer.vm == Some(report.vm) && **daemon != report.from
        };
        let earlier = self.peers.iter().filter(is_earlier);
        let earlier: Vec<_> = earlier.map(|(daemon, _)| *daemon).collect();
        for daemon in earlier {
            self.remove(daemon);
        }
    }

    /// Removes a daemon that is certainly gone.
    pub fn remove(&mut self, daemon: instance::Instance) {
        if self.superseded.len() >= MAX_SUPERSEDED {
            self.superseded.clear();
        }
        self.superseded.insert(daemon);
        self.received_grants.remove(&daemon);
        if self.peers.remove(&daemon).is_some() {
            self.generation += 1;
            self.confirm();
        }
    }

    /// Reports that are due, with their receivers.
    pub(super) fn take_reports(
        &mut self,
        now: time::Time,
    ) -> Vec<(instance::Instance, report::Report)> {
        let receivers = u32::try_from(self.receivers().len()).unwrap_or(u32::MAX);
        let interval = REPORT_INTERVAL_PER_RECEIVER.saturating_mul(receivers);
        let (changes, is_involved) = (self.changes, self.is_involved());
        let is_due = |peer: &peer::Peer| {
            let asks = is_involved && peer.is_holder;
            peer.is_report_due(now, changes, asks, interval)
        };
        if !self.peers.values().any(is_due) {
            return Vec::new();
        }
        let mut changed: Vec<_> = self.accounts.iter().collect();
        changed.sort_unstable_by_key(|(_, account)| account.changed_in);
        let claims = changed.into_iter().map(|(organisation, account)| {
            let claim = report::Claim {
                organisation: *organisation,
                weight: account.announced,
            };
            (account.changed_in, claim)
        });
        let claims: Vec<_> = claims.collect();
        let mut reports = Vec::new();
        for (daemon, peer) in self.peers.iter_mut().filter(|(_, peer)| is_due(peer)) {
            let since = peer.echoed.min(changes);
            let first = claims.partition_point(|(changed_in, _)| *changed_in <= since);
            let mut unknown = &claims[first..];
            let is_whole = unknown.len() <= report::MAX_CLAIMS;
            let mut upto = changes;
            if !is_whole {
                unknown = &unknown[..report::MAX_CLAIMS];
                upto = unknown
                    .last()
                    .map_or(changes, |(changed_in, _)| *changed_in);
            }
            peer.awaits_echo = false;
            peer.sent_upto = upto;
            peer.sent_at = Some(now);
            if peer.is_holder && !peer.is_synced {
                peer.asked_at.get_or_insert(now);
            }
            let report = report::Report {
                from: self.own,
                vm: self.vm,
                since,
                upto,
                claims: unknown.iter().map(|(_, claim)| *claim).collect(),
                is_whole,
                echo: peer.applied,
                is_last: false,
            };
            reports.push((*daemon, report));
        }
        reports
    }

    /// The report of a daemon that stops and admits no request any more.
    #[must_use]
    pub fn last_report(&self) -> report::Report {
        report::Report {
            from: self.own,
            vm: self.vm,
            since: 0,
            upto: self.changes,
            claims: Vec::new(),
            is_whole: true,
            echo: 0,
            is_last: true,
        }
    }

    /// Daemons that receive the reports.
    #[must_use]
    pub fn receivers(&self) -> Vec<instance::Instance> {
        let addressed = self.peers.iter().filter(|(_, peer)| peer.is_addressed());
        addressed.map(|(daemon, _)| *daemon).collect()
    }
}
