//! Callers that are told apart by no key: the host and path of a request name its contract.
//!
//! The names of the headers differ between deployments; [`HeaderNames`] holds them.

use http::header::HeaderName;

/// Names of the headers that callers, the fleet and servers exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Names the request, from the caller and towards the server, which echoes it.
    pub request: HeaderName,
    /// Milliseconds that the caller still waits, from the caller and towards the server.
    pub deadline: HeaderName,
    /// The server that a request is meant for; any other one refuses it.
    pub server: HeaderName,
    /// Says on a server's answer that the request was not run.
    pub not_run: HeaderName,
}
