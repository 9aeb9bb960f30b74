//! Load of one server.

use std::time::Duration;

use monsooncart_types::time;

use crate::slots::{room, strategy};

/// Duration of the ramp-up of a new or returning server.
pub const RAMP_DURATION: Duration = Duration::from_secs(20);

/// Fraction of the slots that are used at the start of the ramp-up.
const RAMP_START_RATIO: f64 = 0.1;

/// Load added to the score of a server in another data centre, as a fraction of its slots.
const REMOTE_PENALTY: f64 = 0.1;

/// Initial backoff after a refusal without `retry-after`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum backoff, including one that the server asked for.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Maximum number of doublings of the backoff by consecutive refusals without `retry-after`.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Load of one server as known to this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether it is in this daemon's data centre.
    pub local: bool,
    /// Attempts of this daemon in flight.
    pub in_flight: u32,
    /// Attempts of other daemons in flight, as last reported.
    pub peer_in_flight: u32,
    /// Slots that belong to this daemon under [`strategy::Strategy::DividedSlots`].
    pub owned_slots: u32,
    /// When this daemon last sent an attempt.
    pub last_sent_at: time::Time,
    /// When the backoff after a refusal ends.
    pub backoff_ends_at: time::Time,
    /// When the ramp-up started, `None` if there is none.
    pub ramp_started_at: Option<time::Time>,
    consecutive_sheds: u32,
}

impl Load {
    /// The load of an idle server, which ramps up from `joined_at` on if it joined a running
    /// service.
    #[must_use]
    pub fn new(slots: u32, local: bool, joined_at: Option<time::Time>) -> Self {
        Self {
            slots,
            local,
            ramp_started_at: joined_at,
            ..Self::default()
        }
    }

    /// Number of slots to use; fewer than the server has while it ramps up.
    #[must_use]
    pub fn effective_slots(&self, now: time::Time) -> f64 {
        let slots = f64::from(self.slots);
        let Some(start) = self.ramp_started_at else {
            return slots;
        };
        let progress = now.since(start).as_secs_f64() / RAMP_DURATION.as_secs_f64();
        slots * (RAMP_START_RATIO + (1.0 - RAMP_START_RATIO) * progress).min(1.0)
    }

    /// Whether the server is still ramping up.
    #[must_use]
    pub fn is_ramping(&self, now: time::Time) -> bool {
        self.ramp_started_at
            .is_some_and(|start| now.since(start) < RAMP_DURATION)
    }

    /// Room for one more attempt.
    #[must_use]
    pub fn room(&self, now: time::Time, strategy: strategy::Strategy) -> room::Room {
        let limit = self.effective_slots(now).ceil().max(1.0) as u32;
        if self.backoff_ends_at > now || self.in_flight >= limit.min(self.slots) {
            return room::Room::Full;
        }
        if strategy != strategy::Strategy::DividedSlots || self.in_flight < self.owned_slots {
            return room::Room::Own;
        }
        if self.in_flight + self.peer_in_flight < self.slots {
            return room::Room::Borrowed;
        }
        room::Room::Full
    }

    /// Attempts in flight that the strategy takes into account.
    #[must_use]
    pub fn known_in_flight(&self, strategy: strategy::Strategy) -> u32 {
        match strategy {
            strategy::Strategy::PowerOfTwo => self.in_flight,
            strategy::Strategy::SharedLoad | strategy::Strategy::DividedSlots => {
                self.in_flight + self.peer_in_flight
            }
        }
    }

    /// Load relative to the number of slots with one more attempt; lower is better.
    #[must_use]
    pub fn score(&self, now: time::Time, strategy: strategy::Strategy) -> f64 {
        let load = f64::from(self.known_in_flight(strategy) + 1)
            / self.effective_slots(now).max(RAMP_START_RATIO);
        if self.local {
            load
        } else {
            load + REMOTE_PENALTY
        }
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: time::Time) {
        self.in_flight += 1;
        self.last_sent_at = now;
    }

    /// Records that an attempt finished.
    pub fn record_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that the server accepted a request, which resets the exponent of the backoff.
    pub fn record_accepted(&mut self) {
        self.consecutive_sheds = 0;
    }

    /// Records that the server refused a request, and starts a backoff.
    pub fn record_shed(&mut self, now: time::Time, retry_after: Option<Duration>) {
        let backoff = retry_after.unwrap_or(
            INITIAL_BACKOFF * 2u32.pow(self.consecutive_sheds.min(MAX_BACKOFF_DOUBLINGS)),
        );
        self.consecutive_sheds += 1;
        let ends_at = now + backoff.min(MAX_BACKOFF);
        self.backoff_ends_at = ends_at.max(self.backoff_ends_at);
    }
}
