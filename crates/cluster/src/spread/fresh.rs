//! How long ago a watcher of the fleet last heard from the platform.
//!
//! Comparisons carry the age along, so that every daemon knows whether the watchers hear anything;
//! where they do not, more daemons watch.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The time of the newest known answer of the platform.
#[derive(Debug, Default)]
pub struct Fresh {
    newest: Mutex<Option<Instant>>,
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

    /// Takes it that the platform is not heard any more.
    pub fn forget(&self) {
        *self.newest.lock().unwrap_or_else(PoisonError::into_inner) = None;
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
