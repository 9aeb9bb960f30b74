//! Takes the body of a request: a small one whole, a larger one as it comes.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use monsooncart_types::size;
use tokio::time::{Instant, timeout_at};

use crate::{payload, problem};

/// Largest request body that is held, so that the request can be sent again.
const HELD_BYTES: u64 = 64 << 10;

/// Reads a small body, and leaves a larger one to stream.
///
/// # Errors
///
/// The answer where a body is too large, cut short or does not come.
pub async fn take(
    mut incoming: Incoming,
    limit: Option<size::Size>,
    until: Instant,
    stall: Duration,
) -> Result<payload::Source, problem::Problem> {
    let limit = limit.map_or(u64::MAX, |limit| limit.0);
    let size = incoming.size_hint().exact();
    if size.is_some_and(|size| size > limit) {
        return Err(problem::Problem::too_large(limit));
    }
    if size.is_some_and(|size| size > HELD_BYTES) {
        let stream = payload::Stream::new(Bytes::new(), incoming, limit, stall);
        return Ok(payload::Source::Streamed(Arc::new(stream)));
    }
    let mut held = BytesMut::new();
    while held.len() as u64 <= HELD_BYTES {
        let wait = until.min(Instant::now() + stall);
        let frame = timeout_at(wait, incoming.frame()).await;
        let frame = frame.map_err(|_| {
            let status = StatusCode::REQUEST_TIMEOUT;
            problem::Problem::not_run(status, "body-stalled", "request body did not come")
        })?;
        match frame {
            None => return Ok(payload::Source::Held(held.freeze())),
            Some(Ok(frame)) => held.extend_from_slice(frame.data_ref().map_or(&[], |d| d)),
            Some(Err(_)) => return Err(problem::Problem::malformed("request body was cut short")),
        }
        if held.len() as u64 > limit {
            return Err(problem::Problem::too_large(limit));
        }
    }
    let stream = payload::Stream::new(held.freeze(), incoming, limit, stall);
    Ok(payload::Source::Streamed(Arc::new(stream)))
}
