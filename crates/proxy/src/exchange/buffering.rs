//! Buffering of response bodies before they are forwarded.

use std::time::Duration;

use http_body::Body as _;
use http_body_util::BodyExt as _;
use monsooncart_policy::outcome;
use tokio::time::{Instant, timeout_at};

use super::{Call, Failure, Reply, classify_error};
use crate::{common, deadline, memory, pace};

/// Bytes at the beginning of a response that are buffered before it is forwarded, so that a
/// repeatable request can be retried if the response ends within them.
const RETRY_BUFFER_BYTES: u64 = 64 << 10;

/// Maximum response body that is buffered whole with host routing; a larger one is streamed.
const MAX_BUFFERED_BODY_BYTES: u64 = 1 << 20;

/// Buffers a body up to [`MAX_BUFFERED_BODY_BYTES`], so that a truncated or late response is
/// detected before the caller receives a byte of it; less if too much is held already.
///
/// # Errors
///
/// If the body is truncated or late, or states a length that cannot be reached by the deadline.
pub async fn buffer_body(
    reply: &mut Reply,
    call: &Call,
    common: &common::Common,
) -> Result<(), Failure> {
    let deadline = call.deadlines.request();
    check_length(reply, call, common.link_pace)?;
    let mut meter = pace::Meter::new(Instant::now());
    while may_buffer(reply, common) && !reply.is_fully_buffered() {
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
            meter.record(Instant::now(), data.len() as u64);
            reply.prefix.push(data);
        }
    }
    check_length(reply, call, meter.fastest())
}

/// Whether more of a body may be buffered.
fn may_buffer(reply: &Reply, common: &common::Common) -> bool {
    let bytes = reply.prefix.byte_count();
    let has_room = bytes < memory::SMALL_BYTES || common.bodies.has_room_for_responses();
    bytes < MAX_BUFFERED_BODY_BYTES && has_room
}

/// Checks that the rest of a body of known length can be received by the deadline at this pace.
fn check_length(reply: &Reply, call: &Call, pace: Option<pace::Pace>) -> Result<(), Failure> {
    let (Some(bytes), Some(pace)) = (reply.rest.size_hint().exact(), pace) else {
        return Ok(());
    };
    let time = call.deadlines.remaining();
    if reply.is_fully_buffered() || pace.can_transfer(bytes, time) {
        return Ok(());
    }
    let request = call.correlation_id.to_str().unwrap_or("unreadable");
    let millis = time.as_millis();
    log::info!(request, bytes, millis, bytes_per_second:% = pace.0.0; "proxy: response cannot end in time");
    Err(outcome::Outcome::Garbled.into())
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
