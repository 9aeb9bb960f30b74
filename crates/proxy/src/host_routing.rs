//! Routing by host and path, for deployments whose servers register themselves.
//!
//! Header names differ between deployments; [`HeaderNames`] lists them.

use http::header::HeaderName;

/// Names of the headers exchanged between callers, the fleet and servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Request id, set by the caller, forwarded to the server and echoed by it.
    pub request: HeaderName,
    /// Milliseconds left until the caller's deadline, set by the caller and forwarded to the
    /// server.
    pub deadline: HeaderName,
    /// Name of the server that a request is addressed to; any other server refuses it.
    pub server: HeaderName,
    /// Present on a server's response if the request was not run.
    pub not_run: HeaderName,
    /// Has the value `1` on a server's response if the server is leaving.
    pub leaving: HeaderName,
    /// Requests per second, as a decimal number, that the server accepts from all daemons together;
    /// absent if the server announces no rate limit.
    pub rate_limit: HeaderName,
    /// Key of the caller, if callers have keys; never forwarded.
    pub key: HeaderName,
    /// Name of the caller's organisation, set on requests to servers if callers have keys.
    pub organisation: HeaderName,
}
