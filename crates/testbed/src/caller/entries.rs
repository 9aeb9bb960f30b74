//! Cache of the entry addresses of a service.

use std::net;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::Request;
use monsooncart_proxy::interface;

use super::{client, exchange, options};

/// Entry addresses with their expiry.
#[derive(Clone, Debug)]
struct CachedEntries {
    addresses: Vec<net::SocketAddr>,
    expires_at: Instant,
}

/// Fields of the entries response that a caller uses.
#[derive(serde::Deserialize)]
struct EntriesResponse {
    entries: Vec<interface::Entry>,
}

/// Caches the entry addresses of a service until they expire.
#[derive(Debug, Default)]
pub struct Cache {
    entries: Mutex<Option<CachedEntries>>,
}

impl Cache {
    fn cached(&self) -> Option<CachedEntries> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.clone()
    }

    /// Returns the cached addresses, or fetches them from the first daemon that answers.
    ///
    /// If no daemon answers, returns the expired addresses, or the addresses of the daemons
    /// themselves if nothing was cached.
    pub(super) async fn resolve_addresses(
        &self,
        pool: &client::Pool,
        options: &options::Options,
    ) -> Vec<net::SocketAddr> {
        let cached = self.cached();
        if let Some(entries) = &cached
            && entries.expires_at > Instant::now()
        {
            return entries.addresses.clone();
        }
        for daemon in &options.daemons {
            if let Some(entries) = fetch_entries(pool, *daemon, options).await {
                let addresses = entries.addresses.clone();
                *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = Some(entries);
                return addresses;
            }
        }
        cached.map_or_else(|| options.daemons.clone(), |entries| entries.addresses)
    }
}

async fn fetch_entries(
    pool: &client::Pool,
    daemon: net::SocketAddr,
    options: &options::Options,
) -> Option<CachedEntries> {
    let target = format!("/v1/entries?service={}", options.service);
    let request = Request::get(target)
        .header("host", daemon.to_string())
        .header("authorization", format!("Bearer {}", options.key))
        .body(bytes::Bytes::new())
        .ok()?;
    let response = exchange::fetch(pool, daemon, request, options.timeout).await?;
    if !response.status.is_success() {
        return None;
    }
    let body: EntriesResponse = serde_json::from_slice(&response.body).ok()?;
    let max_age = response.headers.get(http::header::CACHE_CONTROL)?;
    let max_age = max_age
        .to_str()
        .ok()?
        .strip_prefix("max-age=")?
        .parse()
        .ok()?;
    let addresses: Vec<_> = body.entries.iter().map(|e| e.address).collect();
    (!addresses.is_empty()).then(|| CachedEntries {
        addresses,
        expires_at: Instant::now() + Duration::from_secs(max_age),
    })
}
