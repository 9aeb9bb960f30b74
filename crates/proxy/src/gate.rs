//! Tracks whether a byte of an exchange was handed to the kernel.
//!
//! Writes run under the gate's lock, so that none can follow [`Gate::close`] and the count that it
//! returns is final.

use std::io;
use std::sync::Mutex;
use std::task::Poll;

use crate::lock::lock;

#[derive(Debug, Default)]
struct State {
    closed: bool,
    written_bytes: u64,
}

/// Counts the bytes written to a connection, and blocks writes once closed.
#[derive(Debug, Default)]
pub struct Gate {
    state: Mutex<State>,
}

impl Gate {
    /// Runs a non-blocking write and counts its bytes; fails once the gate is closed.
    pub fn write(
        &self,
        write: impl FnOnce() -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let mut state = lock(&self.state);
        if state.closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let result = write();
        if let Poll::Ready(Ok(count)) = result {
            state.written_bytes += count as u64;
        }
        result
    }

    /// Bytes written since the connection was opened.
    pub fn written_bytes(&self) -> u64 {
        lock(&self.state).written_bytes
    }

    /// Blocks all further writes and returns the number of bytes written.
    pub fn close(&self) -> u64 {
        let mut state = lock(&self.state);
        state.closed = true;
        state.written_bytes
    }
}
