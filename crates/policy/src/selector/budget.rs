//! Retry budget: bounds the load that retries and hedges add to a service.
//!
//! The bound holds for all daemons together: each may use the share of its own requests and an
//! equal part of the slack. Requests and retries are counted over a sliding window, in slices.
//!
//! While more attempts fail than may be retried, the retries go to what is most urgent.

use std::collections::VecDeque;
use std::time::Duration;

use monsooncart_types::time;

/// Share of the budget that is kept for the most urgent requests, once it did not suffice for them.
const URGENT_SHARE: f64 = 0.5;

/// Number of slices of the window.
const WINDOW_SLICES: u32 = 20;

/// Fraction of the share that is used, since daemons count requests at other times than servers
/// receive them.
const SHARE_FRACTION: f64 = 0.8;

/// Fraction of the slack that is used: a restarted daemon does not know the retries of its previous
/// run, and all daemons may restart within one window.
const SLACK_FRACTION: f64 = 0.4;

/// Bound on the retries of all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Number of retries permitted per request.
    pub share: f64,
    /// Number of retries permitted in each window in addition to the share.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
    /// Highest priority of a retry that was denied; 0 is the highest.
    denied: u32,
}

/// Counts requests and retries, and decides whether another retry is permitted.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    slices: VecDeque<Slice>,
}

impl Budget {
    /// Creates a budget without requests and retries.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            slices: VecDeque::new(),
        }
    }

    /// Counts a new request.
    pub fn record_request(&mut self, now: time::Time) {
        self.current_slice(now).requests += 1;
    }

    /// Counts a retry or hedge.
    pub fn record_retry(&mut self, now: time::Time) {
        self.current_slice(now).retries += 1;
    }

    /// Returns whether another retry keeps the bound, given that `daemons` share the slack. After a
    /// retry was denied, less urgent requests leave a part of the budget to those that are as urgent.
    pub fn allows_retry(&mut self, now: time::Time, daemons: u32, priority: u32) -> bool {
        self.current_slice(now);
        let requests: u32 = self.slices.iter().map(|s| s.requests).sum();
        let retries: u32 = self.slices.iter().map(|s| s.retries).sum();
        let slack = SLACK_FRACTION * self.limits.slack / f64::from(daemons.max(1));
        let share = SHARE_FRACTION * self.limits.share * f64::from(requests);
        let denied = self.slices.iter().map(|s| s.denied).min();
        let usable = match denied.is_some_and(|denied| denied < priority) {
            true => 1.0 - URGENT_SHARE,
            false => 1.0,
        };
        let is_allowed = f64::from(retries + 1) <= (share + slack) * usable;
        if !is_allowed {
            let slice = self.current_slice(now);
            slice.denied = slice.denied.min(priority);
        }
        is_allowed
    }

    /// Returns the slice of `now`, after removing those that have left the window.
    fn current_slice(&mut self, now: time::Time) -> &mut Slice {
        let length = (self.limits.window / WINDOW_SLICES).max(Duration::from_millis(1));
        let number = now.0 / u64::try_from(length.as_nanos()).unwrap_or(u64::MAX);
        let first = number.saturating_sub(u64::from(WINDOW_SLICES));
        while self.slices.front().is_some_and(|s| s.number < first) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| s.number != number) {
            self.slices.push_back(Slice {
                number,
                requests: 0,
                retries: 0,
                denied: u32::MAX,
            });
        }
        self.slices.back_mut().expect("a slice was just pushed")
    }
}
