//! Detection of poison requests, which crash the servers that run them.
//!
//! A fingerprint whose attempts broke connections on two servers is quarantined for a time. After
//! its first crash its attempts go to one server at a time, so that it crashes at most two. An
//! answer clears the record: a request that a server can answer is not poison.
//!
//! A head may be shared by requests with different bodies. Its crash makes it suspected until the
//! record expires, so that requests with this head are recognised by their bodies before they are
//! sent; it is never quarantined.

use std::time::Duration;

use monsooncart_types::{map, time};

use crate::handle;

/// Time for which a poison request is refused.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(60);

/// Retention of the record of a single crash.
const CRASH_RETENTION: Duration = Duration::from_secs(300);

/// Maximum number of fingerprints in each table; the fingerprints are controlled by callers, so
/// without a limit the tables could grow indefinitely.
const MAX_FINGERPRINTS: usize = 1024;

/// What a crash implies about its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// One server crashed: the cause may be the server.
    FirstCrash,
    /// Two servers crashed: the request is poison and caused the first crash too.
    Poison {
        /// The server that crashed first.
        first_server: handle::Server,
        /// Evidence that the first crash added against its server, which is to be retracted.
        evidence: f64,
    },
}

struct Crash {
    server: handle::Server,
    crashed_at: time::Time,
    evidence: f64,
}

/// Crash records and quarantines by request fingerprint.
#[derive(Default)]
pub struct Detector {
    crashes: map::Map<handle::Fingerprint, Crash>,
    quarantines: map::Map<handle::Fingerprint, time::Time>,
}

impl Detector {
    /// When the quarantine of a fingerprint expires, `None` if it is not quarantined at `now`.
    #[must_use]
    pub fn quarantined_until(
        &self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
    ) -> Option<time::Time> {
        let expires_at = *self.quarantines.get(&fingerprint)?;
        (expires_at > now).then_some(expires_at)
    }

    /// Whether a fingerprint has a crash on record.
    #[must_use]
    pub fn is_suspected(&self, fingerprint: handle::Fingerprint) -> bool {
        self.crashes.contains_key(&fingerprint)
    }

    /// The server that crashed on a request, if any.
    #[must_use]
    pub fn crashed_server(&self, fingerprint: handle::Fingerprint) -> Option<handle::Server> {
        let crash = self.crashes.get(&fingerprint);
        crash
            .filter(|_| !fingerprint.is_of_head())
            .map(|crash| crash.server)
    }

    /// Records that an attempt broke its connection, with the evidence that this added against the
    /// server.
    pub fn record_crash(
        &mut self,
        now: time::Time,
        fingerprint: handle::Fingerprint,
        server: handle::Server,
        evidence: f64,
    ) -> Verdict {
        if let Some(crash) = self.crashes.get(&fingerprint)
            && crash.server != server
            && !fingerprint.is_of_head()
        {
            let verdict = Verdict::Poison {
                first_server: crash.server,
                evidence: crash.evidence,
            };
            self.crashes.remove(&fingerprint);
            self.quarantine(fingerprint, now + QUARANTINE_DURATION);
            return verdict;
        }
        if self.crashes.len() < MAX_FINGERPRINTS || self.crashes.contains_key(&fingerprint) {
            let recorded = self.crashes.get(&fingerprint).map_or(0.0, |c| c.evidence);
            let crash = Crash {
                server,
                crashed_at: now,
                evidence: recorded + evidence,
            };
            self.crashes.insert(fingerprint, crash);
        }
        Verdict::FirstCrash
    }

    /// Records that an attempt was answered, which clears its crash record.
    pub fn record_answer(&mut self, fingerprint: handle::Fingerprint) {
        if !self.crashes.is_empty() && !fingerprint.is_of_head() {
            self.crashes.remove(&fingerprint);
        }
    }

    /// Quarantines a fingerprint until `expires_at`, unless it is already quarantined for longer.
    pub fn quarantine(&mut self, fingerprint: handle::Fingerprint, expires_at: time::Time) {
        if fingerprint.is_of_head() {
            return;
        }
        let full = self.quarantines.len() >= MAX_FINGERPRINTS;
        if full && !self.quarantines.contains_key(&fingerprint) {
            return;
        }
        let current = self.quarantines.entry(fingerprint).or_insert(expires_at);
        *current = expires_at.max(*current);
    }

    /// Removes crashes beyond the retention and expired quarantines.
    pub fn expire(&mut self, now: time::Time) {
        self.crashes
            .retain(|_, c| now.since(c.crashed_at) < CRASH_RETENTION);
        self.quarantines.retain(|_, expires_at| *expires_at > now);
    }

    /// Whether there are no crash records and no quarantines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantines.is_empty()
    }
}
