//! Requests that were answered lately.

use monsooncart_types::map;

use crate::handle;

/// Number of requests in a generation: the frequent ones of a service, which are in many crashes, in a few kilobytes.
const MAX_REQUESTS: usize = 128;

/// The requests that were answered last, in two generations: the older one goes when the newer one is full.
#[derive(Debug, Default)]
pub struct Requests {
    newer: map::Set<handle::Fingerprint>,
    older: map::Set<handle::Fingerprint>,
}

impl Requests {
    /// Records that a request was answered.
    pub fn record(&mut self, fingerprint: handle::Fingerprint) {
        if self.newer.len() >= MAX_REQUESTS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(fingerprint);
    }

    /// Whether a request was answered lately.
    pub fn contains(&self, fingerprint: handle::Fingerprint) -> bool {
        self.newer.contains(&fingerprint) || self.older.contains(&fingerprint)
    }
}
