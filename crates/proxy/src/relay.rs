//! Daemons that forward this daemon's requests while it has no path to the servers.
//!
//! A request is relayed over a connection of its own between the two daemons, as HTTP, so that bodies
//! are streamed and a disconnected caller is noticed at every hop. The relay handles it like a request
//! of a caller, but never relays it again. A header tells the relay to how many servers it may send
//! the request, and tells the requesting daemon who responded.

use std::sync::{Arc, Mutex};

use http::HeaderName;
use monsooncart_types::{id, instance, map};
use tokio::io::{AsyncRead, AsyncWrite};

use crate::lock::lock;
use crate::pool;

/// On a relayed request, the maximum number of servers that it may be sent to. On its response, a
/// [`Responder`].
pub(crate) const HEADER: HeaderName = HeaderName::from_static("monsooncart-relay");

/// Number of relays with a pool above which the pools without connections are dropped.
const MAX_POOLS: usize = 256;

/// Who responded to a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Responder {
    /// A server.
    Server,
    /// The relay itself.
    Relay,
}

/// A byte stream between two daemons.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send + std::fmt::Debug {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send + std::fmt::Debug> Stream for S {}

/// A daemon that relays requests.
#[derive(Debug)]
pub(crate) struct Peer {
    pub instance: instance::Instance,
    pub name: id::Vm,
    /// Idle connections to it.
    pub pool: pool::Pool,
}

/// Pools of connections to relays.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: Mutex<map::Map<instance::Instance, Arc<Peer>>>,
}

impl Peers {
    /// Returns the relay with this instance; creates its pool with `limits` if there is none.
    pub fn get(
        &self,
        instance: instance::Instance,
        name: &id::Vm,
        limits: pool::Limits,
    ) -> Arc<Peer> {
        let mut peers = lock(&self.peers);
        if peers.len() >= MAX_POOLS {
            peers.retain(|_, peer| !peer.pool.is_empty());
        }
        let peer = peers.entry(instance).or_insert_with(|| {
            Arc::new(Peer {
                instance,
                name: name.clone(),
                pool: pool::Pool::new(limits),
            })
        });
        peer.clone()
    }
}
