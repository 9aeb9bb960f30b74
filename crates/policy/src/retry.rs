//! The retry budget, which also covers hedges.
//!
//! Every request that arrives deposits a fraction of a token; a retry or a hedge withdraws a whole
//! one. This bounds the added attempts to a ratio of live traffic, so that a failure of the whole
//! service cannot multiply its load.

/// Maximum balance; it also allows a service with little traffic some retries.
const MAX_TOKENS: f64 = 10.0;

/// Balance that a hedge leaves for retries.
const HEDGE_RESERVE: f64 = 1.0;

/// A token bucket that is filled by live traffic.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    ratio: f64,
    tokens: f64,
}

impl Budget {
    /// A full budget to which each request deposits `ratio` of a token.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            tokens: MAX_TOKENS,
        }
    }

    /// Deposits the fraction of a token for one live request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(MAX_TOKENS);
    }

    /// Withdraws a token for a retry; returns whether there was one.
    pub fn withdraw_retry(&mut self) -> bool {
        self.withdraw(0.0)
    }

    /// Withdraws a token for a hedge; returns whether there was one beyond the reserve.
    pub fn withdraw_hedge(&mut self) -> bool {
        self.withdraw(HEDGE_RESERVE)
    }

    /// Refunds the token of a retry or hedge that was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(MAX_TOKENS);
    }

    /// Whether [`Self::withdraw_hedge`] would succeed.
    #[must_use]
    pub fn can_hedge(&self) -> bool {
        self.tokens >= 1.0 + HEDGE_RESERVE
    }

    fn withdraw(&mut self, reserve: f64) -> bool {
        if self.tokens < 1.0 + reserve {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
