//! Small answers over HTTP/1.1, for operators and for callers that ask where to connect.

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

/// Wait after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest time for a request head, also on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// A request for a page.
pub type Request = http::Request<hyper::body::Incoming>;

/// A page.
pub type Answer = http::Response<Full<Bytes>>;

/// Makes the page that a request asks for.
pub trait Pages: Send + Sync + 'static {
    /// Answers a request that came from `peer`.
    fn answer<'a>(&'a self, peer: net::IpAddr, request: &'a Request) -> BoxFuture<'a, Answer>;
}

/// Serves pages on at most `connections` connections at a time, until the task is dropped.
pub async fn serve(listener: TcpListener, connections: usize, pages: Arc<dyn Pages>) {
    let permits = Arc::new(Semaphore::new(connections));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:%; "pages: connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let pages = pages.clone();
        tokio::spawn(async move {
            let answer = service::service_fn(|request| {
                let pages = pages.clone();
                async move { Ok::<_, Infallible>(pages.answer(peer.ip(), &request).await) }
            });
            let served = http1::Builder::new()
                .timer(rt::TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(rt::TokioIo::new(stream), answer)
                .await;
            if let Err(error) = served {
                log::debug!(error:%; "pages: connection broke");
            }
            drop(permit);
        });
    }
}

/// A page of plain text.
#[must_use]
pub fn text(status: http::StatusCode, body: &str) -> Answer {
    let mut answer = http::Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// A page of JSON that is encoded already.
#[must_use]
pub fn json(body: Bytes) -> Answer {
    let mut answer = http::Response::new(Full::new(body));
    let kind = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}
