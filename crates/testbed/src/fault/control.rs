//! The control listener: the proxy's links as JSON over HTTP.
//!
//! - `GET /v1/links`: all links.
//! - `PUT /v1/links/NAME`, [`Spec`]: adds a link.
//! - `PUT /v1/links/NAME/target`, an address: sets its target.
//! - `PUT /v1/links/NAME/rules`, a list of [`rule::Rule`]: replaces its rules.
//! - `POST /v1/links/NAME/end`, a [`rule::End`]: terminates the open connections.
//! - `DELETE /v1/links/NAME`: removes it.

use std::convert::Infallible;
use std::net;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode, service};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::{link, proxy, rule};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Parameters of a new link.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Listen address; port 0 selects a free port.
    pub listen: net::SocketAddr,
    /// Address to which traffic is forwarded.
    #[serde(default)]
    pub target: Option<net::SocketAddr>,
}

/// Reported state of a link.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct View {
    /// Name of the link.
    pub name: String,
    /// Listen address.
    pub address: net::SocketAddr,
    /// Address to which traffic is forwarded.
    pub target: Option<net::SocketAddr>,
    /// Active rules.
    pub rules: Vec<rule::Rule>,
    /// Forwarded traffic.
    pub counts: link::Counts,
}

impl View {
    fn new(link: &link::Link) -> Self {
        Self {
            name: link.name().to_owned(),
            address: link.address(),
            target: link.target(),
            rules: link.rules(),
            counts: link.counts(),
        }
    }
}

/// Why a request is rejected: the status and the body of the response.
struct Rejection {
    status: StatusCode,
    text: String,
}

fn bad_request(error: &dyn std::fmt::Display) -> Rejection {
    Rejection {
        status: StatusCode::BAD_REQUEST,
        text: error.to_string(),
    }
}

fn not_found(name: &str) -> Rejection {
    Rejection {
        status: StatusCode::NOT_FOUND,
        text: format!("no link {name:?}"),
    }
}

/// Serves the control listener until the future is dropped.
pub async fn serve(proxy: Arc<proxy::Proxy>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let proxy = proxy.clone();
        tokio::spawn(async move {
            let service = service::service_fn(move |request| respond(proxy.clone(), request));
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!(error:%; "fault: control connection failed");
            }
        });
    }
}

async fn respond(
    proxy: Arc<proxy::Proxy>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, body) = match handle_request(&proxy, request).await {
        Ok(views) => (
            StatusCode::OK,
            serde_json::to_vec(&views).unwrap_or_default(),
        ),
        Err(rejection) => (rejection.status, rejection.text.into_bytes()),
    };
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    Ok(response)
}

async fn handle_request(
    proxy: &proxy::Proxy,
    request: Request<Incoming>,
) -> Result<Vec<View>, Rejection> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await;
    let body = body.map_err(|e| bad_request(&e))?.to_bytes();
    let parts: Vec<_> = path.trim_matches('/').split('/').collect();
    let link = |name: &str| proxy.link(name).ok_or_else(|| not_found(name));
    let changed = match (method, parts.as_slice()) {
        (Method::GET, ["v1", "links"]) => {
            let links = proxy.links();
            return Ok(links.iter().map(|link| View::new(link)).collect());
        }
        (Method::GET, ["v1", "links", name]) => link(name)?,
        (Method::PUT, ["v1", "links", name]) => {
            let spec: Spec = decode(&body)?;
            let added = proxy.add(name, spec.listen, spec.target).await;
            added.map_err(|e| bad_request(&e))?
        }
        (Method::DELETE, ["v1", "links", name]) => {
            proxy.remove(name).ok_or_else(|| not_found(name))?
        }
        (Method::PUT, ["v1", "links", name, "target"]) => {
            let link = link(name)?;
            link.set_target(decode(&body)?);
            link
        }
        (Method::PUT, ["v1", "links", name, "rules"]) => {
            let link = link(name)?;
            link.set_rules(decode(&body)?);
            link
        }
        (Method::POST, ["v1", "links", name, "end"]) => {
            let link = link(name)?;
            link.end(decode(&body)?);
            link
        }
        _ => return Err(not_found(&path)),
    };
    Ok(vec![View::new(&changed)])
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Rejection> {
    serde_json::from_slice(body).map_err(|e| bad_request(&e))
}
