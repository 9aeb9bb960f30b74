//! What is to be done, as the decisions say.

use std::time::Duration;

use monsooncart_types::time;

use crate::{handle, outcome};

/// What was known of a server when an attempt was sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
#[display("risk={risk}/1000,evidence={evidence_millis}ms,load={load}/{slots}")]
pub struct Grounds {
    /// Chance that it fails the attempt, in thousandths; 0 where the policy reckons none.
    pub risk: u32,
    /// Age of the last evidence about it, in milliseconds.
    pub evidence_millis: u64,
    /// Attempts in flight there, as far as known.
    pub load: u32,
    /// Its slots.
    pub slots: u32,
}

/// A change of what is held of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StateChange {
    /// It is likely to be gray.
    Doubted,
    /// It is likely to be sound again.
    Acquitted,
    /// No connection to it can be opened; it is left alone for a while.
    Unreachable,
    /// Another server has its address.
    Replaced,
}

/// An action.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request, or sends it again, to a server.
    Send {
        /// The request.
        request: handle::Request,
        /// Stands for this try.
        attempt: handle::Attempt,
        /// The server.
        server: handle::Server,
        /// Whether only a new or just proved connection will do.
        fresh_connection: bool,
        /// What was known of the server.
        grounds: Grounds,
    },
    /// Gives the caller the fleet's own final answer at once.
    Refuse {
        /// The request.
        request: handle::Request,
        /// The answer.
        refusal: outcome::Refusal,
    },
    /// Gives up an attempt whose request got another answer.
    Cancel(handle::Attempt),
    /// Asks the fleet's ledger to take a server out of service.
    Eject {
        /// The server.
        server: handle::Server,
        /// The evidence, in words for operators.
        evidence: String,
    },
    /// Asks the fleet's ledger to put a server back in service.
    Restore(handle::Server),
    /// Tells operators that a server is held for something else than before.
    ReportState {
        /// The server.
        server: handle::Server,
        /// What it is held for now.
        change: StateChange,
        /// The evidence, in words for operators.
        evidence: String,
    },
    /// Asks a server's health endpoint.
    Probe(handle::Server),
    /// Closes connections to a server that were opened before a time.
    CloseConnections {
        /// The server.
        server: handle::Server,
        /// Age limit.
        opened_before: time::Time,
    },
    /// Tells the fleet that a request broke a server, so that a second break anywhere is known for
    /// one.
    ReportCrash {
        /// The request.
        fingerprint: handle::Fingerprint,
        /// The server that it broke.
        server: handle::Server,
    },
    /// Tells the fleet to refuse a request that breaks servers.
    Quarantine {
        /// The request.
        fingerprint: handle::Fingerprint,
        /// For how long.
        duration: Duration,
    },
}
