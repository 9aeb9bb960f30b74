//! Baseline of the time to the response head of a service.
//!
//! Stores the latest observations of all servers. The slow threshold of a server is derived from
//! the median and the median absolute deviation of the logarithms of the *other* servers' times, so
//! that neither outliers nor the server itself distort it. The same observations show how the
//! other servers have performed since a suspicion began, by the threshold in force at that time.

use std::time::Duration;

use monsooncart_types::{map, time};

use crate::handle;
use crate::health::tally;

/// Maximum number of stored observations.
const MAX_SAMPLES: usize = 128;

/// Minimum number of the other servers' times for a meaningful median.
const MIN_SAMPLES: usize = 8;

/// Ratio of the standard deviation of a normal distribution to its median absolute deviation.
const STD_DEV_PER_MAD: f32 = 1.4826;

/// Distance of the slow threshold from the median, in standard deviations.
const SLOW_DEVIATIONS: f32 = 2.75;

/// Natural logarithm of the minimum ratio of the slow threshold to the median.
const MIN_SLOW_LOG_RATIO: f32 = 1.1;

/// Minimum slow threshold.
const MIN_SLOW_THRESHOLD: Duration = Duration::from_millis(15);

/// Ratio of the slow threshold to the latency objective while too few times are known.
const SLOW_OBJECTIVE_RATIO: u32 = 2;

/// An observation of an attempt at a server.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Observed server.
    pub server: handle::Server,
    /// Time of the observation.
    pub observed_at: time::Time,
    /// Seconds until the response head, or until the attempt finished without one; infinite for an
    /// error or a refusal.
    pub seconds: f32,
}

/// The latest observations of all servers of a service.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    samples: Vec<Sample>,
    /// Index of the oldest observation once the buffer is full.
    oldest: usize,
}

impl Baseline {
    /// Records an observation, replacing the oldest one if the buffer is full.
    pub fn record(&mut self, sample: Sample) {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(sample);
            return;
        }
        self.samples[self.oldest] = sample;
        self.oldest = (self.oldest + 1) % MAX_SAMPLES;
    }

    /// Time to the response head above which an attempt at `server` counts as slow.
    #[must_use]
    pub fn slow_threshold(&self, server: handle::Server, latency_objective: Duration) -> Duration {
        let mut logs = [0.0f32; MAX_SAMPLES];
        let mut count = 0;
        let others = self.samples.iter().filter(|s| s.server != server);
        for sample in others.filter(|s| s.seconds.is_finite()) {
            logs[count] = sample.seconds.max(1e-6).ln();
            count += 1;
        }
        if count < MIN_SAMPLES {
            return (latency_objective * SLOW_OBJECTIVE_RATIO).max(MIN_SLOW_THRESHOLD);
        }
        let logs = &mut logs[..count];
        let median = upper_median(logs);
        for log in logs.iter_mut() {
            *log = (*log - median).abs();
        }
        let deviation = upper_median(logs) * STD_DEV_PER_MAD;
        let threshold = (median + MIN_SLOW_LOG_RATIO.max(deviation * SLOW_DEVIATIONS)).exp();
        Duration::from_secs_f32(threshold.min(3600.0)).max(MIN_SLOW_THRESHOLD)
    }
}

impl Baseline {
    /// Counts the observations of each server except `excluded` from `since` on; those above
    /// `slow_threshold` are bad.
    #[must_use]
    pub fn tallies_since(
        &self,
        excluded: handle::Server,
        since: time::Time,
        slow_threshold: Duration,
    ) -> map::Map<handle::Server, tally::Tally> {
        let mut tallies: map::Map<_, tally::Tally> = map::Map::default();
        let slow_threshold = slow_threshold.as_secs_f32();
        let others = self.samples.iter().filter(|s| s.server != excluded);
        for sample in others.filter(|s| s.observed_at >= since) {
            let tally = tallies.entry(sample.server).or_default();
            tally.count(sample.seconds <= slow_threshold);
        }
        tallies
    }
}

/// Upper median of the values, which must not be empty.
fn upper_median(values: &mut [f32]) -> f32 {
    let middle = values.len() / 2;
    *values.select_nth_unstable_by(middle, f32::total_cmp).1
}
