//! Retry budget: bounds the load that retries and hedges add to a service.
//!
//! The bound holds for all daemons together. Each may use the share of its own requests, counted over
//! a sliding window in slices; what exceeds it draws on the daemon's part of the slack.
//!
//! The slack is a flow: each daemon of the entry sets earns an equal part of it over time, keeps at
//! most what it earns in one window, and loses that when it leaves the sets or restarts. What all
//! daemons spend in a window is therefore bounded by what they held, what they earned and the little
//! with which they start, however often daemons replace each other. A daemon that loses sight of
//! others goes on to divide by their number for a while, as they may be there and spend their parts.
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

/// Fraction of the slack that all daemons together earn in one window. In any window they spend at most
/// twice that: what they held at its start and what they earned in it.
const SLACK_FRACTION: f64 = 0.4;

/// Fraction of its part of one window that a daemon holds when it starts: enough for a first retry in a
/// small fleet, and for four restarts of all daemons in one window.
const START_FRACTION: f64 = 0.125;

/// Time for which the slack is still divided among daemons that are out of sight.
const OUT_OF_SIGHT_RETENTION: Duration = Duration::from_secs(60);

/// Bound on the retries of all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Number of retries permitted per request.
    pub share: f64,
    /// Number of retries permitted in each window in addition to the share.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Number of daemons that there are at least, whether or not they are known.
    pub min_daemons: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 10.0,
            window: Duration::from_secs(10),
            min_daemons: 1,
        }
    }
}

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    number: u64,
    requests: u32,
    /// Retries, and parts of them, that drew on the share.
    retries: f64,
    /// Highest priority of a retry that was denied; 0 is the highest.
    denied: u32,
}

/// Counts requests and retries, and decides whether another retry is permitted.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    slices: VecDeque<Slice>,
    /// Number of retries that the slack permits now.
    held_slack: f64,
    earned_until: time::Time,
    /// Whether this daemon is in the entry sets.
    earns: bool,
    /// Number of daemons that are known.
    known: u32,
    /// Number of daemons among which the slack is divided.
    divisor: u32,
    /// When so many daemons were last known.
    divisor_known_at: time::Time,
}

impl Budget {
    /// Creates a budget without requests and retries, of a daemon that has just started and knows no
    /// other.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let mut budget = Self {
            limits,
            slices: VecDeque::new(),
            held_slack: 0.0,
            earned_until: time::Time::ZERO,
            earns: true,
            known: limits.min_daemons.max(1),
            divisor: limits.min_daemons.max(1),
            divisor_known_at: time::Time::ZERO,
        };
        budget.held_slack = START_FRACTION * budget.slack_per_window();
        budget
    }

    /// Applies the number of daemons in the entry sets, and whether this one is among them.
    pub fn set_daemons(&mut self, now: time::Time, daemons: u32, is_member: bool) {
        self.earn_slack(now);
        if self.known == self.divisor {
            self.divisor_known_at = now;
        }
        self.known = daemons.max(self.limits.min_daemons).max(1);
        let is_outdated = now.since(self.divisor_known_at) >= OUT_OF_SIGHT_RETENTION;
        if self.known > self.divisor {
            self.held_slack *= f64::from(self.divisor) / f64::from(self.known);
        }
        if self.known > self.divisor || is_outdated {
            self.divisor = self.known;
        }
        self.earns = is_member;
        if !is_member {
            self.held_slack = 0.0;
        }
    }

    /// Number of daemons among which the slack is divided.
    #[must_use]
    pub fn divisor(&self) -> u32 {
        self.divisor
    }

    /// Counts a new request.
    pub fn record_request(&mut self, now: time::Time) {
        self.current_slice(now).requests += 1;
    }

    /// Returns whether another retry keeps the bound. After a retry was denied, less urgent requests
    /// leave a part of the budget to those that are as urgent.
    pub fn allows_retry(&mut self, now: time::Time, priority: u32) -> bool {
        let is_allowed = self.part_of_share(now, priority).is_some();
        if !is_allowed {
            let slice = self.current_slice(now);
            slice.denied = slice.denied.min(priority);
        }
        is_allowed
    }

    /// Counts a retry or hedge that was allowed.
    pub fn record_retry(&mut self, now: time::Time, priority: u32) {
        let of_share = self.part_of_share(now, priority).unwrap_or(1.0);
        self.current_slice(now).retries += of_share;
        self.held_slack -= 1.0 - of_share;
    }

    /// Takes back a retry that was counted and not sent.
    pub fn refund_retry(&mut self, now: time::Time) {
        self.earn_slack(now);
        let mut left = 1.0;
        for slice in self.slices.iter_mut().rev() {
            let of_share = slice.retries.min(left);
            slice.retries -= of_share;
            left -= of_share;
        }
        self.held_slack = (self.held_slack + left).min(self.slack_per_window());
    }

    /// Part of the next retry that draws on the share, the rest of it on the slack; `None` if it would
    /// exceed the bound. Daemons with few requests would lose what neither of the two has whole.
    fn part_of_share(&mut self, now: time::Time, priority: u32) -> Option<f64> {
        self.current_slice(now);
        self.earn_slack(now);
        let requests: u32 = self.slices.iter().map(|s| s.requests).sum();
        let retries: f64 = self.slices.iter().map(|s| s.retries).sum();
        let denied = self.slices.iter().map(|s| s.denied).min();
        let reserve = match denied.is_some_and(|denied| denied < priority) {
            true => URGENT_SHARE,
            false => 0.0,
        };
        let share = SHARE_FRACTION * self.limits.share * f64::from(requests);
        let of_share = (share * (1.0 - reserve) - retries).clamp(0.0, 1.0);
        let held_slack = self.held_slack - self.slack_per_window() * reserve;
        let of_slack = 1.0 - of_share;
        (of_slack == 0.0 || of_slack <= held_slack).then_some(of_share)
    }

    /// Part of the slack that this daemon earns in one window, and holds at most.
    fn slack_per_window(&self) -> f64 {
        SLACK_FRACTION * self.limits.slack / f64::from(self.divisor)
    }

    /// Adds the part of the slack that was earned until `now`.
    fn earn_slack(&mut self, now: time::Time) {
        let elapsed = now.since(self.earned_until);
        self.earned_until = now.max(self.earned_until);
        if self.earns {
            let per_window = self.slack_per_window();
            let windows = elapsed.as_secs_f64() / self.limits.window.as_secs_f64().max(0.001);
            self.held_slack = (self.held_slack + per_window * windows).min(per_window);
        }
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
                retries: 0.0,
                denied: u32::MAX,
            });
        }
        self.slices.back_mut().expect("a slice was just pushed")
    }
}
