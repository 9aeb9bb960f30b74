//! Capacity of a service, from the configuration and from its servers' own reports.

use monsooncart_types::id;

/// A server's capacity.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// Name.
    pub name: id::Server,
    /// Number of requests that it processes concurrently.
    pub slots: u64,
    /// Whether it counts as in service unless ejected: it is not leaving, drained or warming up.
    pub available: bool,
    /// Version of `available` within a configuration version, such as the number of times that the
    /// server has started. Between equal generations, unavailable wins.
    #[serde(default)]
    pub generation: u64,
}

/// A service's capacity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Capacity {
    /// Configuration version that it was taken from.
    pub version: u64,
    /// Slots that ejections must leave in service.
    pub floor: u64,
    /// The servers.
    pub servers: Vec<Server>,
}
