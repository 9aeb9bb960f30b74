//! Buffering of response bodies before they are forwarded.

use std::time::Duration;

use http_body::Body as _;
use http_body_util::BodyExt as _;
use monsooncart_policy::outcome;
use tokio::time::{Instant, timeout_at};

use super::{Failure, Reply, classify_error};
use crate::deadline;

/// Bytes at the beginning of a response that are buffered before it is forwarded, so that a
/// repeatable request can be retried if the response ends within them.
const RETRY_BUFFER_BYTES: u64 = 64 << 10;

/// Maximum response body that is buffered whole with host routing; a larger one is streamed.
const MAX_BUFFERED_BODY_BYTES: u64 = 1 << 20;

/// Buffers a body up to [`MAX_BUFFERED_BODY_BYTES`], so that a truncated or late response is
/// detected before the caller receives a byte of it.
pub async fn buffer_body(reply: &mut Reply, deadline: Instant) -> Result<(), Failure> {
    while reply.prefix.byte_count() < MAX_BUFFERED_BODY_BYTES && !reply.is_fully_buffered() {
        let frame = match timeout_at(deadline, reply.rest.frame()).await {
            Ok(None) => {
                reply.ended = true;
                return Ok(());
            }
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(classify_error(&error).into()),
            Err(_) => return Err(Failure::expired(deadline::Phase::ResponseBody)),
        };
        if let Ok(data) = frame.into_data() {
            reply.prefix.push(data);
        }
    }
    Ok(())
}

/// Buffers the beginning of a body of known length, up to [`RETRY_BUFFER_BYTES`].
///
/// Stops at the deadline for the head and leaves the rest to be streamed.
pub async fn buffer_prefix(
    reply: &mut Reply,
    stall_timeout: Duration,
    deadline: Instant,
) -> Result<(), Failure> {
    if reply.rest.size_hint().exact().is_none() {
        return Ok(());
    }
    while reply.prefix.byte_count() < RETRY_BUFFER_BYTES && !reply.rest.is_end_stream() {
        let stall_deadline = Instant::now() + stall_timeout;
        let frame = match timeout_at(stall_deadline.min(deadline), reply.rest.frame()).await {
            Ok(None) => {
                reply.ended = true;
                return Ok(());
            }
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Err(classify_error(&error).into()),
            Err(_) if Instant::now() >= deadline => return Ok(()),
            Err(_) => return Err(outcome::Outcome::Timeout.into()),
        };
        if let Ok(data) = frame.into_data() {
            reply.prefix.push(data);
        }
    }
    Ok(())
}
