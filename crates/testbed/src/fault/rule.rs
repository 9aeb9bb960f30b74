//! Faults that a link applies to its traffic.

use std::net;
use std::time::Duration;

/// A direction of traffic through a link.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Direction {
    /// From the connecting party to the target.
    ToTarget,
    /// From the target to the connecting party.
    FromTarget,
}

/// How a connection is terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Closed without an error.
    Close,
    /// Reset.
    Reset,
    /// Left open, but nothing more is forwarded.
    Silence,
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Nothing is forwarded.
    Cut,
    /// Everything is delayed.
    Delay {
        /// Delay in milliseconds.
        millis: u64,
    },
    /// Some datagrams are dropped.
    Drop {
        /// Share of dropped datagrams, from 0 to 1.
        share: f64,
    },
    /// The rate of each connection is limited.
    Throttle {
        /// Maximum rate in bytes per second.
        bytes_per_second: u64,
    },
    /// A connection is terminated after a number of bytes.
    Limit {
        /// Number of forwarded bytes.
        bytes: u64,
        /// How it is terminated.
        end: End,
    },
    /// New connections are reset.
    Refuse,
}

/// A fault of one direction.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Affected direction; both if absent.
    #[serde(default)]
    pub direction: Option<Direction>,
    /// Affected address of the connecting party; all if absent.
    #[serde(default)]
    pub source: Option<net::IpAddr>,
    /// Fault to apply.
    pub fault: Fault,
}

impl Rule {
    /// A fault in both directions for every source.
    #[must_use]
    pub const fn both_ways(fault: Fault) -> Self {
        Self {
            direction: None,
            source: None,
            fault,
        }
    }

    /// A fault in one direction for every source.
    #[must_use]
    pub const fn one_way(direction: Direction, fault: Fault) -> Self {
        Self {
            direction: Some(direction),
            source: None,
            fault,
        }
    }

    /// Limits the fault to one source.
    #[must_use]
    pub const fn for_source(self, source: net::IpAddr) -> Self {
        Self {
            source: Some(source),
            ..self
        }
    }

    fn applies_to(&self, direction: Direction, source: net::IpAddr) -> bool {
        let is_same_direction = self.direction.is_none_or(|d| d == direction);
        is_same_direction && self.source.is_none_or(|s| s == source)
    }
}

/// Combined effect of the rules on one direction for one source.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Flow {
    pub(crate) cut: bool,
    pub(crate) refuse: bool,
    pub(crate) delay: Duration,
    /// Share of dropped datagrams, from 0 to 1.
    pub(crate) drop_share: f64,
    pub(crate) bytes_per_second: Option<u64>,
    /// Number of forwarded bytes after which the connection is terminated, and how.
    pub(crate) limit: Option<(u64, End)>,
}

impl Flow {
    pub(crate) fn new(rules: &[Rule], direction: Direction, source: net::IpAddr) -> Self {
        let mut flow = Self::default();
        for rule in rules.iter().filter(|r| r.applies_to(direction, source)) {
            match rule.fault {
                Fault::Cut => flow.cut = true,
                Fault::Refuse => flow.refuse = true,
                Fault::Delay { millis } => flow.delay = Duration::from_millis(millis),
                Fault::Drop { share } => flow.drop_share = share,
                Fault::Throttle { bytes_per_second } => {
                    flow.bytes_per_second = Some(bytes_per_second.max(1));
                }
                Fault::Limit { bytes, end } => flow.limit = Some((bytes, end)),
            }
        }
        flow
    }
}
