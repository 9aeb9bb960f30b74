//! Log of recent ejection decisions and their reasons, for operators.

use std::collections::VecDeque;
use std::hash;

use monsooncart_types::{id, instance, time};

use crate::floor::mark;

/// Maximum number of decisions retained for each service.
const MAX_DECISIONS: usize = 64;

/// Outcome of a decision.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The server was ejected.
    Ejected {
        /// The daemon that spent the tokens or wrote the record.
        by: instance::Instance,
        /// Whether the record contains the ejection; if not, a holder spent granted tokens on it.
        recorded: bool,
    },
    /// The server was returned to service.
    Restored,
    /// The ejection was denied.
    Denied {
        /// Slots that a write of the record may take out of service.
        room: i64,
        /// Tokens that this daemon can spend.
        free: u64,
        /// Tokens granted to all holders.
        tokens: u64,
        /// Holders that were asked to eject the server and did not.
        asked: Vec<instance::Instance>,
        /// Whether the platform was unavailable.
        outage: bool,
    },
    /// The tokens for the ejection are spent, but the capacity known to this daemon leaves no room
    /// for it.
    Cut,
}

/// A decision about one server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Decision {
    /// Time of the decision on this daemon's clock.
    pub at: time::Time,
    /// The server that it concerns.
    pub server: id::Server,
    /// Evidence of the ejection that was made or requested.
    pub evidence: Option<mark::Ejection>,
    /// Outcome.
    pub verdict: Verdict,
}

/// The most recent decisions. The log has no influence on behaviour, so all logs compare equal and
/// hash alike; searches over controller states rely on that.
#[derive(Clone, Debug, Default)]
pub struct Log {
    decisions: VecDeque<Decision>,
}

impl PartialEq for Log {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Log {}

impl hash::Hash for Log {
    fn hash<H: hash::Hasher>(&self, _: &mut H) {}
}

impl Log {
    /// Adds a decision, dropping the oldest one if the log is full.
    pub fn push(&mut self, decision: Decision) {
        if self.decisions.len() == MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }

    /// Iterates over the decisions, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter()
    }
}
