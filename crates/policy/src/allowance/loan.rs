//! Messages by which a daemon that is short of tokens gets some of others.
//!
//! The lender takes the tokens out of its bucket before it sends them. If the message is lost, they are
//! lost; none exists twice.

use monsooncart_types::instance;

use super::{Limit, Organisation};

/// A message about a loan.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Loan {
    /// A daemon asks for tokens.
    Ask {
        /// The asking daemon.
        from: instance::Instance,
        /// The organisation.
        organisation: Organisation,
        /// Its limit, for a daemon without requests of the organisation.
        limit: Limit,
        /// Tokens that are needed.
        tokens: f64,
    },
    /// A daemon gives tokens.
    Grant {
        /// The giving daemon.
        from: instance::Instance,
        /// Number of the grant at the giving daemon, so that none counts twice.
        number: u64,
        /// The organisation.
        organisation: Organisation,
        /// The tokens.
        tokens: f64,
    },
}

impl Loan {
    /// Whether all numbers are finite and not negative; a malformed message must not spoil a bucket.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let is_amount = |value: f64| value.is_finite() && value >= 0.0;
        match self {
            Self::Ask { limit, tokens, .. } => {
                is_amount(limit.rate) && is_amount(limit.burst) && is_amount(*tokens)
            }
            Self::Grant { tokens, .. } => is_amount(*tokens),
        }
    }
}
