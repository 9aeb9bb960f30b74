//! Backend servers that register themselves in the object API.

use std::net;

use monsooncart_types::{id, span};

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Registration {
    /// The service that it belongs to.
    pub service: id::Service,
    /// Where it listens, by IP number.
    pub address: net::SocketAddr,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it takes no new work and is about to stop.
    pub leaving: bool,
    /// How much longer it is slow after its start, as of this entry.
    pub cold: span::Span,
    /// When this run of it started, in milliseconds since 1970; tells runs under one name apart.
    pub started_millis: u64,
}
