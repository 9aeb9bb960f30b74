//! A connection that can go silent: it stays open, but transfers nothing more.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection of a server, with its number.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    number: u64,
    /// Connections with a number below this are silent.
    silent_below: Arc<AtomicU64>,
}

impl Socket {
    pub fn new(stream: TcpStream, number: u64, silent_below: Arc<AtomicU64>) -> Self {
        Self {
            stream,
            number,
            silent_below,
        }
    }

    fn is_silent(&self) -> bool {
        self.number < self.silent_below.load(Ordering::Acquire)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        // Bytes received after the connection went silent are discarded.
        if self.is_silent() && buffer.filled().len() > before {
            buffer.set_filled(before);
            return Poll::Pending;
        }
        result
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
