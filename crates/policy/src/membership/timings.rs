//! Timings of the membership protocol.

use std::time::Duration;

/// Timings and widths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Time between probes.
    pub probe_interval: Duration,
    /// Time for a direct probe to be answered before others are asked.
    pub probe_timeout: Duration,
    /// Time that a suspected member has to refute.
    pub suspicion_timeout: Duration,
    /// Others asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Time between datagrams that bring records only.
    pub gossip_interval: Duration,
    /// Receivers of such a datagram at a time.
    pub gossip_fanout: usize,
    /// Time between comparisons of the whole table.
    pub sync_interval: Duration,
    /// Time that the record of an ended member is held.
    pub retention: Duration,
    /// Delegates of a region.
    pub delegates_per_region: usize,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            suspicion_timeout: Duration::from_secs(3),
            indirect_probes: 3,
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 3,
            sync_interval: Duration::from_secs(5),
            retention: Duration::from_secs(3600),
            delegates_per_region: 3,
        }
    }
}
