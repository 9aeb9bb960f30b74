//! A connection to a backend server or a relay, which carries one exchange at a time.

use std::io;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use monsooncart_types::time;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task;

use crate::{gate, payload, socket};

/// Maximum size of a response head, and of hyper's read and write buffers.
const MAX_BUFFER_BYTES: usize = 128 << 10;

/// Maximum number of header lines of a request or response: 16 KiB of the shortest ones. Each parsed head
/// allocates 64 bytes a line.
pub(crate) const MAX_HEADER_LINES: usize = 3300;

/// A connection to a server or a relay; closed on drop.
#[derive(Debug)]
pub struct Connection {
    pub sender: http1::SendRequest<payload::Payload>,
    /// Counts and blocks writes.
    pub gate: Arc<gate::Gate>,
    pub opened_at: time::Time,
    task: task::AbortHandle,
}

impl Connection {
    /// Opens a connection, from the IP address `from` if there is one.
    ///
    /// # Errors
    ///
    /// If the connection cannot be opened. No byte of a request was sent then.
    pub async fn open(
        from: Option<net::IpAddr>,
        address: net::SocketAddr,
        ack_timeout: Duration,
        now: time::Time,
    ) -> io::Result<Self> {
        let stream = socket::connect(from, address, ack_timeout).await?;
        Self::over(stream, ack_timeout, now).await
    }

    /// Starts HTTP over a stream that is open already; writes that make no progress for `ack_timeout`
    /// fail.
    ///
    /// # Errors
    ///
    /// If hyper cannot use the stream. No byte of a request was sent then.
    pub async fn over<S>(stream: S, ack_timeout: Duration, now: time::Time) -> io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let socket = socket::Socket::new(stream, ack_timeout);
        let gate = socket.gate();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .max_headers(MAX_HEADER_LINES)
            .handshake(TokioIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:%; "pool: connection to server failed");
            }
        });
        Ok(Self {
            sender,
            gate,
            opened_at: now,
            task: task.abort_handle(),
        })
    }

    /// Whether another exchange may start now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Whether no further exchange is possible.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.gate.close();
        self.task.abort();
    }
}
