//! One request and its response on one connection.

use std::net;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::client;
use crate::backend::pattern;

/// Maximum size of a buffered response body; a larger one counts as no response.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A complete response.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body; empty if it was compared with a pattern.
    pub body: Bytes,
    /// Length of the body in bytes and whether all of it matched the pattern; `None` if it was not
    /// compared.
    pub matched: Option<(u64, bool)>,
}

/// Sends a request and buffers the response; `None` if no complete response arrives.
///
/// `limit` applies to connecting, to the response head and to each body frame.
pub async fn fetch(
    pool: &client::Pool,
    address: net::SocketAddr,
    request: Request<Bytes>,
    limit: Duration,
) -> Option<Response> {
    send(pool, address, request, limit, None).await
}

/// Sends a request and returns the response; the body of a successful one is compared with
/// `pattern` if given.
///
/// `limit` applies to connecting, to the response head and to each body frame.
pub async fn send(
    pool: &client::Pool,
    address: net::SocketAddr,
    request: Request<Bytes>,
    limit: Duration,
    pattern: Option<pattern::Pattern>,
) -> Option<Response> {
    let connecting = timeout(limit, pool.take_or_connect(address));
    let mut sender = connecting.await.ok()??;
    let sending = sender.send_request(request.map(Full::new));
    let incoming = timeout(limit, sending).await.ok()?.ok()?;
    let (head, body) = incoming.into_parts();
    let mut response = Response {
        status: head.status,
        headers: head.headers,
        body: Bytes::new(),
        matched: None,
    };
    match pattern.filter(|_| head.status.is_success()) {
        Some(pattern) => response.matched = Some(compare_body(body, pattern, limit).await?),
        None => response.body = collect_body(body, limit).await?,
    }
    pool.put(address, sender);
    Some(response)
}

async fn compare_body(
    mut body: Incoming,
    pattern: pattern::Pattern,
    limit: Duration,
) -> Option<(u64, bool)> {
    let (mut received, mut matches) = (0, true);
    while let Some(frame) = timeout(limit, body.frame()).await.ok()? {
        if let Some(data) = frame.ok()?.data_ref() {
            matches = matches && pattern.matches(received, data);
            received += data.len() as u64;
        }
    }
    Some((received, matches))
}

async fn collect_body(mut body: Incoming, limit: Duration) -> Option<Bytes> {
    let mut collected = BytesMut::new();
    while let Some(frame) = timeout(limit, body.frame()).await.ok()? {
        if let Some(data) = frame.ok()?.data_ref() {
            collected.extend_from_slice(data);
        }
        if collected.len() > MAX_BODY_BYTES {
            return None;
        }
    }
    Some(collected.freeze())
}
