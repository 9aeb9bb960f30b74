//! The pool of idle connections to one backend server.

use std::net;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use monsooncart_types::time;

use crate::link;
use crate::lock::lock;

/// Limits of connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of idle connections.
    pub max_idle_connections: usize,
    /// Maximum time for which a connection is kept idle.
    pub idle_timeout: Duration,
    /// Idle time up to which a pooled connection counts as fresh; `None` if only new connections
    /// do.
    pub freshness_window: Option<Duration>,
    /// Maximum time without a TCP acknowledgement; defaults to the timeout for bodies without
    /// progress.
    pub ack_timeout: Option<Duration>,
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Address from which connections are opened; `None` leaves the choice to the kernel.
    pub local_address: Option<net::IpAddr>,
    /// Maximum time for a health check.
    pub probe_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_idle_connections: 8,
            idle_timeout: Duration::from_secs(30),
            freshness_window: None,
            ack_timeout: None,
            connect_timeout: Duration::from_secs(1),
            local_address: None,
            probe_timeout: Duration::from_secs(1),
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: link::Connection,
    idle_since: time::Time,
}

/// Idle connections to one server.
#[derive(Debug)]
pub(crate) struct Pool {
    limits: Limits,
    idle: Mutex<Vec<IdleConnection>>,
    /// Connections opened before this time are not reused; in the unit of [`time::Time`].
    min_opened_at: AtomicU64,
}

impl Pool {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            idle: Mutex::default(),
            min_opened_at: AtomicU64::new(0),
        }
    }

    /// Removes and returns the most recently used connection that was idle for at most
    /// `max_idle_time`.
    pub fn take(&self, now: time::Time, max_idle_time: Duration) -> Option<link::Connection> {
        let mut idle = lock(&self.idle);
        idle.retain(|i| self.is_reusable(i, now));
        let ready = |i: &IdleConnection| {
            i.connection.is_ready() && now.since(i.idle_since) <= max_idle_time
        };
        let index = idle.iter().rposition(ready)?;
        Some(idle.remove(index).connection)
    }

    /// Returns a connection to the pool after a complete exchange.
    pub fn put(&self, connection: link::Connection, now: time::Time) {
        let item = IdleConnection {
            connection,
            idle_since: now,
        };
        let mut idle = lock(&self.idle);
        if self.is_reusable(&item, now) && idle.len() < self.limits.max_idle_connections {
            idle.push(item);
        }
    }

    /// Closes idle connections that were opened before the given time; those in use are closed
    /// when they are returned.
    pub fn close_opened_before(&self, opened_before: time::Time) {
        self.min_opened_at
            .fetch_max(opened_before.0, Ordering::Relaxed);
        lock(&self.idle).retain(|i| i.connection.opened_at >= opened_before);
    }

    /// Whether no idle connection is left.
    pub fn is_empty(&self) -> bool {
        lock(&self.idle).is_empty()
    }

    /// Closes connections that exceeded the idle timeout or were closed by the server.
    pub fn close_expired(&self, now: time::Time) {
        lock(&self.idle).retain(|i| self.is_reusable(i, now));
    }

    fn is_reusable(&self, item: &IdleConnection, now: time::Time) -> bool {
        let min_opened_at = time::Time(self.min_opened_at.load(Ordering::Relaxed));
        !item.connection.is_closed()
            && item.connection.opened_at >= min_opened_at
            && now.since(item.idle_since) < self.limits.idle_timeout
    }
}
