//! What is known of another daemon.

use std::time::Duration;

use monsooncart_types::{map, time};

use super::{Organisation, RESEND_INTERVAL, SYNC_TIMEOUT, report, weight};

/// Another daemon with its weights.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Identifies its VM; `None` before its first report.
    pub vm: Option<u64>,
    /// Whether it is in an entry set.
    pub is_holder: bool,
    /// Whether it is in the same data centre.
    pub is_local: bool,
    /// Its weights.
    pub claims: map::Map<Organisation, weight::Weight>,
    /// Number of the last of its changes that is applied.
    pub applied: u64,
    /// Number of the last change of this daemon that it has echoed.
    pub echoed: u64,
    /// When it was heard last, or became known.
    pub heard_at: time::Time,
    /// When it was first asked for its weights.
    pub asked_at: Option<time::Time>,
    /// Whether all of its weights at some moment were received.
    pub is_synced: bool,
    /// Whether it waits for an echo.
    pub awaits_echo: bool,
    /// Number of the last change in the latest report to it.
    pub sent_upto: u64,
    /// When the latest report was sent to it.
    pub sent_at: Option<time::Time>,
}

impl Peer {
    /// Creates a daemon of which nothing was received yet.
    pub fn new(now: time::Time) -> Self {
        Self {
            vm: None,
            is_holder: false,
            is_local: false,
            claims: map::Map::default(),
            applied: 0,
            echoed: 0,
            heard_at: now,
            asked_at: None,
            is_synced: false,
            awaits_echo: false,
            sent_upto: 0,
            sent_at: None,
        }
    }

    /// Applies the changes of a report, unless an earlier one is missing.
    pub fn apply(&mut self, now: time::Time, report: &report::Report) {
        self.heard_at = now;
        self.vm = Some(report.vm);
        if self.applied < report.since {
            self.awaits_echo = true;
            return;
        }
        self.is_synced |= report.is_whole;
        self.awaits_echo |= report.upto > self.applied || !report.claims.is_empty();
        if report.upto < self.applied {
            return;
        }
        self.applied = report.upto;
        for claim in &report.claims {
            match claim.weight {
                weight::Weight::NONE => self.claims.remove(&claim.organisation),
                weight => self.claims.insert(claim.organisation, weight),
            };
        }
    }

    /// Whether this daemon must wait for its echoes before it uses a higher weight.
    pub fn is_required(&self) -> bool {
        self.is_holder || !self.claims.is_empty()
    }

    /// Whether its weights are still to be waited for.
    pub fn is_awaited(&self, now: time::Time) -> bool {
        let is_asked_lately = |at| now.since(at) < SYNC_TIMEOUT;
        self.is_holder && !self.is_synced && self.asked_at.is_none_or(is_asked_lately)
    }

    /// Whether a report to it is due, given the number of this daemon's last change. `asks` tells
    /// whether this daemon needs its weights.
    pub fn is_report_due(
        &self,
        now: time::Time,
        changes: u64,
        asks: bool,
        interval: Duration,
    ) -> bool {
        if !self.is_addressed() {
            return false;
        }
        let Some(sent_at) = self.sent_at else {
            return changes > 0 || asks || self.awaits_echo;
        };
        let age = now.since(sent_at);
        let is_new = changes > self.sent_upto || self.awaits_echo;
        let is_missing = changes > self.echoed || (asks && !self.is_synced);
        age >= interval && (is_new || (is_missing && age >= RESEND_INTERVAL))
    }

    /// Whether reports are sent to it.
    pub fn is_addressed(&self) -> bool {
        self.is_required() || self.awaits_echo
    }

    /// Forgets its weights, which are no longer reported to this daemon.
    pub fn forget(&mut self) {
        self.claims = map::Map::default();
        self.applied = 0;
        self.is_synced = false;
        self.asked_at = None;
    }

    /// Its weight, which is at least its base weight.
    pub fn weight(&self, organisation: Organisation, base: f64) -> f64 {
        let claim = self.claims.get(&organisation);
        claim.map_or(0.0, |weight| weight.value()).max(base)
    }
}
