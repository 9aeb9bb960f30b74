//! Evidence of the other daemons that share a service.
//!
//! If many daemons suspect one server, the fault is probably in the server. If one daemon suspects
//! many servers, the fault is probably in that daemon's own network path, and its suspicions are
//! ignored.

use std::time::Duration;

use monsooncart_types::{instance, map, time};

use crate::{event, handle};

/// Age at which a report expires.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Maximum number of peers with a stored report.
const MAX_PEERS: usize = 256;

/// Suspicion, in thousandths of the ejection threshold, at which a peer counts a server as
/// unhealthy.
const UNHEALTHY_SUSPICION_PERMILLE: u32 = 500;

/// Suspicion, in thousandths, below which a peer counts a server as healthy.
const HEALTHY_SUSPICION_PERMILLE: u32 = 100;

/// Minimum number of servers that a peer with a fault in its own network path suspects at once.
const MIN_PATH_FAULT_SUSPECTS: usize = 2;

/// Assessment of one server by the peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Assessment {
    /// Number of peers that count the server as healthy.
    pub healthy_reports: u32,
    /// Number of peers that count the server as unhealthy.
    pub unhealthy_reports: u32,
    /// Sum of the peers' suspicions as ratios of the ejection threshold, each at most 1.
    pub suspicion: f64,
}

struct Report {
    received_at: time::Time,
    digests: Vec<(handle::Server, event::Digest)>,
    /// Whether the peer suspects so many servers that the fault is probably in its network path.
    has_path_fault: bool,
}

/// Latest report of each peer.
#[derive(Default)]
pub struct Peers {
    reports: map::Map<instance::Instance, Report>,
}

impl Peers {
    /// Stores a report and returns the digests that it replaces. Drops the report and returns
    /// `None` if it is from a new peer and the maximum number of peers is reached.
    pub fn record_report(
        &mut self,
        now: time::Time,
        from: instance::Instance,
        mut digests: Vec<(handle::Server, event::Digest)>,
    ) -> Option<Vec<(handle::Server, event::Digest)>> {
        if self.reports.len() >= MAX_PEERS && !self.reports.contains_key(&from) {
            return None;
        }
        digests.sort_unstable_by_key(|(server, _)| *server);
        let suspects = digests
            .iter()
            .filter(|(_, d)| d.suspicion >= UNHEALTHY_SUSPICION_PERMILLE)
            .count();
        let has_path_fault = suspects >= MIN_PATH_FAULT_SUSPECTS && suspects * 2 >= digests.len();
        let report = Report {
            received_at: now,
            digests,
            has_path_fault,
        };
        let replaced = self.reports.insert(from, report);
        Some(replaced.map_or_else(Vec::new, |r| r.digests))
    }

    /// Removes expired reports and returns their digests.
    pub fn expire(&mut self, now: time::Time) -> Vec<(handle::Server, event::Digest)> {
        let mut expired = Vec::new();
        self.reports.retain(|_, report| {
            let is_current = now.since(report.received_at) < REPORT_LIFETIME;
            if !is_current {
                expired.append(&mut report.digests);
            }
            is_current
        });
        expired
    }

    /// Whether no peer has a current report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Peers with a current report, sorted.
    #[must_use]
    pub fn instances(&self) -> Vec<instance::Instance> {
        let mut instances: Vec<_> = self.reports.keys().copied().collect();
        instances.sort_unstable();
        instances
    }

    /// Combines the reports about a server that were received at or after `since`.
    #[must_use]
    pub fn assess(&self, server: handle::Server, since: time::Time) -> Assessment {
        let mut assessment = Assessment::default();
        for report in self.reports.values().filter(|r| r.received_at >= since) {
            let position = report.digests.binary_search_by_key(&server, |(s, _)| *s);
            let Ok(index) = position else {
                continue;
            };
            let digest = &report.digests[index].1;
            if digest.suspicion >= UNHEALTHY_SUSPICION_PERMILLE && !report.has_path_fault {
                assessment.unhealthy_reports += 1;
            }
            if digest.suspicion < HEALTHY_SUSPICION_PERMILLE && digest.bad == 0 && digest.good > 0 {
                assessment.healthy_reports += 1;
            }
            if !report.has_path_fault {
                assessment.suspicion += f64::from(digest.suspicion.min(1000)) / 1000.0;
            }
        }
        assessment
    }
}
