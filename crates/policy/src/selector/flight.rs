//! Attempts in flight.

use monsooncart_types::time;

use crate::handle;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// Its request.
    pub request: handle::Request,
    /// Its server.
    pub server: handle::Server,
    /// The run of the server that it was sent to.
    pub started_millis: u64,
    /// When it was sent.
    pub sent: time::Time,
    /// Whether its slowness was taken as evidence.
    pub slow: bool,
    /// Whether it was given up because its request got another answer.
    pub cancelled: bool,
    /// The fingerprint of its request.
    pub fingerprint: Option<handle::Fingerprint>,
}
