//! Backend servers.

use std::net;

use monsooncart_types::{id, span};

/// A backend server of one service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name, unique within the fleet.
    pub name: id::Server,
    /// IP address and port at which it listens.
    pub address: net::SocketAddr,
    /// Data centre that it is in.
    pub data_centre: id::DataCentre,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Whether it is draining, according to the asset register or its own registration.
    #[serde(default)]
    pub leaving: bool,
    /// Remaining warm-up time after its start, as last registered; not part of fleet files.
    #[serde(skip)]
    pub remaining_warm_up: span::Span,
    /// Start time of the process, in milliseconds since the Unix epoch; 0 if unknown. Not part of
    /// fleet files.
    #[serde(skip)]
    pub started_millis: u64,
}
