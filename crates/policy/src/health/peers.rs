//! The evidence of the daemons that share a service.
//!
//! Many daemons' evidence about one server points at the server. One daemon's evidence about many
//! servers points at that daemon's own path: its suspicions are then left out.

use std::time::Duration;

use monsooncart_types::{instance, map, time};

use crate::{event, handle};

/// Age at which a report no longer counts.
const LIFETIME: Duration = Duration::from_secs(3);

/// Peers held at most.
const CAPACITY: usize = 256;

/// Suspicion, in thousandths of what an ejection needs, at which a peer holds a server for sick.
const ILL: u32 = 500;

/// Suspicion below which a peer holds a server for well.
const WELL: u32 = 100;

/// Suspicions at once from which a peer may be misled by its own path.
const MANY: usize = 2;

/// What the peers say of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Opinion {
    /// Peers that find it well.
    pub healthy: u32,
    /// Peers that find it sick.
    pub unhealthy: u32,
    /// Their suspicions added up, each at most 1.
    pub suspicion: f64,
}

struct Report {
    at: time::Time,
    digests: Vec<(handle::Server, event::Digest)>,
    misled: bool,
}

/// The last report of each peer.
#[derive(Default)]
pub struct Peers {
    reports: map::Map<instance::Instance, Report>,
}

impl Peers {
    /// Takes a report and gives back what it replaces; `None` where there is no room for it.
    pub fn record_report(
        &mut self,
        now: time::Time,
        from: instance::Instance,
        mut digests: Vec<(handle::Server, event::Digest)>,
    ) -> Option<Vec<(handle::Server, event::Digest)>> {
        if self.reports.len() >= CAPACITY && !self.reports.contains_key(&from) {
            return None;
        }
        digests.sort_unstable_by_key(|(server, _)| *server);
        let suspects = digests.iter().filter(|(_, d)| d.suspicion >= ILL).count();
        let misled = suspects >= MANY && suspects * 2 >= digests.len();
        let report = Report {
            at: now,
            digests,
            misled,
        };
        let old = self.reports.insert(from, report);
        Some(old.map_or_else(Vec::new, |r| r.digests))
    }

    /// Drops old reports and gives back what they said.
    pub fn expire(&mut self, now: time::Time) -> Vec<(handle::Server, event::Digest)> {
        let mut dropped = Vec::new();
        self.reports.retain(|_, report| {
            let keep = now.since(report.at) < LIFETIME;
            if !keep {
                dropped.append(&mut report.digests);
            }
            keep
        });
        dropped
    }

    /// Whether no peer is heard.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// The peers that are heard, in order.
    #[must_use]
    pub fn instances(&self) -> Vec<instance::Instance> {
        let mut instances: Vec<_> = self.reports.keys().copied().collect();
        instances.sort_unstable();
        instances
    }

    /// What peers that worked with a server say of it since a time.
    #[must_use]
    pub fn opinion(&self, server: handle::Server, since: time::Time) -> Opinion {
        let mut opinion = Opinion::default();
        for report in self.reports.values().filter(|r| r.at >= since) {
            let found = report.digests.binary_search_by_key(&server, |(s, _)| *s);
            let Ok(at) = found else {
                continue;
            };
            let digest = &report.digests[at].1;
            if digest.suspicion >= ILL && !report.misled {
                opinion.unhealthy += 1;
            }
            if digest.suspicion < WELL && digest.bad == 0 && digest.good > 0 {
                opinion.healthy += 1;
            }
            if !report.misled {
                opinion.suspicion += f64::from(digest.suspicion.min(1000)) / 1000.0;
            }
        }
        opinion
    }
}
