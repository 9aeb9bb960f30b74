//! How long ago a watcher of the region last heard from the platform.
//!
//! Comparisons carry the age along, so that every daemon knows whether the watchers hear anything;
//! where they do not, more daemons watch.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use monsooncart_policy::membership::member;
use monsooncart_types::{instance, map};

/// The time of the newest known answer of the platform.
#[derive(Debug, Default)]
pub struct Fresh {
    newest: Mutex<Option<Instant>>,
    deaf: Mutex<map::Set<instance::Instance>>,
}

impl Fresh {
    /// Age of the newest known answer.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        let newest = *self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        newest.map(|newest| newest.elapsed())
    }

    /// The age as messages carry it.
    #[must_use]
    pub fn age_millis(&self) -> Option<u32> {
        let millis = self.age()?.as_millis();
        Some(u32::try_from(millis).unwrap_or(u32::MAX))
    }

    /// Learns that a watcher has heard the platform just now.
    pub fn heard_by(&self, watcher: instance::Instance) {
        self.lock_deaf().remove(&watcher);
        self.learn(Some(0));
    }

    /// Learns that a watcher has lost the platform: it is not taken to be heard any more.
    pub fn lost_by(&self, watcher: instance::Instance) {
        if self.lock_deaf().insert(watcher) {
            *self.newest.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
    }

    /// Forgets the watchers that are no members any more.
    pub fn follow(&self, members: &[member::Member]) {
        let live: map::Set<_> = members.iter().map(|m| m.instance).collect();
        self.lock_deaf().retain(|watcher| live.contains(watcher));
    }

    /// Watchers that have lost the platform.
    pub fn deaf(&self) -> map::Set<instance::Instance> {
        self.lock_deaf().clone()
    }

    fn lock_deaf(&self) -> MutexGuard<'_, map::Set<instance::Instance>> {
        self.deaf.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Learns of an answer `age_millis` ago.
    pub fn learn(&self, age_millis: Option<u32>) {
        let Some(millis) = age_millis else {
            return;
        };
        let age = Duration::from_millis(u64::from(millis));
        let heard = Instant::now().checked_sub(age);
        let mut newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        *newest = heard.max(*newest);
    }
}
