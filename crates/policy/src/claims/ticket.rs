//! Tickets and their text form.

use std::fmt;
use std::str;

use monsooncart_types::instance;

/// Identifies a request that is to be executed at most once.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Ticket {
    /// The daemon instance that minted it.
    pub minter: instance::Instance,
    /// Sequence number at that instance.
    pub number: u64,
    /// Truncated HMAC with which the minter authenticates its own tickets.
    pub mac: u64,
}

/// The text is not a valid ticket.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("ticket is not 48 hexadecimal digits")]
pub struct Error;

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:016x}{:016x}{:016x}",
            self.minter.0, self.number, self.mac
        )
    }
}

impl str::FromStr for Ticket {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() != 48 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(Error);
        }
        let part =
            |start: usize| u64::from_str_radix(&text[start..start + 16], 16).map_err(|_| Error);
        Ok(Self {
            minter: instance::Instance(part(0)?),
            number: part(16)?,
            mac: part(32)?,
        })
    }
}
