//! Probability that a server currently has a gray failure.
//!
//! A server is healthy or gray and changes between the two states at random. Each result of an
//! attempt is a noisy observation of the state, which updates the probability by Bayes' rule.
//! Without observations the probability decays back to the prior.

use std::time::Duration;

use monsooncart_types::time;

/// Prior probability that a server is gray.
const GRAY_PRIOR: f64 = 0.25;

/// Time constant of the exponential decay to the prior.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Probability that a gray server fails an attempt.
const FAILURE_GIVEN_GRAY: f64 = 0.75;

/// Probability that a healthy server fails an attempt.
const FAILURE_GIVEN_HEALTHY: f64 = 0.015;

/// Probability that a gray server is slow to respond to an attempt.
const SLOW_GIVEN_GRAY: f64 = 0.4;

/// Probability that a healthy server is slow to respond to an attempt.
const SLOW_GIVEN_HEALTHY: f64 = 0.06;

/// Probability that a gray server sheds an attempt although it has free slots.
const SHED_GIVEN_GRAY: f64 = 0.5;

/// Probability that a healthy server sheds an attempt although it seems to have free slots, since
/// its load is known with a delay.
const SHED_GIVEN_HEALTHY: f64 = 0.2;

/// What an attempt shows about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Observation {
    /// The attempt succeeded.
    Success,
    /// The attempt failed.
    Failure,
    /// The response is slow.
    Slow,
    /// The server shed the attempt although it should have had free slots.
    Shed,
}

/// Estimate of the probability that one server is gray.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Probability that the server was gray at `updated_at`.
    gray: f64,
    updated_at: time::Time,
}

impl Belief {
    /// Creates the belief about a server without observations: the prior.
    #[must_use]
    pub fn new(now: time::Time) -> Self {
        Self {
            gray: GRAY_PRIOR,
            updated_at: now,
        }
    }

    /// Probability that the server is gray at `now`.
    #[must_use]
    pub fn gray_probability(&self, now: time::Time) -> f64 {
        let age = now.since(self.updated_at).div_duration_f64(DECAY_TIME);
        GRAY_PRIOR + (self.gray - GRAY_PRIOR) * (-age).exp()
    }

    /// Probability that the server fails an attempt that is sent at `now`.
    #[must_use]
    pub fn failure_probability(&self, now: time::Time) -> f64 {
        let gray = self.gray_probability(now);
        gray * FAILURE_GIVEN_GRAY + (1.0 - gray) * FAILURE_GIVEN_HEALTHY
    }

    /// Updates the probability with an observation.
    pub fn update(&mut self, now: time::Time, observation: Observation) {
        let (gray_likelihood, healthy_likelihood) = match observation {
            Observation::Success => (1.0 - FAILURE_GIVEN_GRAY, 1.0 - FAILURE_GIVEN_HEALTHY),
            Observation::Failure => (FAILURE_GIVEN_GRAY, FAILURE_GIVEN_HEALTHY),
            Observation::Slow => (SLOW_GIVEN_GRAY, SLOW_GIVEN_HEALTHY),
            Observation::Shed => (SHED_GIVEN_GRAY, SHED_GIVEN_HEALTHY),
        };
        let prior = self.gray_probability(now);
        let joint = prior * gray_likelihood;
        self.gray = joint / (joint + (1.0 - prior) * healthy_likelihood);
        self.updated_at = now;
    }
}
