//! Where an attempt is sent: a server, or a daemon that relays the request.

use std::sync::Arc;

use monsooncart_types::id;

use crate::{pool, relay, server};

/// Target of an attempt.
#[derive(Clone, Debug)]
pub enum Target {
    Server(Arc<server::Server>),
    Relay(Arc<relay::Peer>),
}

impl Target {
    /// Name of the server, or of the relay's VM.
    pub fn name(&self) -> &str {
        match self {
            Self::Server(server) => server.spec.name.as_str(),
            Self::Relay(peer) => peer.name.as_str(),
        }
    }

    /// The name as that of a server; `None` if it is not valid as such.
    pub fn server_name(&self) -> Option<id::Server> {
        match self {
            Self::Server(server) => Some(server.spec.name.clone()),
            Self::Relay(peer) => peer.name.as_str().parse().ok(),
        }
    }

    /// Idle connections to the target.
    pub fn pool(&self) -> &pool::Pool {
        match self {
            Self::Server(server) => &server.pool,
            Self::Relay(peer) => &peer.pool,
        }
    }
}
