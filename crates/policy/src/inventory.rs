//! Configuration of a service and its servers, as a policy uses it.

use std::time::Duration;

use monsooncart_types::{id, instance};

use crate::{handle, health};

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Handle of the server.
    pub handle: handle::Server,
    /// Configured name.
    pub name: id::Server,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server is in this daemon's data centre.
    pub local: bool,
    /// Whether the server is leaving and accepts no new requests.
    pub leaving: bool,
    /// Remaining warm-up time that the server reported last.
    pub remaining_warm_up: Duration,
    /// Start time of this run of the server, in milliseconds since 1970; 0 if unknown.
    pub started_millis: u64,
}

/// Another daemon that can forward this daemon's requests to the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Relay {
    /// The daemon.
    pub peer: instance::Instance,
    /// Whether it is in this daemon's data centre.
    pub local: bool,
    /// Capacity in thousandths of a core.
    pub capacity: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Inventory {
    /// Configured servers.
    pub servers: Vec<Server>,
    /// Minimum number of slots that ejections must leave in service.
    pub floor_slots: u64,
    /// Trade-off between detection time and false ejections.
    pub sensitivity: health::Sensitivity,
    /// Daemons that share this service's traffic.
    pub daemons: Vec<instance::Instance>,
    /// Daemons that can forward requests while this daemon has no path to the servers.
    pub relays: Vec<Relay>,
    /// Time from the Unix epoch to the origin of the policy's clock.
    pub unix_origin: Duration,
    /// Objective of the service for the time to the response head.
    pub latency_objective: Duration,
}
