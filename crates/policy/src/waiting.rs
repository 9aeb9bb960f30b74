//! Requests that wait for room at the servers of a service.
//!
//! The queue decides who goes next, and who is refused when not all can be served in time: what costs
//! callers least, by priority, deadline and work. Requests of a higher priority go first, and among
//! those of one priority the ones that can still be in time, by the latest moment at which they must
//! start. So that no priority starves, every few requests the one that has waited longest goes.
//!
//! After a burst, a late response is better than none. While the queue stands, it makes every response
//! late without serving one more, so only what can be in time waits then.

use std::collections::VecDeque;
use std::time::Duration;

use monsooncart_types::time;

use crate::handle;

/// Maximum number of requests in the queue.
pub const MAX_WAITING: usize = 256;

/// Number of requests that are tried when there may be room: different requests may go to different
/// servers.
pub const CANDIDATES: usize = 3;

/// Of this many requests that leave the queue, one is the request that has waited longest.
const FAIR_INTERVAL: u32 = 8;

/// Time constant of the pace.
const PACE_TIME: Duration = Duration::from_secs(1);

/// Pace below which the queue counts as standing still, in requests per second.
const MIN_PACE: f64 = 0.5;

/// Time for which no new request could be in time and the wait did not become shorter, after which the
/// queue counts as standing.
const STANDING_TIME: Duration = Duration::from_millis(1500);

/// Time for which new requests must find a short wait until a queue no longer counts as standing.
const CALM_TIME: Duration = Duration::from_secs(2);

/// Share of the time that a request has before it must start, up to which a wait is short.
const SHORT_WAIT_SHARE: f64 = 0.25;

/// Ratio to the longest wait below which a queue counts as shrinking.
const SHRINKING_RATIO: f64 = 0.7;

/// Whether the queue stands.
#[derive(Clone, Copy, Debug)]
enum State {
    /// Requests find room, or will soon.
    Calm,
    /// No new request can be in time.
    Late {
        /// Since when the wait has not become shorter.
        since: time::Time,
        /// Longest wait since.
        longest: Duration,
    },
    /// No new request could be in time for a while.
    Standing {
        /// Since when the wait is short.
        calm_since: Option<time::Time>,
    },
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The request.
    pub request: handle::Request,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// When it arrived.
    pub arrived_at: time::Time,
    /// When its response must come to be in time.
    pub due_at: time::Time,
    /// When its response must come at the latest.
    pub deadline: time::Time,
    /// Expected time at a server, queueing included.
    pub work: Duration,
}

impl Waiter {
    /// Latest start for a response at `by`; zero if it is in the past of the clock.
    fn latest_start(&self, by: time::Time) -> time::Time {
        time::Time::ZERO + by.since(time::Time::ZERO + self.work)
    }

    /// Whether it can be served in its time; while the queue stands, in time for its objective.
    fn is_servable(&self, now: time::Time, is_standing: bool) -> bool {
        let by = if is_standing {
            self.due_at
        } else {
            self.deadline
        };
        now <= self.latest_start(by)
    }

    /// Order in which requests go: the lowest first.
    fn rank(&self, now: time::Time) -> (u32, bool, time::Time) {
        let start = self.latest_start(self.due_at);
        if now <= start {
            (self.priority, false, start)
        } else {
            (self.priority, true, self.latest_start(self.deadline))
        }
    }

    /// Order in which requests are refused: the highest first.
    fn expendability(&self) -> (u32, Duration, time::Time) {
        (self.priority, self.work, self.arrived_at)
    }
}

/// What becomes of a request that finds no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits.
    Waits,
    /// It waits, and another one is refused for it.
    Replaces(Waiter),
    /// It is refused.
    Refused,
}

/// Rate of the requests that leave the queue or need not wait.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    rate: f64,
    updated_at: time::Time,
}

impl Pace {
    fn at(&self, now: time::Time) -> f64 {
        let age = now.since(self.updated_at).div_duration_f64(PACE_TIME);
        self.rate * (-age).exp()
    }

    fn record(&mut self, now: time::Time) {
        self.rate = self.at(now) + 1.0 / PACE_TIME.as_secs_f64();
        self.updated_at = now;
    }
}

/// A duration times a ratio below one; the longest one stays the longest.
fn scaled(duration: Duration, ratio: f64) -> Duration {
    match duration {
        Duration::MAX => duration,
        _ => duration.mul_f64(ratio),
    }
}

/// The queue of one service at one daemon.
#[derive(Clone, Debug)]
pub struct Queue {
    /// In order of arrival.
    waiters: VecDeque<Waiter>,
    pace: Pace,
    /// Requests that left the queue since the one that had waited longest.
    left_since_fair: u32,
    state: State,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            waiters: VecDeque::new(),
            pace: Pace::default(),
            left_since_fair: 0,
            state: State::Calm,
        }
    }
}

impl Queue {
    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Records that a request was sent, after waiting or not.
    pub fn record_sent(&mut self, now: time::Time) {
        self.pace.record(now);
    }

    /// Expected time until `ahead` requests have left the queue; `None` if it stands still.
    fn expected_wait(&self, now: time::Time, ahead: usize) -> Option<Duration> {
        let pace = self.pace.at(now);
        (pace >= MIN_PACE).then(|| Duration::from_secs_f64((ahead + 1) as f64 / pace))
    }

