//! Detection of poison requests, which crash the servers that run them.
//!
//! A crash breaks all attempts at its server, so each of their requests is a suspect. A poison request
//! is a suspect of every crash that it causes and is never answered; others are answered elsewhere, or do
//! not come again. So an answer acquits a request, and one that was a suspect of several crashes without
//! an answer in between is quarantined. How many it takes follows from how many of the other requests
//! crashes break: where crashes are rare, two are no coincidence.
//!
//! Of the suspects of one crash only the one with the most crashes is quarantined, and the crashes that it
//! explains no longer count against the others.
//!
//! A request that was answered lately may have been in flight at the crashes of another one all the same. So
//! one attempt of it is let through soon after its first quarantine began: an answer clears it.
//!
//! After a quarantine the request is let through once. If it crashes a server again, it is quarantined for
//! a longer time; an answer, which means that the servers were mended, clears it.
//!
//! A head may be shared by requests with different bodies. Its crash makes it suspected until the
//! record expires, so that requests with this head are recognised by their bodies before they are
//! sent; it is never quarantined.

mod exposure;
mod record;
mod sound;

use std::time::Duration;

use monsooncart_types::{map, time};

use crate::handle;

pub use record::Crash;

/// Duration of the first quarantine of a request.
pub const FIRST_QUARANTINE: Duration = Duration::from_secs(600);

/// Time after which one attempt of a request is let through that was answered before its first quarantine: by
/// then, another request that caused the crashes is quarantined as well.
const TRIAL_TIME: Duration = Duration::from_secs(5);

/// Maximum duration of a quarantine.
pub const MAX_QUARANTINE: Duration = Duration::from_secs(24 * 3600);

/// Duration of the next quarantine, as a multiple of that of the last one.
const QUARANTINE_GROWTH: u32 = 6;

/// Time for which a request is remembered after its quarantine, as a multiple of that.
const REMEMBERED_RATIO: u32 = 6;

/// Retention of the record of crashes.
const CRASH_RETENTION: Duration = Duration::from_secs(3600);

/// Maximum number of fingerprints in each table; the fingerprints are controlled by callers, so
/// without a limit the tables could grow indefinitely.
const MAX_FINGERPRINTS: usize = 1024;

/// Maximum time for which crashes that follow each other count as one: the time that an answer takes, as
/// the request could not have been answered in between.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(600);

/// Minimum and maximum number of crashes for a quarantine.
const REQUIRED_CRASHES: [usize; 2] = [2, 5];

/// Maximum time by which one report between daemons may be later than another.
const MAX_REPORT_TIME: Duration = Duration::from_millis(200);

/// Number of crashes from which a request is sent to one server at a time only, where its end decides.
const GRAVE_CRASHES: usize = 3;

/// A request that was found to be poison.
#[derive(Clone, Debug, PartialEq)]
pub struct Conviction {
    /// Duration of its quarantine.
    pub duration: Duration,
    /// Servers that it crashed before, with the evidence that this added against them, which is to be
    /// retracted.
    pub evidence: Vec<(handle::Server, f64)>,
}

struct Quarantine {
    /// When the latest crash that led to it was recorded.
    crashed_at: time::Time,
    expires_at: time::Time,
    duration: Duration,
    /// When one attempt is let through, at the daemon that decided the quarantine.
    trial_at: Option<time::Time>,
}

impl Quarantine {
    /// Whether the request is remembered at `now`.
    fn is_remembered(&self, now: time::Time) -> bool {
        now < self.expires_at + self.duration * REMEMBERED_RATIO
    }
}

/// Crash records and quarantines by request fingerprint.
#[derive(Default)]
pub struct Detector {
    records: map::Map<handle::Fingerprint, record::Record>,
    quarantines: map::Map<handle::Fingerprint, Quarantine>,
    exposure: exposure::Exposure,
    /// Time that an answer takes.
    answer_time: Duration,
    answered: sound::Requests,
}

impl Detector {
    /// When the quarantine of a fingerprint expires, `None` if it is not quarantined at `now`.
    #[must_use]
    pub fn quarantined_until(
        &self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
    ) -> Option<time::Time> {
        let expires_at = self.quarantines.get(&fingerprint)?.expires_at;
        (expires_at > now).then_some(expires_at)
    }

    /// Whether one attempt of a quarantined request is let through now. It decides whether the request was
    /// only in flight at the crashes of another one.
    pub fn take_trial(&mut self, now: time::Time, fingerprint: handle::Fingerprint) -> bool {
        let quarantine = self.quarantines.get_mut(&fingerprint);
        quarantine.is_some_and(|quarantine| {
            let is_due = quarantine.trial_at.is_some_and(|at| at <= now);
            if is_due {
                quarantine.trial_at = None;
            }
            is_due
        })
    }

