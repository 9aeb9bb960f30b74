//! Queued requests of one organisation.

use std::collections::VecDeque;

use crate::queue::waiter;

/// Queued requests of one organisation, oldest first.
#[derive(Debug, Default)]
pub struct Lane {
    /// Weight of the organisation, which determines its share of the slots.
    pub weight: u32,
    /// Deficit counter of the deficit round robin, in requests.
    pub deficit: f64,
    /// The requests, oldest first.
    pub waiters: VecDeque<waiter::Waiter>,
}
