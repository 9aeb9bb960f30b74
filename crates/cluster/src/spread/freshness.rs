//! Time since a watcher of the region last received an answer from the platform.
//!
//! Reconciliation calls carry this age, so that every daemon knows whether the watchers reach the
//! platform; if they do not, more daemons watch. Every answer that becomes known also counts for the
//! platform's silence.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use monsooncart_policy::membership::member;
use monsooncart_types::{instance, map};

use super::silence;

/// The latest known answer of the platform, and the watchers that have lost their connection.
#[derive(Debug)]
pub struct Freshness {
    last_answer_at: Mutex<Option<Instant>>,
    disconnected: Mutex<map::Set<instance::Instance>>,
    /// Latest epoch of the platform's store; `None` before the first answer.
    epoch: Mutex<Option<u64>>,
    silence: Mutex<silence::Silence>,
}

/// How the epoch of an answer compares with the latest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Epoch {
    /// The store was restored from a backup after that answer was sent.
    Earlier,
    /// It is the latest one, or the first answer.
    Current,
    /// The store was restored from a backup after the previous answers.
    Later,
}

impl Freshness {
    /// Creates the state of a daemon that knows of no answer. Objects expire in a silence of
    /// `expiry_time`.
    #[must_use]
    pub fn new(expiry_time: Duration) -> Self {
        Self {
            last_answer_at: Mutex::default(),
            disconnected: Mutex::default(),
            epoch: Mutex::default(),
            silence: Mutex::new(silence::Silence::new(expiry_time, Instant::now())),
        }
    }

    /// Time since the latest known answer; `None` if no answer is known since a watcher was last
    /// reported disconnected.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        let last_answer_at = *self
            .last_answer_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_answer_at.map(|at| at.elapsed())
    }

    /// The age in milliseconds, as carried by messages.
    #[must_use]
    pub fn age_millis(&self) -> Option<u32> {
        let millis = self.age()?.as_millis();
        Some(u32::try_from(millis).unwrap_or(u32::MAX))
    }

    /// Records that a watcher has just received an answer from the platform.
    pub fn record_connected(&self, watcher: instance::Instance) {
        self.lock_disconnected().remove(&watcher);
        self.record_answer(Some(0));
    }

    /// Records that a watcher has lost its connection to the platform. The first such report since
    /// the watcher was last connected clears the latest answer.
    pub fn record_disconnected(&self, watcher: instance::Instance) {
        if self.lock_disconnected().insert(watcher) {
            *self
                .last_answer_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = None;
        }
    }

    /// Removes the watchers that are no longer members.
    pub fn retain_members(&self, members: &[member::Member]) {
        let live: map::Set<_> = members.iter().map(|m| m.instance).collect();
        self.lock_disconnected()
            .retain(|watcher| live.contains(watcher));
    }

    /// Watchers that have lost their connection to the platform.
    pub fn disconnected(&self) -> map::Set<instance::Instance> {
        self.lock_disconnected().clone()
    }

    fn lock_disconnected(&self) -> MutexGuard<'_, map::Set<instance::Instance>> {
        self.disconnected
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Compares the epoch of an answer with the latest one, which it replaces if it is later.
    pub fn observe_epoch(&self, epoch: u64) -> Epoch {
        let mut latest = self.epoch.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = *latest;
        *latest = Some(epoch.max(previous.unwrap_or(epoch)));
        match previous {
            Some(previous) if epoch < previous => Epoch::Earlier,
            Some(previous) if epoch > previous => Epoch::Later,
            _ => Epoch::Current,
        }
    }

    /// Records that the platform answered `age_millis` ago; does nothing if that is `None`.
    pub fn record_answer(&self, age_millis: Option<u32>) {
        let Some(millis) = age_millis else {
            return;
        };
        let age = Duration::from_millis(u64::from(millis));
        let Some(answered_at) = Instant::now().checked_sub(age) else {
            return;
        };
        self.lock_silence().record_answer(answered_at);
        let mut last_answer_at = self
            .last_answer_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *last_answer_at = Some(answered_at).max(*last_answer_at);
    }

    /// Records that the platform answered this daemon with a part of a listing.
    pub fn record_page(&self) {
        self.lock_silence().record_answer(Instant::now());
    }

    /// Time of the latest answer of the platform to a daemon of the region, or of this daemon's start.
    pub fn answered_at(&self) -> Instant {
        self.lock_silence().answered_at()
    }

    /// End of the latest silence of the platform in which objects may have expired.
    pub fn silence_ended_at(&self) -> Option<Instant> {
        self.lock_silence().ended_at()
    }

    fn lock_silence(&self) -> MutexGuard<'_, silence::Silence> {
        self.silence.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
