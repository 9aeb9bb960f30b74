//! The request body as it is sent to servers.
//!
//! A small body is buffered, so that the request can be sent several times, also at the same time. A
//! larger one is streamed, and can be sent only by one attempt at a time, and again only until an attempt
//! reads the first frame. Every attempt reads a streamed body under a generation number of its own. The
//! number is revoked when the attempt finishes, since its connection may live a moment longer and must
//! not consume a frame that a later attempt needs.
//!
//! While no attempt has a streamed body, some of it is read ahead. Otherwise nothing would read from the
//! caller's connection, and a caller that leaves while its request waits would not be noticed. What is read
//! ahead is bounded for each body and, beyond what is reserved for each, for all of them. An end of the
//! connection behind more than that and what the kernel holds reaches the daemon only when the body is
//! read on.
//!
//! What a policy knows of a body may be out of date when its command is carried out, so the body is
//! granted or denied here, at the moment at which a request is built.

mod access;

use std::collections::VecDeque;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::lock::lock;
use crate::{activity, memory, screening, stall};

pub use access::Access;

/// Maximum size of what is read ahead of a body.
const MAX_AHEAD_BYTES: u64 = 512 << 10;

/// Error in reading a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// The body exceeds the route's limit.
    #[display("request body is larger than the route allows")]
    Limit,
    /// The caller sent nothing for too long.
    #[display("request body made no progress")]
    Stall,
    /// The caller's connection failed.
    #[display("request body was cut short by the caller")]
    Cut,
    /// The request crashes the servers that run it.
    #[display("request crashed the servers that ran it")]
    Poison,
    /// The attempt that reads the body has finished.
    #[display("attempt has ended and takes no more of the request body")]
    Revoked,
}

#[derive(Debug)]
struct State {
    /// Frames that were read ahead.
    ahead: VecDeque<Frame<Bytes>>,
    ahead_bytes: u64,
    /// Counts what was read ahead beyond the reservation of a streamed body.
    ahead_reservation: memory::Reservation,
    incoming: Incoming,
    consumed: bool,
    /// Number of the latest attempt that was granted the body.
    generation: u64,
    /// Whether that attempt still has it.
    granted: bool,
    completed_at: Option<Instant>,
    fault: Option<Fault>,
    received_bytes: u64,
    limit_bytes: u64,
    stall: stall::Timer,
    /// Present if the request is suspected of crashing servers.
    screening: Option<screening::Screening>,
}

/// A body that is received from the caller while it is sent to a server.
#[derive(Debug)]
pub struct Stream {
    state: Mutex<State>,
    /// Length of the whole body in bytes, if the caller announced it.
    size: Option<u64>,
}

impl Stream {
    /// Creates a stream from `prefix`, which was already read, and the rest of the body.
    pub fn new(
        prefix: Bytes,
        incoming: Incoming,
        limit_bytes: u64,
        stall_timeout: Duration,
        screening: Option<screening::Screening>,
        bound: &Arc<memory::Bound>,
    ) -> Self {
        let rest = incoming.size_hint().exact();
        let received_bytes = prefix.len() as u64;
        Self {
            size: rest.map(|rest| rest + received_bytes),
            state: Mutex::new(State {
                ahead_bytes: received_bytes,
                ahead_reservation: bound.hold(0),
                ahead: (!prefix.is_empty())
                    .then(|| Frame::data(prefix))
                    .into_iter()
                    .collect(),
                incoming,
                consumed: false,
                generation: 0,
                granted: false,
                completed_at: None,
                fault: None,
                received_bytes,
                limit_bytes,
                stall: stall::Timer::new(stall_timeout),
                screening,
            }),
        }
    }

    /// Whether an attempt has started to read the body.
    pub fn is_consumed(&self) -> bool {
        lock(&self.state).consumed
    }

    /// Whether an attempt can be granted the body.
    fn is_available(&self) -> bool {
        lock(&self.state).is_available()
    }

