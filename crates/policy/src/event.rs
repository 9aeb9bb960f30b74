//! What happens, as the decisions are told.

use std::time::Duration;

use monsooncart_types::time;

use crate::{handle, inventory, outcome};

/// A request that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Stands for it.
    pub request: handle::Request,
    /// On whose behalf it came.
    pub organisation: handle::Organisation,
    /// Weight of the organisation's share under load.
    pub weight: u32,
    /// Whether it may be sent more than once.
    pub repeatable: bool,
    /// Servers that it may be sent to, at most.
    pub attempts: u32,
    /// Rank under load; 0 is the highest.
    pub priority: u32,
    /// Time within which an answer is worth the most, where that is known of the request.
    pub objective: Option<Duration>,
    /// Usual size of the answers to such requests, in bytes; 0 where it is not known.
    pub expected_response_bytes: u64,
    /// Latest time for the head of its answer.
    pub deadline: time::Time,
    /// Tells repeats of it, where its body is known.
    pub fingerprint: Option<handle::Fingerprint>,
}

/// One daemon's evidence about one server over the last interval.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// Attempts that ended well.
    pub good: u32,
    /// Attempts that ended badly.
    pub bad: u32,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Age of the oldest attempt in flight that has no head yet, in milliseconds.
    pub oldest_millis: u32,
    /// Median time to the head of an answer, in milliseconds.
    pub median_millis: u32,
    /// Strength of the daemon's suspicion, in thousandths of what an ejection needs.
    pub suspicion: u32,
}

/// What became of an ejection that was asked for, or of one by any daemon of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Ejection {
    /// The server is out of service in the whole fleet.
    Granted,
    /// The floor leaves no room, or no token is within reach.
    Denied,
    /// The server is back in service.
    Restored,
}

/// An event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The configuration of the service changed.
    Inventory(inventory::Inventory),
    /// A request came in.
    Arrive(Arrival),
    /// The caller of a request that waits for a server went away.
    CancelRequest(handle::Request),
    /// The head of an answer came.
    ResponseHead {
        /// The attempt.
        attempt: handle::Attempt,
        /// Status of the answer.
        status: u16,
    },
    /// An attempt ended.
    Finish {
        /// The attempt.
        attempt: handle::Attempt,
        /// How it ended.
        outcome: outcome::Outcome,
        /// Whether the request could be sent again as it came: its body is held whole and the
        /// caller has seen no byte of an answer.
        replayable: bool,
        /// When the server asked to come back.
        retry_after: Option<Duration>,
    },
    /// A probe ended.
    Probe {
        /// The server.
        server: handle::Server,
        /// Whether it answered well.
        healthy: bool,
    },
    /// Something became of an ejection.
    Ejection {
        /// The server.
        server: handle::Server,
        /// What.
        ejection: Ejection,
    },
    /// The server is known to be leaving; sticky.
    Leaving(handle::Server),
    /// Another daemon's evidence.
    Evidence {
        /// The other daemon.
        from: monsooncart_types::instance::Instance,
        /// Its evidence.
        digests: Vec<(handle::Server, Digest)>,
    },
    /// A request broke a server at another daemon.
    CrashReport {
        /// The request.
        fingerprint: handle::Fingerprint,
        /// The server that it broke.
        server: handle::Server,
    },
    /// A request is quarantined across the fleet until a time.
    Quarantine {
        /// The request.
        fingerprint: handle::Fingerprint,
        /// Until when.
        expires_at: time::Time,
    },
    /// Time passed.
    Tick,
}
