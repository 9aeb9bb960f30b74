//! What an attempt at a server costs, in failed requests.

/// Cost of sending a request once more, by the time and the work that it takes.
const AGAIN: f64 = 0.15;

/// Cost of a request that fails.
const FAILED: f64 = 1.0;

/// What an attempt at one server costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Chance that it fails.
    pub fails: f64,
    /// Cost of the way of a good answer.
    pub answer: f64,
    /// Cost of the wait and of the way of the request.
    pub wait: f64,
    /// Worth of the evidence that its end gives.
    pub news: f64,
}

impl Cost {
    /// The cost where no attempt can follow a failed one.
    #[must_use]
    pub fn last(&self) -> f64 {
        self.before(FAILED)
    }

    /// The cost where an attempt that costs `next` follows a failed one, so that the request can
    /// go where little is known.
    #[must_use]
    pub fn first(&self, next: f64) -> f64 {
        self.before(AGAIN + next.min(FAILED)) - self.news
    }

    fn before(&self, failure: f64) -> f64 {
        self.fails * failure + (1.0 - self.fails) * self.answer + self.wait
    }
}
