//! Serves the directory and readiness endpoints.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use monsooncart_types::id;
use tokio::net::TcpListener;

use super::discovery;
use crate::{engine, pages, status};

/// Maximum number of concurrent connections per listener.
const MAX_CONNECTIONS: usize = 1024;

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;

/// The directory and readiness endpoints of one daemon.
pub struct Endpoints {
    engine: engine::Engine,
    codec: Arc<dyn discovery::Codec>,
}

/// Serves the endpoints until the task is dropped.
pub async fn serve(listener: TcpListener, endpoints: Arc<Endpoints>) {
    pages::serve(listener, MAX_CONNECTIONS, endpoints).await;
}

impl Endpoints {
    /// Creates the endpoints of a daemon.
    #[must_use]
    pub fn new(engine: engine::Engine, codec: Arc<dyn discovery::Codec>) -> Self {
        Self { engine, codec }
    }

    fn respond(&self, request: &pages::Request) -> pages::Response {
        let mut head = http::Request::new(());
        *head.method_mut() = request.method().clone();
        *head.uri_mut() = request.uri().clone();
        match self.codec.decode_request(&head) {
            Some(discovery::Request::Addresses { data_centre }) => {
                self.addresses(data_centre.as_ref())
            }
            Some(discovery::Request::Ready) => self.ready(),
            None => pages::text(http::StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    fn addresses(&self, data_centre: Option<&id::DataCentre>) -> pages::Response {
        let core = self.engine.core();
        let entries = core.gateway_entries.as_ref();
        let members = entries
            .map(|e| e.for_data_centre(data_centre))
            .unwrap_or_default();
        let mut addresses: Vec<_> = members.iter().map(|m| m.callers).collect();
        if addresses.is_empty() {
            addresses.push(self.engine.caller_address());
        }
        addresses.truncate(MAX_ADDRESSES);
        let settings = &core.settings;
        let max_lifetime = settings.gateway.as_ref().map(|g| g.lifetime_max.0);
        let lifetime = settings.entry_lifetime.0;
        let response = discovery::Addresses {
            addresses,
            lifetime: max_lifetime.map_or(lifetime, |max: Duration| lifetime.min(max)),
        };
        pages::json(self.codec.encode_addresses(&response))
    }

    fn ready(&self) -> pages::Response {
        match self.engine.phase() {
            status::Phase::Serving => pages::text(http::StatusCode::OK, "serving\n"),
            phase => {
                let status = http::StatusCode::SERVICE_UNAVAILABLE;
                pages::text(status, &format!("{phase}\n"))
            }
        }
    }
}

impl pages::Handler for Endpoints {
    fn handle<'a>(
        &'a self,
        _peer: net::IpAddr,
        request: &'a pages::Request,
    ) -> BoxFuture<'a, pages::Response> {
        std::future::ready(self.respond(request)).boxed()
    }
}
