//! Key with which a minter authenticates its own tickets.

use std::fmt;

use hmac::Mac as _;
use monsooncart_types::instance;

use crate::claims::ticket;

/// Length of a secret, in bytes.
pub const LEN_BYTES: usize = 32;

type Hmac = hmac::Hmac<sha2::Sha256>;

/// Secret key of one daemon instance, generated at startup.
#[derive(Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Secret(pub [u8; LEN_BYTES]);

impl Secret {
    /// Creates the ticket of `minter` with this number.
    #[must_use]
    pub fn ticket(&self, minter: instance::Instance, number: u64) -> ticket::Ticket {
        ticket::Ticket {
            minter,
            number,
            mac: self.mac(minter, number),
        }
    }

    /// Whether a ticket was made with this secret.
    #[must_use]
    pub fn verifies(&self, ticket: &ticket::Ticket) -> bool {
        self.mac(ticket.minter, ticket.number) == ticket.mac
    }

    fn mac(&self, minter: instance::Instance, number: u64) -> u64 {
        let mut mac = Hmac::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(&minter.0.to_be_bytes());
        mac.update(&number.to_be_bytes());
        let code = mac.finalize().into_bytes();
        code.iter()
            .take(8)
            .fold(0, |sum, b| sum << 8 | u64::from(*b))
    }
}

/// Does not reveal the key.
impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
