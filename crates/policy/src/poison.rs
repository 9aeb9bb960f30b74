//! Requests that break the servers that run them.
//!
//! A fingerprint whose attempts broke connections on two servers is quarantined for a time. From
//! its first breakage on, its attempts go to one server at a time, so that it takes down at most
//! two. An answer clears the record: a request that a server can answer is no poison.

use std::time::Duration;

use monsooncart_types::{map, time};

use crate::handle;

/// How long a quarantine lasts.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(60);

/// How long one breakage is remembered.
const MEMORY: Duration = Duration::from_secs(300);

/// Records kept at most; the fingerprints are callers' choice.
const CAPACITY: usize = 1024;

/// What a breakage leads to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// One server broke: it may have been the server.
    FirstCrash,
    /// Two servers broke: the request is poison, and this earlier breakage was its doing.
    Poison {
        /// The server that broke first.
        first_server: handle::Server,
        /// Evidence that was held against the first server.
        evidence: f64,
    },
}

struct Blame {
    server: handle::Server,
    at: time::Time,
    weight: f64,
}

/// The fingerprints that broke connections.
#[derive(Default)]
pub struct Detector {
    blames: map::Map<handle::Fingerprint, Blame>,
    quarantined: map::Map<handle::Fingerprint, time::Time>,
}

impl Detector {
    /// Until when a fingerprint is to be refused.
    #[must_use]
    pub fn quarantined_until(
        &self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
    ) -> Option<time::Time> {
        let until = *self.quarantined.get(&fingerprint)?;
        (until > now).then_some(until)
    }

    /// Whether a fingerprint broke a connection lately.
    #[must_use]
    pub fn is_suspected(&self, fingerprint: handle::Fingerprint) -> bool {
        self.blames.contains_key(&fingerprint)
    }

    /// The server that a fingerprint broke, where it broke one.
    #[must_use]
    pub fn crashed_server(&self, fingerprint: handle::Fingerprint) -> Option<handle::Server> {
        self.blames.get(&fingerprint).map(|b| b.server)
    }

    /// Records that an attempt broke its connection, and the evidence that this gave against its
    /// server.
    pub fn record_crash(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        server: handle::Server,
        weight: f64,
    ) -> Verdict {
        if let Some(blame) = self.blames.get(&fingerprint)
            && blame.server != server
        {
            let verdict = Verdict::Poison {
                first_server: blame.server,
                evidence: blame.weight,
            };
            self.blames.remove(&fingerprint);
            self.quarantine(fingerprint, now + QUARANTINE_DURATION);
            return verdict;
        }
        if self.blames.len() < CAPACITY || self.blames.contains_key(&fingerprint) {
            let known = self.blames.get(&fingerprint).map_or(0.0, |b| b.weight);
            let blame = Blame {
                server,
                at: now,
                weight: known + weight,
            };
            self.blames.insert(fingerprint, blame);
        }
        Verdict::FirstCrash
    }

    /// Records that an attempt was answered.
    pub fn record_answer(&mut self, fingerprint: handle::Fingerprint) {
        if !self.blames.is_empty() {
            self.blames.remove(&fingerprint);
        }
    }

    /// Refuses a fingerprint until a time.
    pub fn quarantine(&mut self, fingerprint: handle::Fingerprint, until: time::Time) {
        let full = self.quarantined.len() >= CAPACITY;
        if full && !self.quarantined.contains_key(&fingerprint) {
            return;
        }
        let known = self.quarantined.entry(fingerprint).or_insert(until);
        *known = until.max(*known);
    }

    /// Forgets what is past.
    pub fn expire(&mut self, now: time::Time) {
        self.blames.retain(|_, b| now.since(b.at) < MEMORY);
        self.quarantined.retain(|_, until| *until > now);
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.blames.is_empty() && self.quarantined.is_empty()
    }
}
