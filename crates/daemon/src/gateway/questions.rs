//! What callers and the platform ask a daemon.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use monsooncart_types::id;

/// A question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// Which addresses a caller is to use.
    Addresses {
        /// Data centre of the caller, where it says one that can be.
        data_centre: Option<id::DataCentre>,
    },
    /// Whether the daemon is ready for requests.
    Ready,
}

/// The addresses that a caller is to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The addresses.
    pub addresses: Vec<net::SocketAddr>,
    /// For how long the caller may keep the answer.
    pub lifetime: Duration,
}

/// How questions are asked and answered.
pub trait Questions: Send + Sync {
    /// The question of a request; `None` where it is none.
    fn read(&self, request: &http::Request<()>) -> Option<Question>;

    /// The answer to [`Question::Addresses`], as JSON.
    fn addresses(&self, answer: &Addresses) -> Bytes;
}
