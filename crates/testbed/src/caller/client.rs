//! Connection pool to the daemons.

use std::collections::HashMap;
use std::net;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Sending half of a connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// Idle connections for reuse, by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<net::SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// Takes an idle connection to a daemon or opens a new one; `None` if connecting fails.
    pub async fn take_or_connect(&self, address: net::SocketAddr) -> Option<Sender> {
        if let Some(sender) = self.take_idle(address) {
            return Some(sender);
        }
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:%; "caller: connection to daemon failed");
            }
        });
        Some(sender)
    }

    fn take_idle(&self, address: net::SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        let index = senders.iter().rposition(http1::SendRequest::is_ready)?;
        Some(senders.swap_remove(index))
    }

    /// Puts a connection back for reuse.
    pub fn put(&self, address: net::SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(address).or_default().push(sender);
    }
}
