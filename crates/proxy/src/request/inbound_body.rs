//! Receives the body of a request: buffers a small one and streams a larger one.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use monsooncart_types::size;
use tokio::time::{Instant, timeout_at};

use crate::{memory, payload, problem};

/// Maximum request body that is buffered for retries.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// Buffers a small body; a larger one is left to be streamed.
///
/// # Errors
///
/// The response if the body is too large, truncated or stalled, or the daemon holds too many.
pub async fn read(
    bound: &Arc<memory::Bound>,
    mut incoming: Incoming,
    limit: Option<size::Size>,
    deadline: Instant,
    stall_timeout: Duration,
) -> Result<(payload::Source, memory::Reservation), problem::Problem> {
    let limit_bytes = limit.map_or(u64::MAX, |limit| limit.0);
    let size = incoming.size_hint().exact();
    if size.is_some_and(|size| size > limit_bytes) {
        return Err(problem::Problem::too_large(limit_bytes));
    }
    let mut reservation = bound.reserve(size.unwrap_or(0).min(memory::STREAM_BYTES))?;
    if size.is_some_and(|size| size > MAX_BUFFERED_BYTES) {
        let stream = payload::Stream::new(Bytes::new(), incoming, limit_bytes, stall_timeout);
        return Ok((payload::Source::Streamed(Arc::new(stream)), reservation));
    }
    let mut buffered = BytesMut::new();
    while buffered.len() as u64 <= MAX_BUFFERED_BYTES {
        let frame_deadline = deadline.min(Instant::now() + stall_timeout);
        let frame = timeout_at(frame_deadline, incoming.frame()).await;
        let frame = frame.map_err(|_| {
            let status = StatusCode::REQUEST_TIMEOUT;
            problem::Problem::not_run(status, "body-stalled", "request body did not come")
        })?;
        match frame {
            None => return Ok((payload::Source::Buffered(buffered.freeze()), reservation)),
            Some(Ok(frame)) => {
                let data: &[u8] = frame.data_ref().map_or(&[], |d| d);
                if size.is_none() {
                    reservation.extend(data.len() as u64)?;
                }
                buffered.extend_from_slice(data);
            }
            Some(Err(_)) => return Err(problem::Problem::malformed("request body was cut short")),
        }
        if buffered.len() as u64 > limit_bytes {
            return Err(problem::Problem::too_large(limit_bytes));
        }
    }
    let stream = payload::Stream::new(buffered.freeze(), incoming, limit_bytes, stall_timeout);
    Ok((payload::Source::Streamed(Arc::new(stream)), reservation))
}
