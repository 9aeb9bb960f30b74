//! Calls for claims on tickets.

use bytes::Bytes;
use monsooncart_policy::claims::{claim, ticket};
use monsooncart_types::instance;

/// Requests the claim on a ticket from its minter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// The ticket.
    pub ticket: ticket::Ticket,
    /// Request that claims the ticket.
    pub claimant: claim::Claimant,
}

/// Releases a claim: the claimed request was not executed and never will be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Release {
    /// The ticket.
    pub ticket: ticket::Ticket,
    /// Request that holds the claim.
    pub claimant: claim::Claimant,
}

/// Reports the outcome of the claimed request to the minter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Settle {
    /// The ticket.
    pub ticket: ticket::Ticket,
    /// Request that holds the claim.
    pub claimant: claim::Claimant,
    /// Final state of the ticket.
    pub state: claim::State,
}

/// Requests the state of a ticket from its minter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Outcome {
    /// The ticket.
    pub ticket: ticket::Ticket,
}

/// Transfers the claim table of a stopping minter, or a part of it, to a successor.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HandOver {
    /// Minter that owns the table.
    pub minter: instance::Instance,
    /// Index of the part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Entries of the part, in the encoding of `monsooncart_policy::claims`.
    pub table: Bytes,
}
