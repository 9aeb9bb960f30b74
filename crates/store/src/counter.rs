//! Counters of platform calls by operation.
//!
//! A call is counted when it starts, whatever its result; a long-polling watch counts once.

use std::sync::atomic;

use strum::{EnumCount as _, IntoEnumIterator as _};

use crate::error;

/// Calls made so far, by operation.
#[derive(Debug, Default)]
pub struct Counter {
    calls: [atomic::AtomicU64; error::Step::COUNT],
}

impl Counter {
    /// Counts a call.
    pub fn count(&self, step: error::Step) {
        self.calls[step as usize].fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Number of calls of an operation.
    #[must_use]
    pub fn calls(&self, step: error::Step) -> u64 {
        self.calls[step as usize].load(atomic::Ordering::Relaxed)
    }

    /// Number of calls of each operation.
    pub fn iter(&self) -> impl Iterator<Item = (error::Step, u64)> + '_ {
        error::Step::iter().map(|step| (step, self.calls(step)))
    }
}
