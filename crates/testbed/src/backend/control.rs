//! The control listener: sets the fault mode and returns the log.
//!
//! - `POST /control` with a [`mode::Mode`] as JSON sets the mode; absent fields take their default.
//! - `GET /control` returns the mode.
//! - `GET /control/starts` returns the [`super::starts::Starts`].
//! - `POST /control/crash` breaks all connections.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use super::{mode, server};

/// Maximum size of a control request.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// Serves the control listener of a server until the future is dropped.
pub async fn serve(server: server::Server, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let server = server.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let server = server.clone();
                async move { Ok::<_, std::convert::Infallible>(respond(&server, request).await) }
            });
            let serving = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                log::debug!(error:%; "backend: control connection failed");
            }
        });
    }
}

async fn respond(server: &server::Server, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/control") => json_response(&server.mode()),
        (&Method::GET, "/control/starts") => json_response(&server.starts()),
        (&Method::POST, "/control/crash") => {
            server.crash();
            json_response(&server.mode())
        }
        (&Method::POST, "/control") => {
            let Ok(body) = Limited::new(body, MAX_REQUEST_BYTES).collect().await else {
                return error_response("request body is too large or truncated");
            };
            match serde_json::from_slice::<mode::Mode>(&body.to_bytes()) {
                Ok(mode) => {
                    log::info!(mode:?; "backend: mode set");
                    server.set_mode(mode);
                    json_response(&server.mode())
                }
                Err(error) => error_response(&error.to_string()),
            }
        }
        _ => {
            let mut response =
                error_response("path is not /control, /control/starts or /control/crash");
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

fn json_response(value: &impl serde::Serialize) -> Response<Full<Bytes>> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    Response::new(Full::new(bytes.into()))
}

fn error_response(detail: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(detail.to_owned().into()));
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
