//! Reports of the rest of the fleet about a service and its servers.

use std::time::Duration;

use monsooncart_policy::{event, handle};
use monsooncart_types::{id, instance, rate, run};

/// A report about a service.
#[derive(Clone, Debug, PartialEq, strum::EnumDiscriminants)]
#[strum_discriminants(
    name(Kind),
    derive(Hash, strum::Display, strum::EnumIter),
    strum(serialize_all = "kebab-case"),
    doc = "Kind of a report."
)]
pub enum Report {
    /// A request is refused for a time.
    Quarantine {
        /// The request.
        fingerprint: handle::Fingerprint,
        /// Time from now.
        duration: Duration,
    },
    /// A request sent by another daemon crashed a server.
    Crash {
        /// The request, or its head.
        fingerprint: handle::Fingerprint,
        /// The run of a server that crashed.
        run: run::Run,
    },
    /// A server answered a request that was suspected of crashes.
    Acquittal {
        /// The request.
        fingerprint: handle::Fingerprint,
    },
    /// A run of a server is leaving.
    Leaving {
        /// The server.
        server: id::Server,
        /// Start of the run, in milliseconds since 1970; 0 for the current run.
        started_millis: u64,
    },
    /// The decision about the ejection of a server.
    Ejection {
        /// The server.
        server: id::Server,
        /// The decision.
        ejection: event::Ejection,
    },
    /// The rate limit that a server announces.
    RateLimit {
        /// The server.
        server: id::Server,
        /// Start of the run that announced it, in milliseconds since 1970.
        started_millis: u64,
        /// The limit; `None` if the server no longer announces one.
        limit: Option<rate::Rate>,
    },
    /// Another daemon's evidence about servers.
    Evidence {
        /// The other daemon.
        from: instance::Instance,
        /// Its evidence, one digest per server.
        digests: Vec<(id::Server, event::Digest)>,
    },
    /// Another daemon has lost its path to the servers.
    PathLost,
}

/// Time for which the report of a crash waits.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Time for which a report about a server waits for the configuration that has the server, which takes
/// seconds after a start, or longer while the store is away.
const SERVER_RETENTION: Duration = Duration::from_secs(60);

impl Report {
    /// Time for which the report waits for what it is about; `None` if it is repeated while it holds,
    /// or means nothing to a daemon without traffic.
    #[must_use]
    pub fn retention(&self) -> Option<Duration> {
        match self {
            Self::Quarantine { duration, .. } => Some(*duration),
            Self::Crash { .. } => Some(CRASH_RETENTION),
            Self::Leaving { .. } | Self::Ejection { .. } => Some(SERVER_RETENTION),
            Self::Acquittal { .. }
            | Self::RateLimit { .. }
            | Self::Evidence { .. }
            | Self::PathLost => None,
        }
    }

    /// The report with what is left of it after it has waited.
    #[must_use]
    pub(crate) fn after(mut self, waited: Duration) -> Self {
        if let Self::Quarantine { duration, .. } = &mut self {
            *duration = duration.saturating_sub(waited);
        }
        self
    }
}
