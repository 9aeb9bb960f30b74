//! Requests that have not completed yet.

use crate::{event, handle};

/// A request that has not completed yet.
#[derive(Clone, Debug)]
pub struct Request {
    pub arrival: event::Arrival,
    /// Attempts in flight that were not cancelled.
    pub attempts: Vec<handle::Attempt>,
    /// Servers that it was sent to, in order.
    pub tried_servers: Vec<handle::Server>,
    /// Whether a finished or cancelled attempt may have been executed.
    pub may_have_run: bool,
    /// Attempt that has the body of the request, if there is only one.
    pub body_holder: Option<handle::Attempt>,
    pub queued: bool,
    /// Whether a response head arrived.
    pub has_head: bool,
    /// Whether a hedged attempt was sent.
    pub hedged: bool,
}

impl Request {
    /// A request without attempts.
    #[must_use]
    pub fn new(arrival: event::Arrival) -> Self {
        Self {
            arrival,
            attempts: Vec::new(),
            tried_servers: Vec::new(),
            may_have_run: false,
            body_holder: None,
            queued: false,
            has_head: false,
            hedged: false,
        }
    }

    /// Records the end of an attempt, after which the body is `intact` or not; returns whether the
    /// request can be sent again.
    pub fn finish_body(&mut self, attempt: handle::Attempt, intact: bool) -> bool {
        if intact && self.body_holder == Some(attempt) {
            self.body_holder = None;
        }
        intact && self.body_holder.is_none()
    }
}
