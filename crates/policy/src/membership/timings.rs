//! Intervals, timeouts and fan-outs of the membership protocol.

use std::time::Duration;

/// Parameters of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Time between probes; a probe that is not answered within it raises a suspicion.
    pub probe_interval: Duration,
    /// Time that a direct probe has to be answered before indirect probes are sent.
    pub probe_timeout: Duration,
    /// Time that a suspected member has to refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Number of members that are asked to probe a member that did not answer.
    pub indirect_probes: usize,
    /// Time between gossip datagrams, which only carry records.
    pub gossip_interval: Duration,
    /// Number of members of the region that each round of gossip is sent to.
    pub gossip_fanout: usize,
    /// Time between reconciliations of the whole table with a peer.
    pub sync_interval: Duration,
    /// Time after which the record of a member that is no longer live is removed.
    pub retention: Duration,
    /// Number of members of each region that exchange records with other regions.
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
