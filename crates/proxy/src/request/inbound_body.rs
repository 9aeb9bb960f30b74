//! Receives the body of a request: buffers a small one and streams a larger one.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use monsooncart_policy::handle;
use monsooncart_types::size;
use tokio::time::{Instant, timeout_at};

use crate::{fingerprint, memory, payload, problem, screening};

/// Maximum request body that is buffered for retries.
pub const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// Maximum request body that is buffered if the request is to be received whole.
const MAX_WHOLE_BYTES: u64 = 8 << 20;

/// Rules for receiving a body.
pub struct Rules {
    /// Maximum size; unlimited if absent.
    pub limit: Option<size::Size>,
    pub deadline: Instant,
    pub stall_timeout: Duration,
    /// Whether the request has to be recognised before it is sent.
    pub must_identify: bool,
    /// Whether a planned stop might cut off the request if it were sent before it is whole.
    pub must_be_whole: bool,
}

/// A body that was received, or is left to be streamed.
pub struct Received {
    pub body: payload::Source,
    pub reservation: memory::Reservation,
    /// Fingerprint of the request; that of its head if the body is streamed.
    pub fingerprint: handle::Fingerprint,
}

impl Rules {
    /// Whether the request is to be received whole before it is sent.
    fn receives_whole(&self) -> bool {
        self.must_identify || self.must_be_whole
    }

    fn max_buffered_bytes(&self) -> u64 {
        match self.receives_whole() {
            true => MAX_WHOLE_BYTES,
            false => MAX_BUFFERED_BYTES,
        }
    }
}

/// The response to a request whose body makes no progress.
fn stalled() -> problem::Problem {
    let status = StatusCode::REQUEST_TIMEOUT;
    problem::Problem::not_run(status, "body-stalled", "request body did not come")
}

/// Buffers a small body, whose request can then be retried; a larger one is left to be streamed. A
/// request that is to be received whole is buffered as far as the memory for bodies permits, and screened
/// while it is streamed if `screening` is given.
///
/// # Errors
///
/// The response if the body is too large, truncated or stalled, or the daemon holds too many.
pub async fn read(
    bound: &Arc<memory::Bound>,
    mut incoming: Incoming,
    rules: Rules,
    hasher: fingerprint::Hasher,
    screening: Option<screening::Screening>,
) -> Result<Received, problem::Problem> {
    let limit_bytes = rules.limit.map_or(u64::MAX, |limit| limit.0);
    let size = incoming.size_hint().exact();
    if size.is_some_and(|size| size > limit_bytes) {
        return Err(problem::Problem::too_large(limit_bytes));
    }
    let mut reservation = bound.reserve(size.unwrap_or(0).min(memory::STREAM_BYTES))?;
    let mut max_buffered_bytes = rules.max_buffered_bytes();
    let mut buffered = BytesMut::new();
    if size.is_some_and(|size| size > max_buffered_bytes) {
        max_buffered_bytes = 0;
    } else if let Some(size) = size.filter(|size| *size > MAX_BUFFERED_BYTES)
        && reservation.extend(size).is_err()
    {
        max_buffered_bytes = 0;
    }
    while max_buffered_bytes > 0 && buffered.len() as u64 <= max_buffered_bytes {
        let frame_deadline = rules.deadline.min(Instant::now() + rules.stall_timeout);
        let frame = timeout_at(frame_deadline, incoming.frame()).await;
        let frame = frame.map_err(|_| stalled())?;
        match frame {
            None => {
                let body = buffered.freeze();
                return Ok(Received {
                    fingerprint: hasher.finish(&body),
                    body: payload::Source::Buffered(body),
                    reservation,
                });
            }
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                buffered.extend_from_slice(&data);
                if size.is_none() {
                    let is_small = buffered.len() as u64 <= MAX_BUFFERED_BYTES;
                    match reservation.extend(data.len() as u64) {
                        Ok(()) => {}
                        Err(problem) if is_small || !rules.receives_whole() => {
                            return Err(problem);
                        }
                        Err(_) => max_buffered_bytes = 0,
                    }
                }
            }
            Some(Err(_)) => return Err(problem::Problem::malformed("request body was cut short")),
        }
        if buffered.len() as u64 > limit_bytes {
            return Err(problem::Problem::too_large(limit_bytes));
        }
    }
    let prefix: Bytes = buffered.freeze();
    let stream = payload::Stream::new(
        prefix,
        incoming,
        limit_bytes,
        rules.stall_timeout,
        screening,
        bound,
    );
    Ok(Received {
        body: payload::Source::Streamed(Arc::new(stream)),
        reservation,
        fingerprint: hasher.finish_head(size),
    })
}
