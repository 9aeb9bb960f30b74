//! Connections to one backend server that wait for work.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use monsooncart_types::time;

use crate::link;
use crate::lock::lock;

/// Limits of the connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections kept without work.
    pub max_idle: usize,
    /// Longest time that a connection is kept without work.
    pub idle_timeout: Duration,
    /// Idle time up to which a connection counts as just proved; `None` where only new ones do.
    pub freshness_window: Option<Duration>,
    /// Longest time for which a connection may go without an acknowledgement; that of bodies
    /// without progress where absent.
    pub ack_timeout: Option<Duration>,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time for a probe of a server's health endpoint.
    pub probe_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_idle: 8,
            idle_timeout: Duration::from_secs(30),
            freshness_window: None,
            ack_timeout: None,
            connect_timeout: Duration::from_secs(1),
            probe_timeout: Duration::from_secs(1),
        }
    }
}

#[derive(Debug)]
struct Idle {
    link: link::Link,
    since: time::Time,
}

/// Connections to one server that wait for work.
#[derive(Debug)]
pub(crate) struct Pool {
    limits: Limits,
    idle: Mutex<Vec<Idle>>,
    condemned: AtomicU64,
}

impl Pool {
    /// A pool without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            idle: Mutex::default(),
            condemned: AtomicU64::new(0),
        }
    }

    /// Takes the connection that was used last, where that was within `recent`.
    pub fn take(&self, now: time::Time, recent: Duration) -> Option<link::Link> {
        let mut idle = lock(&self.idle);
        idle.retain(|i| self.keeps(i, now));
        let ready = |i: &Idle| i.link.is_ready() && now.since(i.since) <= recent;
        let at = idle.iter().rposition(ready)?;
        Some(idle.remove(at).link)
    }

    /// Keeps a connection after a whole exchange.
    pub fn put(&self, link: link::Link, now: time::Time) {
        let item = Idle { link, since: now };
        let mut idle = lock(&self.idle);
        if self.keeps(&item, now) && idle.len() < self.limits.max_idle {
            idle.push(item);
        }
    }

    /// Closes connections that were opened before a time; those at work close after it.
    pub fn condemn(&self, opened_before: time::Time) {
        self.condemned.fetch_max(opened_before.0, Ordering::Relaxed);
        lock(&self.idle).retain(|i| i.link.opened >= opened_before);
    }

    /// Closes connections that waited too long or were closed by the server.
    pub fn reap(&self, now: time::Time) {
        lock(&self.idle).retain(|i| self.keeps(i, now));
    }

    fn keeps(&self, item: &Idle, now: time::Time) -> bool {
        let condemned = time::Time(self.condemned.load(Ordering::Relaxed));
        !item.link.is_closed()
            && item.link.opened >= condemned
            && now.since(item.since) < self.limits.idle_timeout
    }
}
