//! Expected cost of an attempt at a server, in units of one failed request.

/// Cost of a retry, for the time and the work that it takes.
const RETRY_COST: f64 = 0.15;

/// Cost of a failed request.
const FAILURE_COST: f64 = 1.0;

/// Cost of an attempt at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Probability that the attempt fails.
    pub failure_probability: f64,
    /// Cost of transferring a successful response.
    pub transfer: f64,
    /// Cost of queueing, utilisation, warm-up and distance, whether the attempt fails or not.
    pub delay: f64,
    /// Value of the evidence that the attempt yields.
    pub exploration_value: f64,
}

impl Cost {
    /// Expected cost if no retry can follow a failure.
    #[must_use]
    pub fn without_retry(&self) -> f64 {
        self.expected(FAILURE_COST)
    }

    /// Expected cost if a failure is followed by a retry, whose own expected cost is `retry_cost`.
    /// The value of the evidence is subtracted: a request that can be retried may explore.
    #[must_use]
    pub fn with_retry(&self, retry_cost: f64) -> f64 {
        self.expected(RETRY_COST + retry_cost.min(FAILURE_COST)) - self.exploration_value
    }

    fn expected(&self, failure_cost: f64) -> f64 {
        self.failure_probability * failure_cost
            + (1.0 - self.failure_probability) * self.transfer
            + self.delay
    }
}
