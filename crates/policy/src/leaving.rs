//! Runs of servers that are leaving or were removed, whoever said so.
//!
//! A run that is leaving receives no further request, whatever is learned of it later: an entry of
//! the platform or a report of another daemon may be older. Only a later run of the server ends
//! this.
//!
//! A run that was removed may be there again: its server was cut off from the platform, and has registered
//! again. In a later epoch of the platform, which was restored from a backup, the entry may be an old one
//! whose removal is not written again yet. So such a run is held back for the time that this takes, and is
//! used if it is still listed then.

use std::collections::VecDeque;
use std::time::Duration;

use monsooncart_types::{id, map, time};

/// Maximum number of servers that are remembered; the platform removes the entry of a server that
/// has left within seconds.
const MAX_SERVERS: usize = 1 << 14;

/// Time after a restoration of the platform within which removals are written again.
pub const RETURN_TIME: Duration = Duration::from_secs(3);

/// Time for which a removal is remembered; a backup is some seconds old.
const REMOVAL_RETENTION: Duration = Duration::from_secs(120);

/// A run that was removed.
#[derive(Clone, Copy, Debug)]
struct Removal {
    started_millis: u64,
    /// Epoch of the platform in which it was removed.
    epoch: u64,
    removed_at: time::Time,
    /// Until when the run is held back, if it is there again.
    held_until: Option<time::Time>,
}

/// The latest leaving run of each server.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    /// Start of the run, in milliseconds since 1970.
    started_millis: map::Map<id::Server, u64>,
    /// Servers in the order in which they were first recorded.
    order: VecDeque<id::Server>,
    removed: map::Map<id::Server, Removal>,
    /// Removed servers in the order of their removals.
    removal_order: VecDeque<(time::Time, id::Server)>,
}

impl Runs {
    /// Records that a run is leaving; returns whether it was not known. Servers without runs, whose
    /// start is 0, are not recorded.
    pub fn record(&mut self, server: &id::Server, started_millis: u64) -> bool {
        if started_millis == 0 {
            return true;
        }
        if let Some(known) = self.started_millis.get_mut(server) {
            let is_new = *known < started_millis;
            *known = started_millis.max(*known);
            return is_new;
        }
        if self.order.len() >= MAX_SERVERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.started_millis.remove(&oldest);
        }
        self.started_millis.insert(server.clone(), started_millis);
        self.order.push_back(server.clone());
        true
    }

    /// Records that a run was removed in an epoch of the platform.
    pub fn record_removed(
        &mut self,
        now: time::Time,
        server: &id::Server,
        started_millis: u64,
        epoch: u64,
    ) {
        if started_millis == 0 {
            return;
        }
        let is_old = |at: time::Time| now.since(at) >= REMOVAL_RETENTION;
        while let Some((_, server)) = self.removal_order.pop_front_if(|(at, _)| is_old(*at)) {
            if self
                .removed
                .get(&server)
                .is_some_and(|r| is_old(r.removed_at))
            {
                self.removed.remove(&server);
            }
        }
        let removal = Removal {
            started_millis,
            epoch,
            removed_at: now,
            held_until: None,
        };
        self.removed.insert(server.clone(), removal);
        self.removal_order.push_back((now, server.clone()));
    }

    /// Records that a run is listed in an epoch; returns until when it is held back, if it is.
    pub fn record_listed(
        &mut self,
        now: time::Time,
        server: &id::Server,
        started_millis: u64,
        epoch: u64,
    ) -> Option<time::Time> {
        let removal = self.removed.get_mut(server)?;
        let is_old_entry = removal.started_millis == started_millis && removal.epoch < epoch;
        if !is_old_entry {
            self.removed.remove(server);
            return None;
        }
        Some(*removal.held_until.get_or_insert(now + RETURN_TIME))
    }

    /// Whether a run is held back.
    #[must_use]
    pub fn is_held(&self, now: time::Time, server: &id::Server, started_millis: u64) -> bool {
        let removal = self.removed.get(server);
        let removal = removal.filter(|removal| removal.started_millis == started_millis);
        let held_until = removal.and_then(|removal| removal.held_until);
        held_until.is_some_and(|until| now < until)
    }

    /// Whether this run, or a later one, of a server is leaving.
    #[must_use]
    pub fn contains(&self, server: &id::Server, started_millis: u64) -> bool {
        let known = self.started_millis.get(server);
        known.is_some_and(|known| (1..=*known).contains(&started_millis))
    }
}
