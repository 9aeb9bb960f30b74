//! What requests that are sent more than once may add to the load of a service.
//!
//! The bound holds over all daemons: each takes the share of its own traffic and an equal part of
//! the slack. Both are counted over a sliding span, in slices.

use std::collections::VecDeque;
use std::time::Duration;

use monsooncart_types::time;

/// Slices that the span is counted in.
const SLICES: u32 = 20;

/// Part of the share that is used, as daemons count their own requests at other moments than
/// servers receive them.
const SHARE_USED: f64 = 0.8;

/// Part of the slack that is used: a daemon that starts anew has forgotten what it spent, and all
/// may start anew within one window.
const SLACK_USED: f64 = 0.4;

/// The bound over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries for each request.
    pub share: f64,
    /// Retries besides.
    pub slack: f64,
    /// Span over which both are counted.
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

/// Counts of one slice of time.
#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Counts what was added, and says what may be.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    slices: VecDeque<Slice>,
}

impl Budget {
    /// A budget of which nothing was spent.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            slices: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn arrived(&mut self, now: time::Time) {
        self.slice(now).requests += 1;
    }

    /// Counts a retry.
    pub fn spend(&mut self, now: time::Time) {
        self.slice(now).retries += 1;
    }

    /// Whether one retry more keeps the bound, where `daemons` share the slack.
    pub fn affords(&mut self, now: time::Time, daemons: u32) -> bool {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|s| s.requests).sum();
        let retries: u32 = self.slices.iter().map(|s| s.retries).sum();
        let slack = SLACK_USED * self.limits.slack / f64::from(daemons.max(1));
        let share = SHARE_USED * self.limits.share * f64::from(requests);
        f64::from(retries + 1) <= share + slack
    }

    fn slice(&mut self, now: time::Time) -> &mut Slice {
        let length = (self.limits.window / SLICES).max(Duration::from_millis(1));
        let number = now.0 / u64::try_from(length.as_nanos()).unwrap_or(u64::MAX);
        let first = number.saturating_sub(u64::from(SLICES));
        while self.slices.front().is_some_and(|s| s.number < first) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|s| s.number != number) {
            self.slices.push_back(Slice {
                number,
                requests: 0,
                retries: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just pushed")
    }
}
