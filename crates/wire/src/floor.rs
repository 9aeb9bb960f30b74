//! Calls for the ejection tokens of a service's capacity floor, opaque to this crate.

use bytes::Bytes;

/// Request to a holder of ejection tokens.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// Request in the floor's encoding.
    pub payload: Bytes,
}

/// Reply of the token holder.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reply {
    /// Reply in the floor's encoding.
    pub payload: Bytes,
}
