//! The beginning of a response body, held until it is forwarded.
//!
//! Small pieces are copied together, so that a body in chunks of a few bytes takes little more memory
//! than its bytes.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};

use crate::memory;

/// Size from which a piece is held as it is.
const LARGE_PIECE_BYTES: usize = 4 << 10;

/// Size from which pieces that were copied together are closed.
const CLOSED_BYTES: usize = 16 << 10;

/// Beginning of a body.
#[derive(Debug)]
pub struct Prefix {
    pieces: VecDeque<Bytes>,
    /// Small pieces after `pieces`.
    tail: BytesMut,
    byte_count: u64,
    reservation: memory::Reservation,
}

impl Prefix {
    /// Creates an empty one, whose bytes count towards a bound.
    pub fn new(bound: &Arc<memory::Bound>) -> Self {
        Self {
            pieces: VecDeque::new(),
            tail: BytesMut::new(),
            byte_count: 0,
            reservation: bound.hold(0),
        }
    }

    /// Adds bytes at the end.
    pub fn push(&mut self, bytes: Bytes) {
        self.byte_count += bytes.len() as u64;
        self.reservation.grow(bytes.len() as u64);
        let is_first = self.pieces.is_empty() && self.tail.is_empty();
        if is_first || bytes.len() >= LARGE_PIECE_BYTES {
            self.close_tail();
            self.pieces.push_back(bytes);
            return;
        }
        self.tail.extend_from_slice(&bytes);
        if self.tail.len() >= CLOSED_BYTES {
            self.close_tail();
        }
    }

    /// Removes bytes from the beginning.
    pub fn pop(&mut self) -> Option<Bytes> {
        if self.pieces.is_empty() {
            self.close_tail();
        }
        let bytes = self.pieces.pop_front()?;
        self.byte_count -= bytes.len() as u64;
        self.reservation.shrink(bytes.len() as u64);
        Some(bytes)
    }

    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty() && self.tail.is_empty()
    }

    /// Number of bytes.
    pub fn byte_count(&self) -> u64 {
        self.byte_count
    }

    fn close_tail(&mut self) {
        if !self.tail.is_empty() {
            self.pieces.push_back(self.tail.split().freeze());
        }
    }
}
