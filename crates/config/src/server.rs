//! Backend servers.

use std::net;

use monsooncart_types::{id, span};

/// A backend server of one service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name, unique within the fleet.
    pub name: id::Server,
    /// Where it listens, by IP number.
    pub address: net::SocketAddr,
    /// Where it stands.
    pub data_centre: id::DataCentre,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether the asset register says that it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// How much longer it is slow after its start, as it said last; operators do not write it.
    #[serde(skip)]
    pub cold: span::Span,
    /// When this run of it started, in milliseconds since 1970; 0 where that is not known, as
    /// operators do not write it.
    #[serde(skip)]
    pub started_millis: u64,
}
