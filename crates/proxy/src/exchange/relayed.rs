//! An exchange with a daemon that relays the request.

use std::io;
use std::sync::Arc;

use http::header as names;
use http_body::Body as _;
use hyper::body::Incoming;
use monsooncart_policy::outcome;
use tokio::time::{Instant, timeout_at};

use super::{Call, Failure, Reply, buffering, closes_connection, matches_attempt, send};
use crate::{attempt, common, header, link, prefix, relay};

/// Has `peer` send a request to at most `max_attempts` servers, and waits for the response.
///
/// # Errors
///
/// If there is no response to forward. The relay states whether a request that it refused may have
/// run; without its response, one of which a byte was sent may have.
pub async fn run(
    common: &common::Common,
    call: &Call,
    peer: &Arc<relay::Peer>,
    max_attempts: u32,
    attempt: &attempt::Attempt,
) -> Result<Reply, Failure> {
    call.check_body()?;
    let now = common.clock.now();
    if let Some(connection) = peer.pool.take(now, common.pool.idle_timeout) {
        match exchange_on(common, call, peer, max_attempts, attempt, connection).await {
            // The relay closed the pooled connection before anything was sent: retry on a new one.
            Err(failure) if call.may_reconnect(failure) => {}
            result => return result,
        }
    }
    let connection = connect(common, call, peer).await?;
    exchange_on(common, call, peer, max_attempts, attempt, connection).await
}

async fn connect(
    common: &common::Common,
    call: &Call,
    peer: &relay::Peer,
) -> Result<link::Connection, Failure> {
    let opened_at = common.clock.now();
    let deadline = Instant::now() + common.pool.connect_timeout;
    let deadline = call.deadlines.request().min(deadline);
    let opening = async {
        let stream = common.fleet.open_relay(peer.instance).await?;
        link::Connection::over(stream, common.ack_timeout(), opened_at).await
    };
    let error = match timeout_at(deadline, opening).await {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(error)) => error,
        Err(_) => io::ErrorKind::TimedOut.into(),
    };
    log::info!(relay:% = peer.name, error:%; "path: could not connect to relay");
    Err(outcome::Outcome::Unsent.into())
}

async fn exchange_on(
    common: &common::Common,
    call: &Call,
    peer: &relay::Peer,
    max_attempts: u32,
    attempt: &attempt::Attempt,
    mut connection: link::Connection,
) -> Result<Reply, Failure> {
    let Some(mut request) = call.build_request(common.host_headers.as_ref(), None) else {
        peer.pool.put(connection, common.clock.now());
        return Err(outcome::Outcome::BodyTaken.into());
    };
    attempt.report_body_taken(&request);
    request
        .headers_mut()
        .insert(relay::HEADER, max_attempts.into());
    let (response, mut tracker) = send(call, &mut connection, request).await?;
    let (head, rest) = response.into_parts();
    let responder = head.headers.get(relay::HEADER);
    let responder = responder.and_then(|value| value.to_str().ok()?.parse().ok());
    match responder {
        Some(relay::Responder::Server) if matches_attempt(common, &head, &call.correlation_id) => {
            attempt.report_head(head.status.as_u16());
        }
        Some(relay::Responder::Relay) => {
            if header::is_not_run(&head.headers) {
                tracker.refused = true;
                if is_complete(call, &rest) && !closes_connection(&head) {
                    peer.pool.put(connection, common.clock.now());
                }
                return Err(Failure {
                    outcome: outcome::Outcome::Shed { leaving: false },
                    retry_after: header::parse_retry_after(&head.headers),
                    expired: None,
                });
            }
        }
        _ => return Err(outcome::Outcome::Garbled.into()),
    }
    let mut reply = Reply {
        connection: Some(connection),
        head,
        prefix: prefix::Prefix::new(&common.bodies),
        rest,
        ended: false,
    };
    reply.head.headers.remove(relay::HEADER);
    reply.head.headers.remove(names::CONNECTION);
    buffering::buffer_body(&mut reply, call, common).await?;
    Ok(reply)
}

/// Whether neither side has more of its body to send.
fn is_complete(call: &Call, rest: &Incoming) -> bool {
    call.request_body.source().is_sent() && rest.is_end_stream()
}
