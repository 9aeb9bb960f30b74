//! Attempts in flight.

use monsooncart_types::time;

use crate::handle;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// Request of the attempt.
    pub request: handle::Request,
    /// Server that the attempt was sent to.
    pub server: handle::Server,
    /// Start time of that run of the server, in milliseconds since 1970.
    pub started_millis: u64,
    /// Time of sending.
    pub sent_at: time::Time,
    /// Whether the attempt was already recorded as slow.
    pub slow_recorded: bool,
    /// Whether the attempt was cancelled because its request is already completed or refused.
    pub cancelled: bool,
    /// Fingerprint of the request.
    pub fingerprint: Option<handle::Fingerprint>,
}