    /// Whether a fingerprint has a crash on record, or was quarantined.
    #[must_use]
    pub fn is_suspected(&self, fingerprint: handle::Fingerprint) -> bool {
        self.records.contains_key(&fingerprint) || self.quarantines.contains_key(&fingerprint)
    }

    /// Whether a request is a suspect of so many crashes that few more servers may get it.
    #[must_use]
    pub fn is_grave(&self, fingerprint: handle::Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        let record = record.filter(|_| !fingerprint.is_of_head());
        record.is_some_and(|record| record.apart_count(self.answer_time) >= GRAVE_CRASHES)
    }

    /// Returns the run that an attempt at `run` ended with whose request is a grave suspect: a run that is
    /// not known yet, if this one had ended before.
    #[must_use]
    pub fn next_run(&self, fingerprint: handle::Fingerprint, run: handle::Run) -> handle::Run {
        let record = self.records.get(&fingerprint);
        let crashes = record.map_or(&[][..], |record| &record.crashes);
        let of_server = crashes.iter().filter(|c| c.run.server == run.server);
        let latest = of_server.map(|c| c.run.started_millis).max();
        match latest {
            Some(latest) if latest >= run.started_millis => handle::Run {
                started_millis: latest + 1,
                ..run
            },
            _ => run,
        }
    }

    /// The run of a server that crashed last on a request, if any.
    #[must_use]
    pub fn crashed_run(&self, fingerprint: handle::Fingerprint) -> Option<handle::Run> {
        if fingerprint.is_of_head() {
            return None;
        }
        let last = self.records.get(&fingerprint)?.crashes.last()?;
        Some(last.run)
    }

    /// Records that an attempt broke its connection as its server crashed. Returns whether the crash counts
    /// against its request.
    pub fn record_crash(&mut self, fingerprint: handle::Fingerprint, crash: Crash) -> bool {
        if !fingerprint.is_of_head() {
            self.exposure.record_crashed(crash.at);
        }
        if !self.records.contains_key(&fingerprint) {
            record::make_room(&mut self.records, MAX_FINGERPRINTS);
        }
        let record = self.records.entry(fingerprint).or_default();
        record.record(crash)
    }

    /// Quarantines a request without awaiting what other daemons know of its crashes, if that can hardly
    /// clear it: where crashes are rare, and where it was quarantined before.
    pub fn convict_at_once(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
    ) -> Option<Conviction> {
        let is_rare = self.required_crashes(now, fingerprint) == REQUIRED_CRASHES[0];
        let is_clear = is_rare || self.quarantines.contains_key(&fingerprint);
        is_clear.then(|| self.convict(now, fingerprint)).flatten()
    }

    /// Quarantines a request if it was a suspect of enough crashes.
    pub fn convict(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
    ) -> Option<Conviction> {
        let record = self.records.get(&fingerprint)?;
        if fingerprint.is_of_head() || self.quarantined_until(now, fingerprint).is_some() {
            return None;
        }
        let known = self.quarantines.get(&fingerprint);
        let known = known.filter(|known| known.is_remembered(now));
        let required = self.required_crashes(now, fingerprint);
        let count = record.apart_count(self.answer_time);
        let is_certain = count >= REQUIRED_CRASHES[1];
        let is_enough =
            count >= required && (is_certain || self.is_first_suspect(fingerprint, record));
        if known.is_none() && !is_enough {
            return None;
        }
        let duration = known.map_or(FIRST_QUARANTINE, |q| q.duration * QUARANTINE_GROWTH);
        let duration = duration.min(MAX_QUARANTINE);
        let has_trial = known.is_none() && self.answered.contains(fingerprint);
        let record = self.records.remove(&fingerprint)?;
        self.explain_crashes(&record);
        self.insert_quarantine(record.last_at(), fingerprint, now + duration, duration);
        if let Some(quarantine) = self.quarantines.get_mut(&fingerprint) {
            quarantine.trial_at = has_trial.then(|| now + TRIAL_TIME);
        }
        let before = record.crashes.iter().rev().skip(1).rev();
        let evidence = before
            .map(|crash| (crash.run.server, crash.evidence))
            .collect();
        Some(Conviction { duration, evidence })
    }

    /// Removes the crashes of a poison request from the records of the other suspects.
    fn explain_crashes(&mut self, poison: &record::Record) {
        let answer_time = self.answer_time;
        self.records.retain(|suspect, other| {
            let is_grave = other.apart_count(answer_time) >= GRAVE_CRASHES;
            suspect.is_of_head() || is_grave || other.explain(poison)
        });
    }

