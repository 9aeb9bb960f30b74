//! Small HTTP/1.1 server for the admin API and for the directory and readiness endpoints.

use std::convert::Infallible;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// Delay after a failed accept, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for receiving a request head; also limits how long a connection may be idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A received request.
pub type Request = http::Request<hyper::body::Incoming>;

/// A response with a complete body.
pub type Response = http::Response<Full<Bytes>>;

/// Handles requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request received from `peer`.
    fn handle<'a>(&'a self, peer: net::IpAddr, request: &'a Request) -> BoxFuture<'a, Response>;
}

/// Serves requests on at most `max_connections` concurrent connections, until the task is dropped.
pub async fn serve(listener: TcpListener, max_connections: usize, handler: Arc<dyn Handler>) {
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:%; "pages: failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service::service_fn(|request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.handle(peer.ip(), &request).await) }
            });
            let served = http1::Builder::new()
                .timer(rt::TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(rt::TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                log::debug!(error:%; "pages: connection failed");
            }
            drop(permit);
        });
    }
}

/// A plain text response.
#[must_use]
pub fn text(status: http::StatusCode, body: &str) -> Response {
    let mut response = http::Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A response with a body of encoded JSON.
#[must_use]
pub fn json(body: Bytes) -> Response {
    let mut response = http::Response::new(Full::new(body));
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
