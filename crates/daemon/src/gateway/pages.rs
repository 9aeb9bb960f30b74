//! Answers the questions of callers and of the platform.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;
use monsooncart_types::id;
use tokio::net::TcpListener;

use super::questions;
use crate::{engine, pages, status};

/// Connections at a time on one listener.
const CONNECTIONS: usize = 1024;

/// Addresses in one answer, at most.
const ADDRESSES: usize = 64;

/// The pages of one daemon.
pub struct Pages {
    engine: engine::Engine,
    questions: Arc<dyn questions::Questions>,
}

/// Serves questions until the task is dropped.
pub async fn serve(listener: TcpListener, pages: Arc<Pages>) {
    pages::serve(listener, CONNECTIONS, pages).await;
}

impl Pages {
    /// The pages of a daemon.
    #[must_use]
    pub fn new(engine: engine::Engine, questions: Arc<dyn questions::Questions>) -> Self {
        Self { engine, questions }
    }

    fn page(&self, request: &pages::Request) -> pages::Answer {
        let mut head = http::Request::new(());
        *head.method_mut() = request.method().clone();
        *head.uri_mut() = request.uri().clone();
        match self.questions.read(&head) {
            Some(questions::Question::Addresses { data_centre }) => {
                self.addresses(data_centre.as_ref())
            }
            Some(questions::Question::Ready) => self.ready(),
            None => pages::text(http::StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    fn addresses(&self, data_centre: Option<&id::DataCentre>) -> pages::Answer {
        let core = self.engine.core();
        let entries = core.gateway.as_ref();
        let near = entries.map(|e| e.near(data_centre)).unwrap_or_default();
        let mut addresses: Vec<_> = near.iter().map(|m| m.callers).collect();
        if addresses.is_empty() {
            addresses.push(self.engine.caller_address());
        }
        addresses.truncate(ADDRESSES);
        let settings = &core.settings;
        let most = settings.gateway.as_ref().map(|g| g.lifetime_max.0);
        let lifetime = settings.entry_lifetime.0;
        let answer = questions::Addresses {
            addresses,
            lifetime: most.map_or(lifetime, |most: Duration| lifetime.min(most)),
        };
        pages::json(self.questions.addresses(&answer))
    }

    fn ready(&self) -> pages::Answer {
        match self.engine.phase() {
            status::Phase::Serving => pages::text(http::StatusCode::OK, "serving\n"),
            phase => {
                let status = http::StatusCode::SERVICE_UNAVAILABLE;
                pages::text(status, &format!("{phase}\n"))
            }
        }
    }
}

impl pages::Pages for Pages {
    fn answer<'a>(
        &'a self,
        _peer: net::IpAddr,
        request: &'a pages::Request,
    ) -> BoxFuture<'a, pages::Answer> {
        std::future::ready(self.page(request)).boxed()
    }
}
