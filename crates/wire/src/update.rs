//! Updates that daemons disseminate by gossip.

use std::net::SocketAddr;
use std::time::Duration;

use monsooncart_config::object;
use monsooncart_policy::claims::successor;
use monsooncart_policy::floor::mark;
use monsooncart_policy::{allowance, event, handle};
use monsooncart_types::{id, instance, rate, run};

/// A daemon's evidence about one backend server.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Evidence {
    /// Observed server.
    pub server: id::Server,
    /// Digest of the recent observations.
    pub digest: event::Digest,
}

/// An update for other daemons.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Update {
    /// One daemon's evidence about the servers of a service.
    Evidence {
        /// The service.
        service: id::Service,
        /// Daemon that made the observations.
        from: instance::Instance,
        /// Evidence about each server.
        digests: Vec<Evidence>,
    },
    /// A server without runs is draining; this is never revoked.
    Leaving {
        /// The service.
        service: id::Service,
        /// The server.
        server: id::Server,
    },
    /// A request is suspected of crashing a server.
    Blame {
        /// The service.
        service: id::Service,
        /// Fingerprint of the request.
        fingerprint: handle::Fingerprint,
        /// The run of the server.
        run: run::Run,
    },
    /// A poison request is refused by all daemons for a time.
    Quarantine {
        /// The service.
        service: id::Service,
        /// Fingerprint of the request.
        fingerprint: handle::Fingerprint,
        /// Duration of the quarantine, from the receipt of the update.
        span: Duration,
    },
    /// A daemon ejected a server with its own ejection tokens, or restored it.
    Mark {
        /// The service.
        service: id::Service,
        /// Ejection or restoration.
        mark: mark::Mark,
    },
    /// The stored ejection ledger of a service has a new version.
    Ledger {
        /// The service.
        service: id::Service,
        /// New version of the ledger.
        version: u64,
    },
    /// Another daemon decides the claims of a stopping daemon from now on.
    Succession(successor::Succession),
    /// A configuration object has a new version.
    Configuration {
        /// Key of the object.
        key: object::Key,
        /// New version.
        version: u64,
        /// Value if it is small; receivers pull a larger one.
        value: Option<object::Value>,
        /// Peer listener of a daemon that stores this version.
        holder: SocketAddr,
    },
    /// A watcher received an answer from the platform, or lost the connection to it.
    Platform {
        /// Whether the platform answered.
        answered: bool,
        /// Process instance of the watcher.
        from: instance::Instance,
    },
    /// A server announces a rate limit for all daemons together, or no longer announces one.
    RateLimit {
        /// The service.
        service: id::Service,
        /// The server.
        server: id::Server,
        /// Start time of the run that announced it, in milliseconds since 1970.
        started_millis: u64,
        /// The limit; `None` if the server no longer announces one.
        limit: Option<rate::Rate>,
    },
    /// A run of a server that registers itself is draining; this is never revoked.
    RunLeaving {
        /// The service.
        service: id::Service,
        /// The server.
        server: id::Server,
        /// Start time of the run, in milliseconds since 1970.
        started_millis: u64,
    },
    /// A daemon has lost its path to the servers of a service, or has it again.
    Path {
        /// The service.
        service: id::Service,
        /// Process instance of the daemon.
        from: instance::Instance,
        /// Number of the report; a later report has a higher one.
        number: u64,
        /// Whether the path is lost.
        lost: bool,
    },
    /// A daemon's weights in the division of allowances.
    AllowanceReport(allowance::report::Report),
    /// A daemon borrows or lends a part of an allowance.
    AllowanceLoan(allowance::loan::Loan),
    /// A server answered a request that was suspected of crashes.
    Acquittal {
        /// The service.
        service: id::Service,
        /// Fingerprint of the request.
        fingerprint: handle::Fingerprint,
    },
}

impl Update {
    /// Time for which the update is retained and sent to daemons that missed it; `None` if it is
    /// only gossiped once.
    #[must_use]
    pub fn retention(&self) -> Option<Duration> {
        match self {
            Self::Leaving { .. } | Self::RunLeaving { .. } => Some(LEAVING_RETENTION),
            Self::Path { .. } => Some(PATH_RETENTION),
            Self::Quarantine { span, .. } => Some(*span),
            Self::Mark { .. } | Self::Ledger { .. } => Some(EJECTION_RETENTION),
            Self::Succession(_) => Some(SUCCESSION_RETENTION),
            Self::Blame { .. } => Some(CRASH_RETENTION),
            Self::Evidence { .. }
            | Self::Configuration { .. }
            | Self::Platform { .. }
            | Self::RateLimit { .. }
            | Self::Acquittal { .. }
            | Self::AllowanceReport(_)
            | Self::AllowanceLoan(_) => None,
        }
    }
}

/// Retention of the update announcing that a server is draining.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// Retention of a report about a daemon's path to servers. A daemon that learns of none is asked to
/// relay requests, which it refuses.
const PATH_RETENTION: Duration = Duration::from_secs(60);

/// Retention of a crash report.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Retention of an ejection; afterwards, daemons read the stored ledger.
const EJECTION_RETENTION: Duration = Duration::from_secs(60);

/// Retention of a succession: as long as the tickets of the stopped daemon can be claimed.
const SUCCESSION_RETENTION: Duration = Duration::from_secs(3600);

/// Audience of an update.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Reach {
    /// Only the receiver.
    Receiver,
    /// Every daemon; the receiver forwards the update by gossip.
    Fleet,
}

/// An update in transit through the fleet.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Item {
    /// Identifier for the detection of duplicates, assigned by the publisher.
    pub id: u64,
    /// Age at the time of sending, in milliseconds.
    pub age_millis: u32,
    /// Audience of the update.
    pub reach: Reach,
    /// Content of the update.
    pub update: Update,
}

impl Eq for Item {}
