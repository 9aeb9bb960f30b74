//! Transfer of claims to a successor on a planned shutdown.
//!
//! The stopping daemon grants no claims from the moment it creates the handover. It offers it to
//! one successor, repeatedly until a reply arrives, and to another one only after a definite
//! refusal. A refusal is definite because a daemon refuses only once it is stopping itself, which
//! is irreversible, and never refuses a table that it already took. A new process at the
//! successor's address replies [`Reply::Misaddressed`]: that reveals nothing about what the earlier
//! process took, so it does not allow an offer to another successor.

use monsooncart_types::{instance, time};

use crate::claims::register;

/// A table offered to a successor.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Handover {
    /// The daemon that is stopping.
    pub from: instance::Instance,
    /// The only daemon instance that may take it.
    pub to: instance::Instance,
    /// Creation time on the clock of `from`; the registers' times refer to that clock.
    pub made: time::Time,
    /// Claims on tickets minted by `from` and by the daemons whose tables it took over.
    pub registers: Vec<register::Register>,
}

/// Reply to a handover.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Reply {
    /// The successor took the table, now or earlier, and decides its tickets.
    Taken,
    /// It did not take the table and never will.
    Refused,
    /// It is not the instance that the handover is addressed to.
    Misaddressed,
}
