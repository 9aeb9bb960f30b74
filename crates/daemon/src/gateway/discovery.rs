//! Protocol of the directory and of readiness checks.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use monsooncart_types::id;

/// A decoded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Asks for the addresses a caller should connect to.
    Addresses {
        /// Data centre of the caller; `None` if missing or malformed.
        data_centre: Option<id::DataCentre>,
    },
    /// Asks whether the daemon is ready for requests.
    Ready,
}

/// The response to [`Request::Addresses`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Addresses of the daemons to connect to.
    pub addresses: Vec<net::SocketAddr>,
    /// How long the caller may cache the response.
    pub lifetime: Duration,
}

/// Decodes requests and encodes responses.
pub trait Codec: Send + Sync {
    /// Decodes a request; `None` if the path is unknown.
    fn decode_request(&self, request: &http::Request<()>) -> Option<Request>;

    /// Encodes the response to [`Request::Addresses`] as JSON.
    fn encode_addresses(&self, response: &Addresses) -> Bytes;
}
