//! Connections to peers, one each, opened when first needed and again after a failure.

use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use monsooncart_types::map;

use crate::{connection, counters};

/// An open connection.
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

/// The connections by address.
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

    /// The connection to a peer, opened now where there is none. Callers that come while one is
    /// being opened wait for it.
    pub(crate) async fn get(&self, to: net::SocketAddr) -> Result<Arc<Pooled>, connection::Error> {
        let slot = self.slot(to);
        let mut open = slot.connection.lock().await;
        if let Some(connection) = &*open {
            return Ok(connection.clone());
        }
        let opened = self.dialler.dial(to, &self.counters).await?;
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Pooled {
            connection: opened,
            id: number,
        });
        *open = Some(connection.clone());
        Ok(connection)
    }

    /// Forgets a connection on which a call failed; calls in flight on it go on.
    pub(crate) async fn discard(&self, to: net::SocketAddr, failed: &Pooled) {
        let slot = self.slot(to);
        let mut open = slot.connection.lock().await;
        if open.as_ref().is_some_and(|c| c.id == failed.id) {
            *open = None;
        }
    }

    /// Closes the connections that have not been used for `idle`.
    pub(crate) fn close_idle(&self, idle: Duration) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.retain(|_, entry| entry.last_used_at.elapsed() < idle);
    }

    /// Closes all connections.
    pub(crate) fn clear(&self) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.clear();
    }
}
