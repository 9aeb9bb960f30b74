//! Counters of platform calls by operation.
//!
//! A call is counted when it starts, whatever its result; a long-polling watch counts once.

use std::sync::atomic;

use strum::{EnumCount as _, IntoEnumIterator as _};

use crate::error;

/// Calls made so far, by operation.
#[derive(Debug, Default)]
pub struct Counter {
    calls: [atomic::AtomicU64; error::Operation::COUNT],
}

impl Counter {
    /// Counts a call.
    pub fn count(&self, operation: error::Operation) {
        self.calls[operation as usize].fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Number of calls of an operation.
    #[must_use]
    pub fn calls(&self, operation: error::Operation) -> u64 {
        self.calls[operation as usize].load(atomic::Ordering::Relaxed)
    }

    /// Number of calls of each operation.
    pub fn iter(&self) -> impl Iterator<Item = (error::Operation, u64)> + '_ {
        error::Operation::iter().map(|operation| (operation, self.calls(operation)))
    }
}