    /// Whether no attempt has the body, and not all of it was received.
    fn awaits_caller(&self) -> bool {
        let state = lock(&self.state);
        state.is_available() && state.completed_at.is_none()
    }

    /// Whether all of the body was sent.
    fn is_sent(&self) -> bool {
        lock(&self.state).is_sent()
    }

    /// Reads ahead while no attempt has the body, and returns the fault on the caller's side if there is
    /// one.
    async fn read_ahead(&self) -> Fault {
        poll_fn(|cx| lock(&self.state).poll_ahead(cx)).await
    }

    /// Grants the body to an attempt and returns its generation; `None` if another one has it or has
    /// read from it.
    fn grant(&self) -> Option<u64> {
        let mut state = lock(&self.state);
        if !state.is_available() {
            return None;
        }
        state.generation += 1;
        state.granted = true;
        Some(state.generation)
    }

    /// Takes the body from the attempt with this generation.
    fn revoke(&self, generation: u64) {
        let mut state = lock(&self.state);
        if state.generation == generation {
            state.granted = false;
        }
    }

    /// Time at which the end of the body was reached.
    pub fn completed_at(&self) -> Option<Instant> {
        lock(&self.state).completed_at
    }

    pub fn fault(&self) -> Option<Fault> {
        lock(&self.state).fault
    }

    pub fn received_bytes(&self) -> u64 {
        lock(&self.state).received_bytes
    }
}

impl State {
    fn is_available(&self) -> bool {
        !self.consumed && !self.granted
    }

    fn poll(
        &mut self,
        cx: &mut Context<'_>,
        generation: u64,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if generation != self.generation || !self.granted {
            return Poll::Ready(Some(Err(Fault::Revoked)));
        }
        self.consumed = true;
        if let Some(fault) = self.fault {
            return Poll::Ready(Some(Err(fault)));
        }
        loop {
            let held = self.screening.as_mut();
            if let Some(frame) = held.and_then(screening::Screening::pop) {
                return Poll::Ready(Some(Ok(frame)));
            }
            if self.screening.is_some() && self.is_read_out() {
                return Poll::Ready(None);
            }
            let frame = ready!(self.poll_received(cx));
            let is_read_out = self.is_read_out();
            let Some(screening) = &mut self.screening else {
                return Poll::Ready(frame);
            };
            match frame {
                Some(Ok(frame)) => screening.push(frame),
                Some(Err(fault)) => return Poll::Ready(Some(Err(fault))),
                None => {}
            }
            if is_read_out && !screening.pass() {
                return Poll::Ready(Some(self.fail(Fault::Poison)));
            }
        }
    }

    /// The next frame from the caller.
    fn poll_received(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        if let Some(frame) = self.ahead.pop_front() {
            let bytes = byte_count(&frame);
            self.ahead_bytes -= bytes;
            self.ahead_reservation.shrink(bytes);
            return Poll::Ready(Some(Ok(frame)));
        }
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        let Poll::Ready(frame) = polled else {
            ready!(self.stall.poll(cx));
            return Poll::Ready(Some(self.fail(Fault::Stall)));
        };
        self.stall.record_progress();
        Poll::Ready(match frame {
            None => {
                self.completed_at.get_or_insert_with(Instant::now);
                None
            }
            Some(Err(_)) => Some(self.fail(Fault::Cut)),
            Some(Ok(frame)) => Some(self.count_frame(frame)),
        })
    }

    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<Fault> {
        while self.is_available() && self.completed_at.is_none() {
            if let Some(fault) = self.fault {
                return Poll::Ready(fault);
            }
            let is_reserved = self.ahead_bytes < memory::STREAM_BYTES;
            let has_room = self.ahead_bytes < MAX_AHEAD_BYTES && self.ahead_reservation.has_room();
            if !is_reserved && !has_room {
                break;
            }
            match ready!(Pin::new(&mut self.incoming).poll_frame(cx)) {
                None => self.completed_at = Some(Instant::now()),
                Some(Err(_)) => self.fault = Some(Fault::Cut),
                Some(Ok(frame)) => {
                    if let Ok(frame) = self.count_frame(frame) {
                        let bytes = byte_count(&frame);
                        self.ahead_bytes += bytes;
                        if !is_reserved {
                            self.ahead_reservation.grow(bytes);
                        }
                        self.ahead.push_back(frame);
                    }
                }
            }
        }
        // An attempt that has the body sees a fault itself, and hyper watches the connection of a whole one.
        Poll::Pending
    }

