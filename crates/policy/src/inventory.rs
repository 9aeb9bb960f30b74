//! What the decisions know of a service from its configuration.

use std::time::Duration;

use monsooncart_types::id;

use crate::{handle, health};

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Stands for it.
    pub handle: handle::Server,
    /// Its name.
    pub name: id::Server,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Whether it stands in this daemon's data centre.
    pub local: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How much longer it is slow after its start, as it said last.
    pub remaining_warm_up: Duration,
    /// When this run of it started, in milliseconds since 1970; 0 where that is not known.
    pub started_millis: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Inventory {
    /// Its servers.
    pub servers: Vec<Server>,
    /// Slots that ejections must leave in service.
    pub floor_slots: u64,
    /// The trade between detection time and false ejections.
    pub sensitivity: health::Sensitivity,
    /// Daemons that share this service's traffic, this one included.
    pub daemons: u32,
    /// Time to the head of an answer that the service promises.
    pub latency_objective: Duration,
}
