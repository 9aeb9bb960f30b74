//! Attempts in flight.

use monsooncart_types::time;

use crate::handle;

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub request: handle::Request,
    pub server: handle::Server,
    pub sent_at: time::Time,
    /// Whether it requires a fresh connection, as opposed to a reused one.
    pub fresh_connection: bool,
    /// Whether the response head arrived.
    pub has_head: bool,
    /// Whether that head was no error and arrived within the slow threshold.
    pub has_good_head: bool,
    /// Whether it was cancelled because another attempt of its request was answered, or because the
    /// request was refused or its caller disconnected.
    pub cancelled: bool,
    /// Whether it is a trial of an ejected server.
    pub is_trial: bool,
    pub fingerprint: Option<handle::Fingerprint>,
}
