//! The crashes of which a request is a suspect.

use std::time::Duration;

use monsooncart_types::{map, time};

use crate::handle;

/// Time within which crashes of a server whose runs aren't told apart are the same: daemons learn of it at
/// different moments.
const SAME_CRASH_TIME: Duration = Duration::from_secs(2);

/// A crash of a server, which ends its run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crash {
    /// The run that ended.
    pub run: handle::Run,
    /// When it was recorded.
    pub at: time::Time,
    /// Evidence that it added against the server.
    pub evidence: f64,
}

impl Crash {
    /// A crash that adds no evidence against its server.
    #[must_use]
    pub fn new(run: handle::Run, at: time::Time) -> Self {
        Self {
            run,
            at,
            evidence: 0.0,
        }
    }

    /// Whether two records are of the same crash.
    pub fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.since(other.at).max(other.at.since(self.at));
        self.run == other.run && (self.run.started_millis != 0 || apart < SAME_CRASH_TIME)
    }
}

/// The crashes of which a request is a suspect since it was last answered; one of each run.
#[derive(Debug, Default)]
pub struct Record {
    /// The crashes, the latest one last.
    pub crashes: Vec<Crash>,
}

impl Record {
    /// Records a crash; returns whether it counts. One of a run that crashed before does not, as it was
    /// known.
    pub fn record(&mut self, crash: Crash) -> bool {
        let known = self.crashes.iter_mut().find(|c| c.run == crash.run);
        if let Some(known) = known {
            known.evidence += crash.evidence;
            return false;
        }
        let later = self.crashes.partition_point(|c| c.at <= crash.at);
        self.crashes.insert(later, crash);
        true
    }

    /// Number of crashes with enough time between them that the request could have been answered, which
    /// takes `answer_time`.
    pub fn apart_count(&self, answer_time: Duration) -> usize {
        let mut last: Option<time::Time> = None;
        let mut count = 0;
        for crash in &self.crashes {
            if last.is_none_or(|last| crash.at.since(last) >= answer_time) {
                last = Some(crash.at);
                count += 1;
            }
        }
        count
    }

    /// Removes the crashes before `at`; returns whether any are left.
    pub fn acquit(&mut self, at: time::Time) -> bool {
        self.crashes.retain(|crash| crash.at > at);
        !self.crashes.is_empty()
    }

    /// Removes the crashes that a poison request with as many of them explains; returns whether any are
    /// left.
    pub fn explain(&mut self, poison: &Self) -> bool {
        if self.crashes.len() <= poison.crashes.len() {
            let is_explained = |crash: &Crash| poison.crashes.iter().any(|p| p.is_same(crash));
            self.crashes.retain(|crash| !is_explained(crash));
        }
        !self.crashes.is_empty()
    }

    /// When the latest crash was recorded.
    pub fn last_at(&self) -> time::Time {
        self.crashes.last().map_or(time::Time::ZERO, |c| c.at)
    }
}

/// Makes room for one more record among `max`: the one with the fewest crashes goes, and of those the
/// oldest.
pub fn make_room(records: &mut map::Map<handle::Fingerprint, Record>, max: usize) {
    if records.len() < max {
        return;
    }
    let weakest = records
        .iter()
        .min_by_key(|(_, record)| (record.crashes.len(), record.last_at()));
    if let Some(weakest) = weakest.map(|(fingerprint, _)| *fingerprint) {
        records.remove(&weakest);
    }
}
