//! Attempts in flight.

use monsooncart_types::time;

use crate::handle;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Request of the attempt.
    pub request: handle::Request,
    /// Server that the attempt was sent to.
    pub server: handle::Server,
    /// Start time of the server's run that the attempt was sent to, in milliseconds since 1970.
    pub started_millis: u64,
    /// When the attempt was sent.
    pub sent_at: time::Time,
    /// Whether the server had a free slot, as far as known, when the attempt was sent.
    pub unqueued: bool,
    /// Route of the request.
    pub route: handle::Route,
    /// Whether the server responded, if only with a head.
    pub responded: bool,
    /// Whether the attempt was already recorded as slow.
    pub slow_recorded: bool,
    /// Whether the attempt was cancelled because its request is already completed or refused.
    pub cancelled: bool,
    /// Fingerprint of the request.
    pub fingerprint: Option<handle::Fingerprint>,
}

impl Attempt {
    /// The run of the server that the attempt was sent to.
    pub fn run(&self) -> handle::Run {
        handle::Run {
            server: self.server,
            started_millis: self.started_millis,
        }
    }
}