    /// Whether no other suspect of its last crash was a suspect of as many.
    fn is_first_suspect(&self, fingerprint: handle::Fingerprint, record: &record::Record) -> bool {
        let Some(last) = record.crashes.last() else {
            return false;
        };
        let others = self
            .records
            .iter()
            .filter(|(f, _)| **f != fingerprint && !f.is_of_head());
        let mut rivals = others.filter(|(_, r)| r.crashes.len() >= record.crashes.len());
        !rivals.any(|(_, r)| r.crashes.iter().any(|crash| crash.is_same(last)))
    }

    /// Number of crashes for a quarantine, so that hardly any request meets as many by coincidence.
    fn required_crashes(&self, now: time::Time, fingerprint: handle::Fingerprint) -> usize {
        let own = self
            .records
            .get(&fingerprint)
            .map_or(0, |r| r.crashes.len());
        let required = self.exposure.required_crashes(now, own);
        required.clamp(REQUIRED_CRASHES[0], REQUIRED_CRASHES[1])
    }

    /// Records that an attempt was answered which was sent at `sent_at`. Returns whether its request is no
    /// longer a suspect, and was one.
    ///
    /// What was sent before the latest of many crashes may have been answered as the request did not crash
    /// servers yet, and clears nothing.
    pub fn record_answer(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        sent_at: time::Time,
    ) -> bool {
        self.exposure.record_answered(now);
        self.answered.record(fingerprint);
        let before = if self.is_grave(fingerprint) {
            sent_at
        } else {
            now
        };
        self.acquit(fingerprint, before, sent_at)
    }

    /// Records that another daemon has acquitted a request. The report may be older than the latest crash
    /// that is known here.
    pub fn record_acquittal(&mut self, now: time::Time, fingerprint: handle::Fingerprint) {
        let before = time::Time::ZERO + now.since(time::Time::ZERO + MAX_REPORT_TIME);
        self.acquit(fingerprint, before, before);
    }

    /// Clears a request of the crashes before `before`, and of a quarantine for crashes before `sent_at`.
    /// Returns whether it is no longer a suspect, and was one.
    fn acquit(
        &mut self,
        fingerprint: handle::Fingerprint,
        before: time::Time,
        sent_at: time::Time,
    ) -> bool {
        if fingerprint.is_of_head() {
            return false;
        }
        let mut was_suspect = false;
        if let Some(record) = self.records.get_mut(&fingerprint) {
            if record.acquit(before) {
                return false;
            }
            self.records.remove(&fingerprint);
            was_suspect = true;
        }
        let quarantine = self.quarantines.get(&fingerprint);
        if quarantine.is_some_and(|quarantine| quarantine.crashed_at <= sent_at) {
            self.quarantines.remove(&fingerprint);
            was_suspect = true;
        }
        was_suspect
    }

    /// Sets the time that an answer takes.
    pub fn set_answer_time(&mut self, time: Duration) {
        self.answer_time = time.min(MAX_ANSWER_TIME);
    }

    /// Sets the number of daemons whose answers are taken to be as many as those known here.
    pub fn set_daemons(&mut self, daemons: u32) {
        self.exposure.set_daemons(daemons);
    }

    /// Quarantines a fingerprint until `expires_at`, unless it is already quarantined for longer.
    pub fn quarantine(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        expires_at: time::Time,
    ) {
        let is_longer = self
            .quarantines
            .get(&fingerprint)
            .is_none_or(|known| known.expires_at < expires_at);
        if !fingerprint.is_of_head() && is_longer {
            let record = self.records.remove(&fingerprint);
            let crashed_at = record.as_ref().map_or(now, record::Record::last_at);
            if let Some(record) = record {
                self.explain_crashes(&record);
            }
            let duration = expires_at.since(now);
            self.insert_quarantine(crashed_at, fingerprint, expires_at, duration);
        }
    }

    /// Inserts a quarantine; if there are too many, the one that expires first goes.
    fn insert_quarantine(
        &mut self,
        crashed_at: time::Time,
        fingerprint: handle::Fingerprint,
        expires_at: time::Time,
        duration: Duration,
    ) {
        let full = self.quarantines.len() >= MAX_FINGERPRINTS;
        if full && !self.quarantines.contains_key(&fingerprint) {
            let first = self.quarantines.iter().min_by_key(|(_, q)| q.expires_at);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.quarantines.remove(&first);
            }
        }
        let quarantine = Quarantine {
            crashed_at,
            expires_at,
            duration,
            trial_at: None,
        };
        self.quarantines.insert(fingerprint, quarantine);
    }

    /// Removes crashes beyond the retention, and requests whose quarantine ended long ago.
    pub fn expire(&mut self, now: time::Time) {
        self.records
            .retain(|_, record| now.since(record.last_at()) < CRASH_RETENTION);
        self.quarantines
            .retain(|_, quarantine| quarantine.is_remembered(now));
    }

    /// Whether there are no crash records and no quarantines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.quarantines.is_empty()
    }
}
