//! The service's usual time to the head of an answer.
//!
//! Holds the last observations of all servers. A server's limit comes from the *other* servers'
//! times by median and median absolute deviation of their logarithms, so that neither outliers
//! nor the server itself move it. The same observations tell how the other servers did since a
//! suspicion began, by the limit that held then.

use std::time::Duration;

use monsooncart_types::{map, time};

use crate::handle;
use crate::health::tally;

/// Times held.
const CAPACITY: usize = 128;

/// Times of other servers from which their median means something.
const ENOUGH: usize = 8;

/// Standard deviations of a normal distribution in its median absolute deviation.
const SIGMA: f32 = 1.4826;

/// Standard deviations above the median at which a time is slow.
const DEVIATIONS: f32 = 2.75;

/// Least ratio to the median at which a time is slow, as a logarithm.
const RATIO: f32 = 1.1;

/// Shortest time that is slow at all.
const SLOW_MIN: Duration = Duration::from_millis(15);

/// Ratio to the promised time at which a time is slow while no others are known.
const PROMISES: u32 = 2;

/// An observation of a server.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The server.
    pub server: handle::Server,
    /// When it was made.
    pub at: time::Time,
    /// Seconds to the head of the answer, or without one; infinite for an error or a refusal.
    pub seconds: f32,
}

/// The last observations of all servers.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    samples: Vec<Sample>,
    next: usize,
}

impl Baseline {
    /// Records an observation.
    pub fn record(&mut self, sample: Sample) {
        if self.samples.len() < CAPACITY {
            self.samples.push(sample);
            return;
        }
        self.samples[self.next] = sample;
        self.next = (self.next + 1) % CAPACITY;
    }

    /// The time above which an answer of a server is slow.
    #[must_use]
    pub fn slow_threshold(&self, server: handle::Server, promise: Duration) -> Duration {
        let mut logs = [0.0f32; CAPACITY];
        let mut count = 0;
        let others = self.samples.iter().filter(|s| s.server != server);
        for sample in others.filter(|s| s.seconds.is_finite()) {
            logs[count] = sample.seconds.max(1e-6).ln();
            count += 1;
        }
        if count < ENOUGH {
            return (promise * PROMISES).max(SLOW_MIN);
        }
        let logs = &mut logs[..count];
        let median = middle(logs);
        for log in logs.iter_mut() {
            *log = (*log - median).abs();
        }
        let spread = middle(logs) * SIGMA;
        let limit = (median + RATIO.max(spread * DEVIATIONS)).exp();
        Duration::from_secs_f32(limit.min(3600.0)).max(SLOW_MIN)
    }
}

impl Baseline {
    /// How each of the other servers did since a time, where a time above `limit` is bad.
    #[must_use]
    pub fn tallies_since(
        &self,
        server: handle::Server,
        since: time::Time,
        limit: Duration,
    ) -> map::Map<handle::Server, tally::Tally> {
        let mut tallies: map::Map<_, tally::Tally> = map::Map::default();
        let limit = limit.as_secs_f32();
        let others = self.samples.iter().filter(|s| s.server != server);
        for sample in others.filter(|s| s.at >= since) {
            let tally = tallies.entry(sample.server).or_default();
            tally.count(sample.seconds <= limit);
        }
        tallies
    }
}

/// The upper median.
fn middle(values: &mut [f32]) -> f32 {
    let at = values.len() / 2;
    *values.select_nth_unstable_by(at, f32::total_cmp).1
}
