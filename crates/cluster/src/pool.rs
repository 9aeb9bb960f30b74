//! Pool of connections to peers: one per peer, opened on demand and reopened after a failure.

use std::io;
use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use monsooncart_types::{instance, map};

use crate::{connection, counters, relay};

/// A connection of the pool.
pub(crate) struct Pooled {
    pub(crate) connection: connection::Connection,
    id: u64,
}

#[derive(Default)]
struct Slot {
    connection: tokio::sync::Mutex<Option<Arc<Pooled>>>,
}

struct Entry {
    slot: Arc<Slot>,
    last_used_at: Instant,
}

/// Pool of connections by address.
pub(crate) struct Pool {
    dialler: connection::Dialler,
    counters: Arc<counters::Counters>,
    entries: Mutex<map::Map<net::SocketAddr, Entry>>,
    next_id: AtomicU64,
}

impl Pool {
    pub(crate) fn new(dialler: connection::Dialler, counters: Arc<counters::Counters>) -> Self {
        Self {
            dialler,
            counters,
            entries: Mutex::default(),
            next_id: AtomicU64::new(0),
        }
    }

    fn slot(&self, to: net::SocketAddr) -> Arc<Slot> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = entries.entry(to).or_insert_with(|| Entry {
            slot: Arc::default(),
            last_used_at: Instant::now(),
        });
        entry.last_used_at = Instant::now();
        entry.slot.clone()
    }

    /// Returns the connection to a peer, opening one if there is none. Concurrent callers wait for the
    /// same connection.
    pub(crate) async fn get(&self, to: net::SocketAddr) -> Result<Arc<Pooled>, connection::Error> {
        let slot = self.slot(to);
        let mut current = slot.connection.lock().await;
        if let Some(connection) = &*current {
            return Ok(connection.clone());
        }
        let connection = self.dialler.dial(to, &self.counters).await?;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let pooled = Arc::new(Pooled { connection, id });
        *current = Some(pooled.clone());
        Ok(pooled)
    }

    /// Opens a connection that carries relayed requests; it does not belong to the pool.
    pub(crate) async fn dial_relay(
        &self,
        to: net::SocketAddr,
    ) -> io::Result<(instance::Instance, Box<dyn relay::Stream>)> {
        let dialled = self.dialler.dial_relay(to, &self.counters).await;
        dialled.map_err(io::Error::other)
    }

    /// Removes a connection on which a call failed; its calls in flight continue.
    pub(crate) async fn discard(&self, to: net::SocketAddr, failed: &Pooled) {
        let slot = self.slot(to);
        let mut current = slot.connection.lock().await;
        if current.as_ref().is_some_and(|c| c.id == failed.id) {
            *current = None;
        }
    }

    /// Closes the connections that have not been used for `timeout`.
    pub(crate) fn close_idle(&self, timeout: Duration) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|_, entry| entry.last_used_at.elapsed() < timeout);
    }

    /// Closes all connections.
    pub(crate) fn clear(&self) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.clear();
    }
}
