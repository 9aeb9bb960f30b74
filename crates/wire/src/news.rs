//! News between daemons.

use std::net::SocketAddr;
use std::time::Duration;

use monsooncart_config::object;
use monsooncart_policy::claims::successor;
use monsooncart_policy::floor::mark;
use monsooncart_policy::{event, handle};
use monsooncart_types::{id, instance};

/// A daemon's evidence about one backend server.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Evidence {
    /// The server.
    pub server: id::Server,
    /// The evidence.
    pub digest: event::Digest,
}

/// A piece of news.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum News {
    /// One daemon's evidence about the servers of a service.
    Evidence {
        /// The service.
        service: id::Service,
        /// The daemon.
        from: instance::Instance,
        /// Its evidence.
        digests: Vec<Evidence>,
    },
    /// A server is leaving; sticky.
    Leaving {
        /// The service.
        service: id::Service,
        /// The server.
        server: id::Server,
    },
    /// A request broke a server.
    Blame {
        /// The service.
        service: id::Service,
        /// The request.
        fingerprint: handle::Fingerprint,
        /// The server.
        server: id::Server,
    },
    /// A request is refused across the fleet for a time.
    Quarantine {
        /// The service.
        service: id::Service,
        /// The request.
        fingerprint: handle::Fingerprint,
        /// For how long from when it is heard.
        span: Duration,
    },
    /// A daemon took a server out of service by its own tokens, or put it back.
    Mark {
        /// The service.
        service: id::Service,
        /// The mark.
        mark: mark::Mark,
    },
    /// The stored record of a service's ejections has a new version.
    Ledger {
        /// The service.
        service: id::Service,
        /// The version.
        version: u64,
    },
    /// A stopping daemon's claims are decided elsewhere from now on.
    Succession(successor::Succession),
    /// A configuration object has a new version.
    Configuration {
        /// The object.
        key: object::Key,
        /// Its version.
        version: u64,
        /// Its value, where it is small; else it is pulled.
        value: Option<object::Value>,
        /// Peer listener of a daemon that holds it.
        holder: SocketAddr,
    },
    /// A watcher of the platform has heard from it, or lost it.
    Platform {
        /// Whether it has heard.
        heard: bool,
        /// The watcher's run.
        from: instance::Instance,
    },
}

impl News {
    /// Time for which daemons that did not hear it are told it; `None` where it is told once.
    #[must_use]
    pub fn lifetime(&self) -> Option<Duration> {
        match self {
            Self::Leaving { .. } => Some(LEAVING),
            Self::Quarantine { span, .. } => Some(*span),
            Self::Mark { .. } | Self::Ledger { .. } => Some(EJECTION),
            Self::Succession(_) => Some(SUCCESSION),
            Self::Blame { .. } => Some(BLAME),
            Self::Evidence { .. } | Self::Configuration { .. } | Self::Platform { .. } => None,
        }
    }
}

/// Time for which a leaving server is told to daemons that did not hear of it.
const LEAVING: Duration = Duration::from_secs(600);

/// Time for which daemons that did not hear of it are told of a request that broke a server.
const BLAME: Duration = Duration::from_secs(60);

/// Time for which an ejection is told to daemons that did not hear of it; after it, they read the
/// record.
const EJECTION: Duration = Duration::from_secs(60);

/// Time for which daemons are told where a stopped daemon's tickets are decided: as long as those
/// tickets can be claimed.
const SUCCESSION: Duration = Duration::from_secs(3600);

/// Whom a piece of news is for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Reach {
    /// The receiver alone.
    Receiver,
    /// Every daemon: the receiver tells it on.
    Fleet,
}

/// A piece of news on its way through the fleet.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Item {
    /// Drawn at random where it was published; tells repeats of it.
    pub number: u64,
    /// Age at the moment of sending, in milliseconds.
    pub age_millis: u32,
    /// Whom it is for.
    pub reach: Reach,
    /// The news.
    pub news: News,
}

impl Eq for Item {}
