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

/// Whether the server accepts a connection.
pub async fn check_connect(common: &common::Common, server: &server::Server) -> bool {
    let (probe_timeout, now) = (common.pool.probe_timeout, common.clock.now());
    let opening = link::Connection::open(
        common.pool.local_address,
        server.spec.address,
        probe_timeout,
        now,
    );
    matches!(timeout(probe_timeout, opening).await, Ok(Ok(_)))
}

struct Health {
    healthy: bool,
    leaving: bool,
}

async fn request_health(
    common: &common::Common,
    server: &server::Server,
    path: &str,
) -> Option<Health> {
    let (probe_timeout, now) = (common.pool.probe_timeout, common.clock.now());
    let opening = link::Connection::open(
        common.pool.local_address,
        server.spec.address,
        probe_timeout,
        now,
    );
    let mut connection = opening.await.ok()?;
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
