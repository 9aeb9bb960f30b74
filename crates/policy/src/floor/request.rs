//! Ejection requests from daemons without tokens to token holders.

use monsooncart_types::id;

use crate::floor::mark;

/// A request to a token holder; idempotent.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Request {
    /// The server to eject.
    pub server: id::Server,
    /// Origin of and reason for the ejection.
    pub ejection: mark::Ejection,
}

/// The holder's reply.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Reply {
    /// The server that the request named.
    pub server: id::Server,
    /// The mark that ejects it; `None` if the holder cannot eject it.
    pub mark: Option<mark::Mark>,
}
