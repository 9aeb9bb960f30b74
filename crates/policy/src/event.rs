//! Inputs of a policy.

use std::time::Duration;

use monsooncart_types::{rate, time};

use crate::{handle, inventory, outcome};

/// A request received from a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Handle of the request.
    pub request: handle::Request,
    /// Organisation that the request is accounted to.
    pub organisation: handle::Organisation,
    /// Weight of the organisation in fair queuing.
    pub weight: u32,
    /// Whether the request is idempotent and may be sent more than once.
    pub repeatable: bool,
    /// Maximum number of servers that the request may be sent to.
    pub max_attempts: u32,
    /// Route of the request.
    pub route: handle::Route,
    /// Priority under load; 0 is the highest.
    pub priority: u32,
    /// Latency objective of the request; `None` means that of the service.
    pub objective: Option<Duration>,
    /// Expected size of the response in bytes; 0 if unknown.
    pub expected_response_bytes: u64,
    /// Latest time for the response head.
    pub deadline: time::Time,
    /// Identifies repeats of the request, or of its head; `None` if unknown.
    pub fingerprint: Option<handle::Fingerprint>,
    /// Whether another daemon relays the request; it is not relayed again.
    pub relayed: bool,
}

/// Summary of one daemon's evidence about one server over the last interval.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Digest {
    /// Successful attempts.
    pub good: u32,
    /// Failed or slow attempts.
    pub bad: u32,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Age of the oldest attempt in flight without a response head, in milliseconds.
    pub oldest_millis: u32,
    /// Median time to the response head, in milliseconds.
    pub median_millis: u32,
    /// Suspicion of the daemon, in thousandths of the ejection threshold.
    pub suspicion: u32,
}

impl Digest {
    /// Reports that the server was used, and nothing of its health or load: a median without results.
    pub const USED: Self = Self {
        good: 0,
        bad: 0,
        in_flight: 0,
        oldest_millis: 0,
        median_millis: u32::MAX,
        suspicion: 0,
    };
}

/// Result of an ejection or restoration that this or another daemon of the fleet requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Ejection {
    /// The server is ejected in the whole fleet.
    Granted,
    /// The floor on capacity in service permits no further ejection, or no token can be obtained.
    Denied,
    /// The server is in service again.
    Restored,
}

/// An input of a policy.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The configuration of the service changed.
    Inventory(inventory::Inventory),
    /// A request was received.
    Arrive(Arrival),
    /// The fingerprint of a request became known that was sent by that of its head.
    Identified {
        /// The request.
        request: handle::Request,
        /// Fingerprint of the whole request.
        fingerprint: handle::Fingerprint,
    },
    /// The caller of a queued request disconnected.
    CancelRequest(handle::Request),
    /// A response head was received.
    ResponseHead {
        /// The attempt.
        attempt: handle::Attempt,
        /// Status of the response.
        status: u16,
    },
    /// An attempt sends the body of its request, which is held only once: no other attempt can have it
    /// unless this one finishes with the body intact.
    BodyTaken(handle::Attempt),
    /// A server responded to an attempt in any way, with a refusal too.
    Responded {
        /// The attempt.
        attempt: handle::Attempt,
        /// Time at which the connection of the attempt was opened.
        connected_at: time::Time,
    },
    /// A probe of the path to a server finished.
    PathProbe {
        /// The server.
        server: handle::Server,
        /// Time at which the probe was sent.
        sent_at: time::Time,
        /// Whether the server responded.
        responded: bool,
    },
    /// Another daemon has lost its path to the servers; this one may have lost its own unnoticed.
    PeerPathLost,
    /// An attempt finished.
    Finish {
        /// The attempt.
        attempt: handle::Attempt,
        /// Result of the attempt.
        outcome: outcome::Outcome,
        /// Whether the request can be sent again unchanged: its body is buffered completely and no
        /// byte of a response has been forwarded to the caller.
        replayable: bool,
        /// Retry delay that the server asked for.
        retry_after: Option<Duration>,
    },
    /// A response was received, with the rate limit that its server announces for all daemons
    /// together.
    RateLimit {
        /// The attempt.
        attempt: handle::Attempt,
        /// The limit; `None` if the server announces none.
        limit: Option<rate::Rate>,
    },
    /// A response was received in which the server asks this daemon to send it nothing before a delay
    /// ends.
    RetryAfter {
        /// The attempt.
        attempt: handle::Attempt,
        /// The delay, from the receipt of the response.
        delay: Duration,
    },
    /// Another daemon reported the rate limit that a server announces.
    PeerRateLimit {
        /// The server.
        server: handle::Server,
        /// Start time of the run that announced it, in milliseconds since 1970.
        started_millis: u64,
        /// The limit; `None` if the server no longer announces one.
        limit: Option<rate::Rate>,
    },
    /// A health probe finished.
    Probe {
        /// The server.
        server: handle::Server,
        /// Whether the server reported itself healthy.
        healthy: bool,
    },
    /// The fleet answered an ejection request or changed the ejection of a server.
    Ejection {
        /// The server.
        server: handle::Server,
        /// Result.
        ejection: Ejection,
    },
    /// The server is leaving; this is never revoked.
    Leaving(handle::Server),
    /// Another daemon reported its evidence.
    Evidence {
        /// The other daemon.
        from: monsooncart_types::instance::Instance,
        /// Its evidence, one digest per server.
        digests: Vec<(handle::Server, Digest)>,
    },
    /// A probe of whether a server crashed finished.
    CrashProbe {
        /// The server.
        server: handle::Server,
        /// Time at which the probe was sent.
        sent_at: time::Time,
        /// Whether the server responded, or was too busy for it.
        responded: bool,
    },
    /// A server answered a request that is suspected of crashes, at another daemon.
    Acquittal(handle::Fingerprint),
    /// Another daemon reported that a server crashed while it ran a request.
    CrashReport {
        /// The request.
        fingerprint: handle::Fingerprint,
        /// The run of a server that crashed.
        run: handle::Run,
    },
    /// A request is quarantined across the fleet.
    Quarantine {
        /// The request.
        fingerprint: handle::Fingerprint,
        /// End of the quarantine.
        expires_at: time::Time,
    },
    /// Periodic tick that drives timers.
    Tick,
}
