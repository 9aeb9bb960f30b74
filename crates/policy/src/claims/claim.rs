//! Claimants, and the states and refusals of claims.

use monsooncart_types::instance;

/// Identifies a claimant: one request received by one daemon instance.
///
/// A claim repeated by the same claimant gets the same decision, so that claims can be retried
/// after a lost reply.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Claimant {
    /// The daemon instance that received the request.
    pub daemon: instance::Instance,
    /// Number of the request at that instance.
    pub request: u64,
}

/// State of a ticket's request.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// Not claimed: it was not executed.
    Open,
    /// Claimed and not settled: it may be executing.
    Claimed,
    /// It was answered with this HTTP status.
    Answered(u16),
    /// Its attempt failed without an answer: it may have been executed.
    Unknown,
}

/// Reason for refusing a claim; the refused attempt was not executed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
    derive_more::Error,
)]
pub enum Refusal {
    /// Another request holds the claim.
    #[display("ticket is claimed already, its work stands at {state}")]
    Taken {
        /// State of the ticket's request.
        #[error(not(source))]
        state: State,
    },
    /// The ticket was not minted by the daemon that it names.
    #[display("ticket was not minted by this fleet")]
    Forged,
    /// The minter is stopping and grants no more claims; retry.
    #[display("minter of the ticket is stopping")]
    Stopping,
    /// The minter did not reply in time; retry. The claim may have been granted, but the request is
    /// not sent.
    #[display("minter of the ticket did not answer")]
    Unreachable,
    /// The claimant has released its claim.
    #[display("claim on the ticket was released")]
    Released,
    /// The ticket is past its minter's retention: whether an earlier attempt was executed is
    /// unknown.
    #[display("ticket is expired, an earlier attempt is unknown")]
    Expired,
    /// The minter no longer exists: whether an earlier attempt was executed is unknown.
    #[display("minter of the ticket is gone, an earlier attempt is unknown")]
    Gone,
}