    /// Time until the requests that wait have left the queue.
    #[must_use]
    pub fn time_to_empty(&self, now: time::Time) -> Duration {
        let wait = self.expected_wait(now, self.waiters.len());
        wait.unwrap_or(PACE_TIME)
    }

    /// Whether a request is expected to be served in its time behind those that go before it.
    fn is_expected_in_time(&self, now: time::Time, waiter: &Waiter) -> bool {
        let rank = waiter.rank(now);
        let ahead = self.waiters.iter().filter(|other| other.rank(now) < rank);
        let wait = self.expected_wait(now, ahead.count());
        let is_standing = self.is_standing();
        wait.is_some_and(|wait| waiter.is_servable(now + wait, is_standing))
    }

    fn is_standing(&self) -> bool {
        matches!(self.state, State::Standing { .. })
    }

    /// Records whether a new request is sent without waiting.
    pub fn record_arrival(&mut self, now: time::Time, finds_room: bool) {
        if finds_room {
            self.observe_wait(now, Some(Duration::ZERO), Duration::MAX);
        }
    }

    /// Follows the wait behind all requests; `room` is the time that a new one has before it must start
    /// to be in time.
    fn observe_wait(&mut self, now: time::Time, wait: Option<Duration>, room: Duration) {
        let wait = wait.unwrap_or(Duration::MAX);
        let is_late = wait > room;
        let is_short = wait <= scaled(room, SHORT_WAIT_SHARE);
        self.state = match self.state {
            State::Calm if is_late => State::Late {
                since: now,
                longest: wait,
            },
            State::Late { .. } if !is_late => State::Calm,
            State::Late { longest, .. } if wait < scaled(longest, SHRINKING_RATIO) => State::Late {
                since: now,
                longest: wait,
            },
            State::Late { since, .. } if now.since(since) >= STANDING_TIME => {
                State::Standing { calm_since: None }
            }
            State::Late { since, longest } => State::Late {
                since,
                longest: longest.max(wait),
            },
            State::Standing { calm_since } if is_short => {
                let calm_since = calm_since.unwrap_or(now);
                match now.since(calm_since) >= CALM_TIME {
                    true => State::Calm,
                    false => State::Standing {
                        calm_since: Some(calm_since),
                    },
                }
            }
            State::Standing { .. } => State::Standing { calm_since: None },
            State::Calm => State::Calm,
        };
    }

    /// Decides about a request that finds no room.
    pub fn admit(&mut self, now: time::Time, waiter: Waiter) -> Admission {
        let wait = self.expected_wait(now, self.waiters.len());
        let room = waiter.latest_start(waiter.due_at).since(now);
        self.observe_wait(now, wait, room);
        if !self.is_expected_in_time(now, &waiter) {
            return Admission::Refused;
        }
        self.waiters.push_back(waiter);
        let last = self.waiters.iter().max_by_key(|waiter| waiter.rank(now));
        let is_overfull = self.waiters.len() > MAX_WAITING
            || last.is_some_and(|last| !self.is_expected_in_time(now, last));
        if !is_overfull {
            return Admission::Waits;
        }
        let candidates = self.waiters.iter().enumerate();
        let expendable = candidates.max_by_key(|(_, waiter)| waiter.expendability());
        let expendable = expendable.map(|(index, _)| index);
        match expendable.and_then(|index| self.waiters.remove(index)) {
            Some(refused) if refused.request == waiter.request => Admission::Refused,
            Some(refused) => Admission::Replaces(refused),
            None => Admission::Waits,
        }
    }

    /// The first requests in the order in which they may go.
    #[must_use]
    pub fn candidates(&self, now: time::Time) -> [Option<handle::Request>; CANDIDATES] {
        let is_fair_turn = self.left_since_fair + 1 >= FAIR_INTERVAL;
        let oldest = self.waiters.front().filter(|_| is_fair_turn);
        let mut first = [None; CANDIDATES];
        for waiter in &self.waiters {
            // The oldest one goes before all others at its turn.
            let is_oldest = oldest.is_some_and(|oldest| oldest.request == waiter.request);
            let mut candidate = Some(((!is_oldest, waiter.rank(now)), waiter.request));
            for place in &mut first {
                let goes_before = match (&candidate, &*place) {
                    (Some((rank, _)), Some((other, _))) => rank < other,
                    (candidate, None) => candidate.is_some(),
                    (None, Some(_)) => false,
                };
                if goes_before {
                    std::mem::swap(&mut candidate, place);
                }
            }
        }
        first.map(|place| place.map(|(_, request)| request))
    }

    /// Removes a request that is sent.
    pub fn take(&mut self, request: handle::Request) -> Option<Waiter> {
        let index = self.waiters.iter().position(|w| w.request == request)?;
        self.left_since_fair = match index {
            0 => 0,
            _ => self.left_since_fair + 1,
        };
        self.waiters.remove(index)
    }

    /// Removes a request whose caller has left or that is refused.
    pub fn remove(&mut self, request: handle::Request) {
        self.waiters.retain(|waiter| waiter.request != request);
    }

    /// Removes the requests that can no longer be served in their time.
    pub fn expire(&mut self, now: time::Time) -> Vec<Waiter> {
        let is_standing = self.is_standing();
        let expired = self.waiters.iter();
        let expired = expired.filter(|waiter| !waiter.is_servable(now, is_standing));
        let expired: Vec<_> = expired.copied().collect();
        if !expired.is_empty() {
            self.waiters
                .retain(|waiter| waiter.is_servable(now, is_standing));
        }
        expired
    }
}
