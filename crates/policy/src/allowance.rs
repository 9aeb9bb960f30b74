//! Division of the allowances of organisations among the daemons.
//!
//! An organisation's allowance is a rate and a burst for all daemons together. Each daemon admits
//! requests from a token bucket with a part of both. Its part is its weight, divided by the weights of
//! all daemons. The weight follows the demand that the daemon sees. A daemon whose bucket is empty
//! borrows tokens from those that keep the part of the allowance that is not in demand.
//!
//! Invariant: the parts of an organisation add up to one at most. A daemon lowers its weight at once.
//! It uses a higher one only after all daemons with a weight have echoed it, and it divides by the
//! latest weights that it has echoed. Messages that are lost or late, partitions and paused processes
//! therefore delay a higher part and never duplicate one. The exceptions are bounded: daemons whose
//! views of the entry sets differ (`BASE_SHARE`), and a daemon that was silent for
//! `SILENCE_RETENTION`.

mod account;
mod demand;
mod ledger;
pub mod loan;
mod peer;
mod received;
pub mod report;
pub mod weight;

use std::time::Duration;

pub use ledger::{Holder, Ledger};

/// Weight that the [`BASE_HOLDERS`] have together without demand, as a share of the rate.
const BASE_SHARE: f64 = 0.15;

/// The same, in requests per second in addition, for organisations with few requests.
const BASE_RATE: f64 = 2.0;

/// Share of the tolerance that is divided with the allowance. The rest is left for the parts of
/// daemons with differing views, and for tokens of restarted daemons.
const DIVIDED_TOLERANCE: f64 = 0.5;

/// Number of daemons of the entry sets that share the base weight of an organisation, and that have a
/// token even if their part of the burst is less.
const BASE_HOLDERS: usize = 8;

/// Number of daemons that are asked for a loan first, before all others are.
const FIRST_LENDERS: usize = 2;

/// Number of daemons that are asked for a loan.
const MAX_LENDERS: usize = 12;

/// Minimum time between two reports for each daemon that receives them, which bounds what they cost.
const REPORT_INTERVAL_PER_RECEIVER: Duration = Duration::from_millis(8);

/// Maximum time for which a request waits for its token.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Maximum retry delay of a refused request.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Time after which a report that some daemon has not echoed is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which the weights of a silent daemon are kept for it.
const SILENCE_RETENTION: Duration = Duration::from_secs(30);

/// Time for which a daemon that starts waits for the weights of the others before it uses its own.
const SYNC_TIMEOUT: Duration = Duration::from_secs(1);

/// Time from the start for which a daemon that has not heard all others uses its base weight alone, as
/// it may learn of them one by one.
const FINDING_TIME: Duration = Duration::from_secs(15);

/// Requests that all daemons together may admit for an organisation.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Limit {
    /// Sustained requests per second.
    pub rate: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

/// By how much all daemons together may exceed an allowance in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// As a share of the allowance.
    pub share: f64,
    /// In requests, in addition.
    pub requests: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Tolerance {
    /// The limit that is divided among the daemons. Half of the tolerated requests are added to the
    /// burst, and half to the rate, which helps organisations with few requests at many daemons.
    fn extend(&self, limit: Limit) -> Limit {
        let ratio = 1.0 + DIVIDED_TOLERANCE * self.share;
        let requests = DIVIDED_TOLERANCE * self.requests / 2.0;
        let window = self.window.max(Duration::from_secs(1));
        Limit {
            rate: limit.rate * ratio + requests / window.as_secs_f64(),
            burst: limit.burst * ratio + requests,
        }
    }
}

/// Identifies an organisation at all daemons: the hash of its name.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Organisation(pub u64);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is admitted after this time.
    Admit {
        /// Time until its token is due.
        after: Duration,
    },
    /// The daemon's part is not known yet, or it borrows; to be decided again after a few tens of
    /// milliseconds.
    Undecided,
    /// The allowance is used up.
    Refuse {
        /// Time until the turn of the request comes.
        retry_after: Duration,
    },
}
