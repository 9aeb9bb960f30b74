//! Selects what a daemon reports to the daemons of other data centres.
//!
//! Servers are shared by the daemons of all data centres, so a daemon that knows only the load that
//! its own data centre sends overestimates the room that is left, and all of them together fill the
//! queues. Reports between data centres are expensive: failures are reported at once, and the load
//! of a server only while this daemon occupies much of it, and once when it no longer does.
//!
//! A few daemons of other data centres, the observers, also receive which servers this daemon uses, and
//! between these reports that it is there. So they notice when the daemons of a data centre are lost and
//! its servers are idle.

use std::time::Duration;

use monsooncart_types::{id, map, time};

use crate::event;

/// Minimum interval between reports of loads.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between reports of the servers in use.
const USE_INTERVAL: Duration = Duration::from_secs(2);

/// Time after a report of its use for which an observer keeps a server in use. The entry sets have
/// changed by then, and callers know the new ones.
pub const COVER_TIME: Duration = Duration::from_secs(10);

/// Minimum interval between reports to the observers.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(300);

/// Share of a server's slots from which this daemon's attempts are reported.
const BUSY_SHARE: f64 = 0.3;

/// Minimum number of attempts in flight that are reported.
const MIN_BUSY_ATTEMPTS: u32 = 2;

/// Digests of the servers of one service that are still to be reported.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    pending: map::Map<id::Server, event::Digest>,
    /// Servers whose last reported load was not small.
    busy: map::Set<id::Server>,
    loads_due_at: time::Time,
    /// Servers with attempts since the last report of the servers in use.
    used: map::Set<id::Server>,
    use_due_at: time::Time,
    presence_due_at: time::Time,
}

impl Reports {
    /// Adds digests, which continue those added before.
    pub fn add(&mut self, digests: &[(id::Server, event::Digest)]) {
        for (server, digest) in digests {
            if digest.good + digest.bad + digest.in_flight > 0 && !self.used.contains(server) {
                self.used.insert(server.clone());
            }
            match self.pending.get_mut(server) {
                Some(pending) => {
                    *pending = event::Digest {
                        good: pending.good + digest.good,
                        bad: pending.bad + digest.bad,
                        ..*digest
                    };
                }
                None => {
                    self.pending.insert(server.clone(), *digest);
                }
            }
        }
    }

    /// Takes the digests to report now; `slots` returns the slots of a server.
    pub fn take(
        &mut self,
        now: time::Time,
        slots: impl Fn(&id::Server) -> u32,
    ) -> Vec<(id::Server, event::Digest)> {
        let loads_due = now >= self.loads_due_at;
        if loads_due {
            self.loads_due_at = now + LOAD_INTERVAL;
        }
        let busy = &mut self.busy;
        let is_due = |server: &id::Server, digest: &mut event::Digest| {
            let is_busy = digest.in_flight >= MIN_BUSY_ATTEMPTS
                && f64::from(digest.in_flight) >= f64::from(slots(server)) * BUSY_SHARE;
            let due = digest.bad > 0 || loads_due && (is_busy || busy.contains(server));
            if due {
                if is_busy {
                    busy.insert(server.clone());
                } else {
                    busy.remove(server);
                }
            }
            due
        };
        let due: Vec<_> = self.pending.extract_if(is_due).collect();
        if loads_due {
            // What is neither a failure nor a load does not go to other data centres.
            self.pending.clear();
        }
        due
    }

    /// Takes the report to the observers if one is due; it is empty unless servers in use are to be
    /// reported.
    pub fn take_use(&mut self, now: time::Time) -> Option<Vec<(id::Server, event::Digest)>> {
        if now < self.presence_due_at {
            return None;
        }
        self.presence_due_at = now + PRESENCE_INTERVAL;
        if now < self.use_due_at {
            return Some(Vec::new());
        }
        self.use_due_at = now + USE_INTERVAL;
        let used = self.used.drain();
        Some(used.map(|server| (server, event::Digest::USED)).collect())
    }

    /// Whether digests wait for the next report of loads.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }
}
