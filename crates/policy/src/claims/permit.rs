//! The claimant's side of one claim.
//!
//! Invariant: a request is sent at most once per claim, and never after the claim was released. A
//! grant that arrives after the release is ignored: the release may already have reopened the
//! ticket for another claimant.

use crate::claims::claim;

/// State of a claim at the claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Requested from the minter, possibly repeatedly.
    Asking,
    /// Granted: the request may be sent, once.
    Granted,
    /// The request is being sent.
    Sent,
    /// Refused or released: the request is never sent.
    Closed,
}

/// Permission to send one received request, requested from the ticket's minter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permit {
    phase: Phase,
}

impl Default for Permit {
    fn default() -> Self {
        Self::new()
    }
}

impl Permit {
    /// Creates a permit that has yet to be granted.
    #[must_use]
    pub fn new() -> Self {
        let phase = Phase::Asking;
        Self { phase }
    }

    /// Returns the phase of the claim.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Records the minter's decision; returns whether the request may be sent.
    pub fn record_decision(&mut self, decision: Result<(), claim::Refusal>) -> bool {
        if self.phase != Phase::Asking {
            return self.phase == Phase::Granted;
        }
        match decision {
            Ok(()) => self.phase = Phase::Granted,
            // Not a decision: ask again, or ask the successor.
            Err(claim::Refusal::Stopping | claim::Refusal::Unreachable) => {}
            Err(_) => self.phase = Phase::Closed,
        }
        self.phase == Phase::Granted
    }

    /// Consumes the permission to send; returns `true` at most once per grant.
    pub fn send(&mut self) -> bool {
        let granted = self.phase == Phase::Granted;
        if granted {
            self.phase = Phase::Sent;
        }
        granted
    }

    /// Makes the permission available again after an attempt that was certainly not executed.
    pub fn undo_send(&mut self) {
        if self.phase == Phase::Sent {
            self.phase = Phase::Granted;
        }
    }

    /// Gives up the claim, before sending or after an attempt that was certainly not executed;
    /// returns whether a release should be sent to the minter.
    pub fn release(&mut self) -> bool {
        let must_release = self.phase != Phase::Closed;
        self.phase = Phase::Closed;
        must_release
    }
}
