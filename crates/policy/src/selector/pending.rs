//! A request in progress.

use monsooncart_types::{instance, time};

use crate::{event, handle};

/// A request that is neither completed nor refused.
#[derive(Clone, Debug)]
pub struct Request {
    pub arrival: event::Arrival,
    pub arrived_at: time::Time,
    pub attempts: Vec<handle::Attempt>,
    /// Servers that the request was sent to; they count towards its maximum number of attempts.
    pub tried_servers: Vec<handle::Server>,
    /// Servers to which no connection could be opened.
    pub unreachable_servers: Vec<handle::Server>,
    /// Daemons that were asked to relay the request.
    pub tried_relays: Vec<instance::Instance>,
    /// Number of servers that relays were allowed to send the request to, less those allowed to relays
    /// that certainly sent it to none.
    pub relayed_attempts: u32,
    /// Whether a finished attempt may have been executed.
    pub may_have_run: bool,
    /// Attempt that has the body of the request, if there is only one.
    pub body_holder: Option<handle::Attempt>,
    /// Hedge that has drawn on the retry budget.
    pub hedge: Option<handle::Attempt>,
}

impl Request {
    /// A request that has just arrived.
    pub fn new(now: time::Time, arrival: event::Arrival) -> Self {
        Self {
            arrival,
            arrived_at: now,
            attempts: Vec::new(),
            tried_servers: Vec::new(),
            unreachable_servers: Vec::new(),
            tried_relays: Vec::new(),
            relayed_attempts: 0,
            may_have_run: false,
            body_holder: None,
            hedge: None,
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
