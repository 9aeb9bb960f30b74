//! How a daemon without tokens asks a holder to eject a server.

use monsooncart_types::id;

use crate::floor::mark;

/// A request to a holder; asking again does no harm.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Request {
    /// The server to eject.
    pub server: id::Server,
    /// Who wants it and why.
    pub ejection: mark::Ejection,
}

/// The holder's answer.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Reply {
    /// The server that was asked about.
    pub server: id::Server,
    /// The mark that ejects it; `None` where the holder can't.
    pub mark: Option<mark::Mark>,
}
