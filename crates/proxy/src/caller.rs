//! The connection from a caller as hyper sees it.
//!
//! It notes the first byte of each head, ends writes that make no progress, reads what a caller
//! still sends after the last answer, so that the kernel does not discard that answer, and marks
//! hyper's own answers to malformed heads as not run.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::{activity, stall};

/// Longest time that the rest of a caller's bytes is read after the last answer.
const LINGER: Duration = Duration::from_secs(2);

/// Bytes that are read and dropped at a time.
const SCRATCH_BYTES: usize = 8 << 10;

/// Answers that hyper makes itself start so.
const HYPER_ANSWER: &[u8] = b"HTTP/1.1 4";

/// A connection from a caller.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
    activity: Arc<activity::Activity>,
    stall: stall::Stall,
    /// The marked answer that is written in place of hyper's.
    marked: Option<Marked>,
    linger: Option<Pin<Box<Sleep>>>,
    /// Whether no byte came yet.
    untouched: bool,
}

#[derive(Debug)]
struct Marked {
    bytes: Vec<u8>,
    written: usize,
}

impl Caller {
    /// A connection that was accepted.
    pub fn new(stream: TcpStream, activity: Arc<activity::Activity>, stall: Duration) -> Self {
        Self {
            stream,
            activity,
            stall: stall::Stall::new(stall),
            marked: None,
            linger: None,
            untouched: true,
        }
    }

    /// Whether nothing but an answer of hyper's own can be written now.
    fn is_hypers(&self, bytes: &[u8]) -> bool {
        self.activity.is_flushed()
            && !self.activity.is_multiplexed()
            && bytes.starts_with(HYPER_ANSWER)
    }

    fn write_marked(&mut self, cx: &mut Context<'_>, replaced: usize) -> Poll<io::Result<usize>> {
        let Some(marked) = &mut self.marked else {
            return Poll::Ready(Ok(replaced));
        };
        while marked.written < marked.bytes.len() {
            let rest = &marked.bytes[marked.written..];
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, rest))?;
            if written == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            marked.written += written;
        }
        Poll::Ready(Ok(replaced))
    }

    fn settle<T>(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stall.progress();
            self.activity.wrote();
            return result;
        }
        ready!(self.stall.poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

/// The answer to a head that hyper could not read, marked as not run.
fn marked(bytes: &[u8]) -> Marked {
    let line = bytes.split(|b| *b == b'\r').next().unwrap_or_default();
    let line = String::from_utf8_lossy(line);
    let status: u16 = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(400);
    let (title, detail) = match status {
        431 => (
            "head-too-large",
            "request head is larger than the listener allows",
        ),
        414 => (
            "head-too-large",
            "request target is larger than the listener allows",
        ),
        _ => ("malformed", "request head is not HTTP"),
    };
    let body = format!(
        "{{\"type\":\"about:blank\",\"title\":\"{title}\",\"status\":{status},\
         \"detail\":\"{detail}\",\"outcome\":\"not-run\"}}"
    );
    let head = format!(
        "{line}\r\ncontent-type: application/problem+json\r\nmonsooncart-outcome: not-run\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    Marked {
        bytes: [head.as_bytes(), body.as_bytes()].concat(),
        written: 0,
    }
}

impl AsyncRead for Caller {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let came = &buffer.filled()[before..];
        if !came.is_empty() {
            let first = std::mem::replace(&mut self.untouched, false);
            self.activity.bytes_came(came, first);
        }
        result
    }
}

impl AsyncWrite for Caller {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.marked.is_none() && self.is_hypers(bytes) {
            self.marked = Some(marked(bytes));
        }
        if self.marked.is_some() {
            return self.write_marked(cx, bytes.len());
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.settle(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = bytes.iter().find(|b| !b.is_empty());
        if self.marked.is_none() && first.is_some_and(|first| self.is_hypers(first)) {
            self.marked = first.map(|first| marked(first));
        }
        if self.marked.is_some() {
            let total = bytes.iter().map(|b| b.len()).sum();
            return self.write_marked(cx, total);
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.settle(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once it has handed over all that it holds.
        self.activity.flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            this.linger = Some(Box::pin(sleep_until(Instant::now() + LINGER)));
        }
        let mut scratch = [0; SCRATCH_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut scratch);
            match Pin::new(&mut this.stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => break,
            }
        }
        match &mut this.linger {
            Some(sleep) => sleep.as_mut().poll(cx).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }
}
