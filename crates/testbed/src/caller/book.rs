//! The entry addresses of a service, kept for their lifetime.

use std::net;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::Request;
use monsooncart_proxy::interface;

use super::{client, exchange, options};

/// Addresses that were learned.
#[derive(Clone, Debug)]
struct Page {
    addresses: Vec<net::SocketAddr>,
    until: Instant,
}

/// The part of the entry answer that a caller reads.
#[derive(serde::Deserialize)]
struct Entries {
    entries: Vec<interface::Entry>,
}

/// The entry addresses of a service.
#[derive(Debug, Default)]
pub struct Book {
    page: Mutex<Option<Page>>,
}

impl Book {
    fn kept(&self) -> Option<Page> {
        let page = self.page.lock().unwrap_or_else(PoisonError::into_inner);
        page.clone()
    }

    /// The addresses to use: those kept, or those that a daemon tells.
    ///
    /// Where no daemon answers, old addresses are used on, and the daemons' own without any.
    pub(super) async fn addresses(
        &self,
        pool: &client::Pool,
        options: &options::Options,
    ) -> Vec<net::SocketAddr> {
        let kept = self.kept();
        if let Some(page) = &kept
            && page.until > Instant::now()
        {
            return page.addresses.clone();
        }
        for daemon in &options.daemons {
            if let Some(page) = ask(pool, *daemon, options).await {
                let addresses = page.addresses.clone();
                *self.page.lock().unwrap_or_else(PoisonError::into_inner) = Some(page);
                return addresses;
            }
        }
        kept.map_or_else(|| options.daemons.clone(), |page| page.addresses)
    }
}

async fn ask(
    pool: &client::Pool,
    daemon: net::SocketAddr,
    options: &options::Options,
) -> Option<Page> {
    let target = format!("/v1/entries?service={}", options.service);
    let request = Request::get(target)
        .header("host", daemon.to_string())
        .header("authorization", format!("Bearer {}", options.key))
        .body(bytes::Bytes::new())
        .ok()?;
    let answer = exchange::small(pool, daemon, request, options.timeout).await?;
    if !answer.status.is_success() {
        return None;
    }
    let entries: Entries = serde_json::from_slice(&answer.body).ok()?;
    let age = answer.headers.get(http::header::CACHE_CONTROL)?;
    let age = age.to_str().ok()?.strip_prefix("max-age=")?.parse().ok()?;
    let addresses: Vec<_> = entries.entries.iter().map(|e| e.address).collect();
    (!addresses.is_empty()).then(|| Page {
        addresses,
        until: Instant::now() + Duration::from_secs(age),
    })
}
