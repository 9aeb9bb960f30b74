//! Runs of servers that are leaving, whoever said so.
//!
//! A run that is leaving receives no further request, whatever is learned of it later: an entry of
//! the platform or a report of another daemon may be older. Only a later run of the server ends
//! this.

use std::collections::VecDeque;

use monsooncart_types::{id, map};

/// Maximum number of servers that are remembered; the platform removes the entry of a server that
/// has left within seconds.
const MAX_SERVERS: usize = 1 << 14;

/// The latest leaving run of each server.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    /// Start of the run, in milliseconds since 1970.
    started_millis: map::Map<id::Server, u64>,
    /// Servers in the order in which they were first recorded.
    order: VecDeque<id::Server>,
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

    /// Whether this run, or a later one, of a server is leaving.
    #[must_use]
    pub fn contains(&self, server: &id::Server, started_millis: u64) -> bool {
        let known = self.started_millis.get(server);
        known.is_some_and(|known| (1..=*known).contains(&started_millis))
    }
}
