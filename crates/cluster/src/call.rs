//! Errors of calls to other daemons.

/// Step of a call at which it failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Step {
    /// Looking up the member.
    Lookup,
    /// Opening a connection.
    Dial,
    /// TLS and hello handshakes.
    Handshake,
    /// Sending the request or waiting for the reply.
    Exchange,
}

/// Method of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Method {
    /// Claim of a ticket.
    Claim,
    /// Release of a claim.
    Release,
    /// Report of a claimed request's outcome.
    Settle,
    /// Query of a ticket's state.
    Outcome,
    /// Transfer of a claim table.
    HandOver,
    /// Comparison of configurations.
    Digest,
    /// Pull of configuration objects.
    Pull,
    /// Delivery of updates.
    News,
    /// Replication of usage counters.
    KeepUsage,
    /// Query of replicated usage counters.
    FetchUsage,
    /// Request to a holder of ejection tokens.
    Floor,
    /// Reconciliation of members and retained updates.
    Sync,
    /// Request for parts of the routing.
    Parts,
}

/// Whether the peer may have received the request of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Delivery {
    /// The request was certainly not delivered.
    NotDelivered,
    /// The request may have been delivered and executed.
    Unknown,
}

/// Failure of a call to another daemon.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{method} at {peer}: {step} failed, {delivery}: {reason}")]
pub struct Error {
    /// Method of the call.
    pub method: Method,
    /// VM name and address of the peer, as far as known.
    pub peer: String,
    /// Step that failed.
    pub step: Step,
    /// Whether the peer may have received the request.
    pub delivery: Delivery,
    /// Whether the peer's process instance is known to have terminated.
    pub peer_terminated: bool,
    /// Cause of the failure.
    pub reason: String,
}