    /// Whether the end of the body was reached and nothing that was read ahead is left.
    fn is_read_out(&self) -> bool {
        self.completed_at.is_some() && self.ahead.is_empty()
    }

    /// Whether all of the body was sent.
    fn is_sent(&self) -> bool {
        let screening = self.screening.as_ref();
        self.is_read_out() && screening.is_none_or(screening::Screening::is_empty)
    }

    fn count_frame(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, Fault> {
        self.received_bytes += byte_count(&frame);
        if self.received_bytes > self.limit_bytes {
            return self.fail(Fault::Limit);
        }
        if self.incoming.is_end_stream() {
            self.completed_at = Some(Instant::now());
        }
        Ok(frame)
    }

    fn fail(&mut self, fault: Fault) -> Result<Frame<Bytes>, Fault> {
        self.fault = Some(fault);
        Err(fault)
    }
}

fn byte_count(frame: &Frame<Bytes>) -> u64 {
    frame.data_ref().map_or(0, |data| data.len() as u64)
}

/// Source of the bodies of a request's attempts.
#[derive(Clone, Debug)]
pub enum Source {
    /// The whole body, in memory.
    Buffered(Bytes),
    /// A body that is streamed from the caller.
    Streamed(Arc<Stream>),
}

impl Source {
    /// Whether the body can still be sent from its beginning.
    pub fn is_intact(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(stream) => !stream.is_consumed(),
        }
    }

    /// Whether an attempt can be granted the body now.
    pub fn is_available(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(stream) => stream.is_available(),
        }
    }

    /// Receives some of a body that no attempt has; returns only a fault on the caller's side, who may have
    /// left.
    pub async fn read_ahead(&self, activity: &activity::Activity) -> Fault {
        let Self::Streamed(stream) = self else {
            return std::future::pending().await;
        };
        tokio::select! {
            fault = stream.read_ahead() => fault,
            () = activity.wait_for_departure(), if stream.awaits_caller() => Fault::Cut,
        }
    }

    /// Whether the whole body was sent to the server that has it.
    pub fn is_sent(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(stream) => stream.is_sent(),
        }
    }

    /// Whether the whole body was received from the caller.
    pub fn is_complete(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed(stream) => stream.completed_at().is_some(),
        }
    }

    /// Returns the error on the caller's side, if any.
    pub fn fault(&self) -> Option<Fault> {
        match self {
            Self::Buffered(_) => None,
            Self::Streamed(stream) => stream.fault(),
        }
    }

    pub fn received_bytes(&self) -> u64 {
        match self {
            Self::Buffered(bytes) => bytes.len() as u64,
            Self::Streamed(stream) => stream.received_bytes(),
        }
    }
}

/// The body of one attempt.
#[derive(Debug)]
pub enum Payload {
    /// Buffered bytes that were not read yet.
    Buffered(Bytes),
    /// A body that is streamed from the caller.
    Streamed {
        stream: Arc<Stream>,
        /// Generation under which the attempt may read the body.
        generation: u64,
    },
}

impl http_body::Body for Payload {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        match &mut *self {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Self::Streamed { stream, generation } => lock(&stream.state).poll(cx, *generation),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed { stream, .. } => stream.is_sent(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed { stream, .. } => {
                stream.size.map(SizeHint::with_exact).unwrap_or_default()
            }
        }
    }
}
