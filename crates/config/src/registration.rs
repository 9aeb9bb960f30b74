//! Backend servers that register themselves through the object API.

use std::net;

use monsooncart_types::{id, span};

/// Registration entry of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// The service that it belongs to.
    pub service: id::Service,
    /// IP address and port at which it listens.
    pub address: net::SocketAddr,
    /// Data centre that it is in.
    pub data_centre: id::DataCentre,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining: it accepts no new requests and is about to stop.
    pub leaving: bool,
    /// Remaining warm-up time after its start, as of this entry.
    pub cold: span::Span,
    /// Start time of the process, in milliseconds since the Unix epoch; distinguishes successive
    /// processes with the same name.
    pub started_millis: u64,
}
