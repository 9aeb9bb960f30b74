//! Queued requests.

use monsooncart_types::time;

use crate::handle;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The request.
    pub request: handle::Request,
    /// Latest time for its response head.
    pub deadline: time::Time,
}
