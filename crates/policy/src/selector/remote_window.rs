//! Limits the attempts in flight at servers of other data centres that are sent for the sake of their use.
//!
//! Idle servers of another data centre may have lost their daemons, or be out of reach as the data centres
//! are disconnected. Responses show the former and raise the limit; attempts without one lower it, so
//! that few requests are delayed by the latter.

use crate::outcome;

/// Attempts in flight that are allowed before anything is known.
const INITIAL_LIMIT: u32 = 32;

const MAX_LIMIT: u32 = 1024;

/// Limit of attempts in flight.
#[derive(Clone, Copy, Debug)]
pub struct RemoteWindow {
    limit: u32,
}

impl Default for RemoteWindow {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
        }
    }
}

impl RemoteWindow {
    /// Whether another attempt may be sent while `in_flight` are at servers of other data centres.
    #[must_use]
    pub const fn has_room(self, in_flight: u32) -> bool {
        in_flight < self.limit
    }

    /// Records the result of an attempt at a server of another data centre.
    pub fn record(&mut self, outcome: outcome::Outcome) {
        match outcome {
            outcome::Outcome::Unsent | outcome::Outcome::Timeout => {
                self.limit = (self.limit / 2).max(1);
            }
            outcome::Outcome::BodyTaken | outcome::Outcome::Cancelled => {}
            _ => self.limit = (self.limit + 1).min(MAX_LIMIT),
        }
    }
}
