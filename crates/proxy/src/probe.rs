//! Active health checks of servers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Limited};
use tokio::time::timeout;

use crate::{common, header, link, payload, server, service};

/// Maximum size of a health response.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Whether the health endpoint responds with success on a new connection.
pub async fn check_health(
    service: &Arc<service::Service>,
    common: &common::Common,
    server: &server::Server,
    path: &str,
) -> bool {
    let probe_timeout = common.pool.probe_timeout;
    match timeout(probe_timeout, request_health(common, server, path)).await {
        Ok(Some(health)) => {
            if health.leaving {
                service.report_leaving(server);
            }
            health.healthy
        }
        _ => false,
    }
}

/// Maximum time for a response to a probe of the path.
const PATH_PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Whether the server responds at all on a new connection, however unhealthy it is; without a health
/// path, whether it accepts the connection.
pub async fn check_path(
    common: &common::Common,
    server: &server::Server,
    path: Option<&str>,
) -> bool {
    let probe = async {
        match path {
            Some(path) => request_health(common, server, path).await.is_some(),
            None => check_connect(common, server).await,
        }
    };
    timeout(PATH_PROBE_TIMEOUT, probe).await.unwrap_or(false)
}

/// Whether a server is there after a connection to it broke: it responds on a new connection, or accepts
/// the connection and is too busy to respond at once. A connection that is closed without a response may
/// have been accepted by something in front of a server that crashed.
pub async fn check_crash(
    common: &common::Common,
    server: &server::Server,
    path: Option<&str>,
) -> bool {
    let Some(path) = path else {
        return check_connect(common, server).await;
    };
    let Some(mut connection) = open(common, server).await else {
        return false;
    };
    let response = timeout(PATH_PROBE_TIMEOUT, exchange(&mut connection, server, path));
    response.await.map_or(true, |health| health.is_some())
}

/// Whether the server accepts a connection.
pub async fn check_connect(common: &common::Common, server: &server::Server) -> bool {
    open(common, server).await.is_some()
}

struct Health {
    healthy: bool,
    leaving: bool,
}

/// Opens a connection to a server; `None` if that fails or takes too long.
async fn open(common: &common::Common, server: &server::Server) -> Option<link::Connection> {
    let (probe_timeout, now) = (common.pool.probe_timeout, common.clock.now());
    let opening = link::Connection::open(
        common.pool.local_address,
        server.spec.address,
        probe_timeout,
        now,
    );
    timeout(probe_timeout, opening).await.ok()?.ok()
}

async fn request_health(
    common: &common::Common,
    server: &server::Server,
    path: &str,
) -> Option<Health> {
    let mut connection = open(common, server).await?;
    exchange(&mut connection, server, path).await
}

/// Requests the health endpoint on a connection; `None` if there is no response.
async fn exchange(
    connection: &mut link::Connection,
    server: &server::Server,
    path: &str,
) -> Option<Health> {
    let request = http::Request::get(path)
        .header(http::header::HOST, server.spec.address.to_string())
        .body(payload::Payload::Buffered(Bytes::new()))
        .ok()?;
    let response = connection.sender.send_request(request).await.ok()?;
    let (head, body) = response.into_parts();
    Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(Health {
        healthy: head.status.is_success(),
        leaving: header::is_true(&head.headers, &header::LEAVING),
    })
}
