//! Whether a response body of a stated length can end before its deadline.
//!
//! A server in trouble may state a length that it never reaches. Such a response is given up before
//! the caller receives a byte of it, which leaves the rest of the time to another server or to a
//! final response. The estimate errs towards waiting: the pace is taken to be that of the fastest
//! part, and to rise by [`MAX_SPEEDUP`], though to no more than [`MAX_RATE`]: the part may have waited in
//! a buffer, from which it is read faster than any link carries it.

use std::time::Duration;

use monsooncart_types::rate;
use tokio::time::Instant;

/// By how much the pace of a body may exceed what is known of it.
const MAX_SPEEDUP: f64 = 16.0;

/// Bytes per second of the fastest links of VMs, 400 Gbit/s.
const MAX_RATE: f64 = 50e9;

/// Bytes over which a pace is measured.
const SAMPLE_BYTES: u64 = 128 << 10;

/// Bytes per second of a body or a link.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Pace(pub rate::Rate);

impl Pace {
    /// Whether `bytes` can be transferred within `time`.
    pub fn can_transfer(self, bytes: u64, time: Duration) -> bool {
        let max_rate = (self.0.0 * MAX_SPEEDUP).min(MAX_RATE);
        bytes as f64 <= max_rate * time.as_secs_f64()
    }
}

/// Measures the pace of the fastest part of a body.
#[derive(Debug)]
pub struct Meter {
    sample_started_at: Instant,
    sample_bytes: u64,
    fastest: Option<Pace>,
}

impl Meter {
    /// Starts to measure a body whose first byte is awaited.
    pub fn new(now: Instant) -> Self {
        Self {
            sample_started_at: now,
            sample_bytes: 0,
            fastest: None,
        }
    }

    /// Records bytes that were received.
    pub fn record(&mut self, now: Instant, bytes: u64) {
        self.sample_bytes += bytes;
        if self.sample_bytes < SAMPLE_BYTES {
            return;
        }
        let elapsed = now.saturating_duration_since(self.sample_started_at);
        let pace = Pace(rate::Rate(self.sample_bytes as f64 / elapsed.as_secs_f64()));
        if self.fastest.is_none_or(|fastest| pace > fastest) {
            self.fastest = Some(pace);
        }
        self.sample_started_at = now;
        self.sample_bytes = 0;
    }

    /// Pace of the fastest part; `None` before enough was received.
    pub fn fastest(&self) -> Option<Pace> {
        self.fastest
    }
}
