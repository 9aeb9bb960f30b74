//! Rate of the requests of an organisation at this daemon.

use std::time::Duration;

use monsooncart_types::time;

/// Time constant in which the estimate rises.
const RISE_TIME: Duration = Duration::from_millis(1500);

/// Time constant in which the estimate falls. Longer, so that a pause of a caller does not move the
/// parts.
const FALL_TIME: Duration = Duration::from_secs(6);

/// An exponentially decaying rate.
#[derive(Clone, Copy, Debug)]
struct Rate {
    time_constant: Duration,
    value: f64,
}

impl Rate {
    fn decay(&mut self, elapsed: Duration) {
        self.value *= (-elapsed.div_duration_f64(self.time_constant)).exp();
    }

    fn record(&mut self) {
        self.value += 1.0 / self.time_constant.as_secs_f64();
    }
}

/// Estimate of a rate of requests that rises fast and falls slowly.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    fast: Rate,
    slow: Rate,
    updated_at: time::Time,
}

impl Demand {
    /// Creates an estimate without requests.
    pub fn new(now: time::Time) -> Self {
        let rate = |time_constant| Rate {
            time_constant,
            value: 0.0,
        };
        Self {
            fast: rate(RISE_TIME),
            slow: rate(FALL_TIME),
            updated_at: now,
        }
    }

    fn advance(&mut self, now: time::Time) {
        let elapsed = now.since(self.updated_at);
        self.fast.decay(elapsed);
        self.slow.decay(elapsed);
        self.updated_at = now;
    }

    /// Records a request, whether it is admitted or not.
    pub fn record(&mut self, now: time::Time) {
        self.advance(now);
        self.fast.record();
        self.slow.record();
    }

    /// Requests per second.
    pub fn rate(&mut self, now: time::Time) -> f64 {
        self.advance(now);
        self.fast.value.max(self.slow.value)
    }
}
