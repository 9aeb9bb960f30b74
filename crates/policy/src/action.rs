//! Outputs of a policy.

use std::time::Duration;

use monsooncart_types::{instance, rate, time};

use crate::{handle, outcome};

/// State of a server that its selection for an attempt was based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
#[display(
    "risk={risk}/1000,evidence={evidence_age_millis}ms,idle={idle_millis}ms,load={load}/{slots},daemons={daemons}"
)]
pub struct Grounds {
    /// Probability that the attempt fails, in thousandths; 0 if the policy estimates none.
    pub risk: u32,
    /// Age of the last evidence about the server, in milliseconds.
    pub evidence_age_millis: u64,
    /// Time since the last known attempt at the server, of any daemon, in milliseconds.
    pub idle_millis: u64,
    /// Known attempts in flight at the server.
    pub load: u32,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Number of daemons among which the slack of the retry budget is divided; 0 if it is not.
    pub daemons: u32,
}

/// A change of the reported state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StateChange {
    /// Probably has a gray failure.
    Doubted,
    /// Probably healthy again.
    Acquitted,
    /// Connections to the server cannot be opened; it is in backoff.
    Unreachable,
    /// Another server has taken over its address.
    Replaced,
}

/// An output of a policy.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to a server, as first attempt, retry or hedge.
    Send {
        /// The request.
        request: handle::Request,
        /// Handle of the new attempt.
        attempt: handle::Attempt,
        /// The server.
        server: handle::Server,
        /// Whether the attempt requires a fresh connection: a new one, or one that was verified
        /// just before.
        fresh_connection: bool,
        /// State of the server that the selection was based on.
        grounds: Grounds,
    },
    /// Has another daemon forward a request to a server.
    Relay {
        /// The request.
        request: handle::Request,
        /// Handle of the new attempt.
        attempt: handle::Attempt,
        /// The other daemon.
        peer: instance::Instance,
        /// Maximum number of servers that it may send the request to.
        max_attempts: u32,
    },
    /// Sends the caller a final response that the fleet generates itself.
    Refuse {
        /// The request.
        request: handle::Request,
        /// Content of that response.
        refusal: outcome::Refusal,
    },
    /// Cancels an attempt whose request is already completed or refused.
    Cancel(handle::Attempt),
    /// Asks the fleet's ledger to eject a server.
    Eject {
        /// The server.
        server: handle::Server,
        /// The evidence, as text for operators.
        evidence: String,
    },
    /// Asks the fleet's ledger to restore an ejected server.
    Restore(handle::Server),
    /// Reports a changed state of a server to operators.
    ReportState {
        /// The server.
        server: handle::Server,
        /// The change.
        change: StateChange,
        /// The evidence, as text for operators.
        evidence: String,
    },
    /// Reports to the fleet the rate limit that a server announces.
    ReportRateLimit {
        /// The server.
        server: handle::Server,
        /// Start time of the run that announced it, in milliseconds since 1970.
        started_millis: u64,
        /// The limit; `None` if the server no longer announces one.
        limit: Option<rate::Rate>,
    },
    /// Sends a health probe to a server.
    Probe(handle::Server),
    /// Checks on a new connection whether a server responds at all.
    ProbePath(handle::Server),
    /// Reports to operators and to the fleet that the path to the servers is lost, or is there again.
    ReportPath {
        /// Whether it is lost.
        lost: bool,
        /// The evidence, as text for operators.
        evidence: String,
    },
    /// Closes the connections to a server that were opened before a given time.
    CloseConnections {
        /// The server.
        server: handle::Server,
        /// Connections that were opened earlier are closed.
        opened_before: time::Time,
    },
    /// Checks on a new connection whether a server has crashed.
    ProbeCrash(handle::Server),
    /// Reports to the fleet that a server answered a request that was suspected of crashes.
    ReportAcquittal(handle::Fingerprint),
    /// Reports to the fleet that a server crashed while it ran a request, so that a further crash at any
    /// daemon is recognised as such.
    ReportCrash {
        /// The request.
        fingerprint: handle::Fingerprint,
        /// The run of a server that crashed.
        run: handle::Run,
    },
    /// Makes the whole fleet refuse a poison request.
    Quarantine {
        /// The request.
        fingerprint: handle::Fingerprint,
        /// Duration of the quarantine.
        duration: Duration,
    },
}
