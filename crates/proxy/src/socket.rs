//! The I/O stream of a connection to a backend server or a relay, as used by hyper.

use std::io;
use std::net;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};

use crate::gate;
use crate::stall;

/// Interval between keepalive probes on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Idle time before the first keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(15);

/// Sets the TCP options by which the kernel detects an unresponsive peer.
///
/// # Errors
///
/// If the kernel rejects an option.
pub fn set_options(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

/// Makes the kernel reset the connection when it is closed, so that unsent bytes are dropped.
pub fn discard_unsent(stream: &TcpStream) {
    if let Err(error) = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(error:%; "proxy: unsent bytes of a connection cannot be dropped");
    }
}

/// Opens a TCP connection to a backend server, from the IP address `from` if there is one.
///
/// # Errors
///
/// If the connection cannot be opened or the kernel rejects an option.
pub async fn connect(
    from: Option<net::IpAddr>,
    address: net::SocketAddr,
    ack_timeout: Duration,
) -> io::Result<TcpStream> {
    let socket = match address {
        net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(from) = from.filter(|from| from.is_ipv4() == address.is_ipv4()) {
        socket.bind(net::SocketAddr::new(from, 0))?;
    }
    let stream = socket.connect(address).await?;
    set_options(&stream, ack_timeout)?;
    Ok(stream)
}

/// A stream whose writes pass a gate and fail if they stall.
#[derive(Debug)]
pub struct Socket<S> {
    stream: S,
    gate: Arc<gate::Gate>,
    stall: stall::Timer,
}

impl<S> Socket<S> {
    /// Wraps an open stream.
    pub fn new(stream: S, stall_timeout: Duration) -> Self {
        Self {
            stream,
            gate: Arc::default(),
            stall: stall::Timer::new(stall_timeout),
        }
    }

    /// Returns the gate that counts and blocks writes.
    pub fn gate(&self) -> Arc<gate::Gate> {
        self.gate.clone()
    }

    fn check_stall(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_ready() {
            self.stall.record_progress();
            return result;
        }
        ready!(self.stall.poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Socket<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let stream = Pin::new(&mut this.stream);
        let result = this.gate.write(|| stream.poll_write(cx, bytes));
        this.check_stall(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let stream = Pin::new(&mut this.stream);
        let result = this.gate.write(|| stream.poll_write_vectored(cx, bytes));
        this.check_stall(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
