//! Tracks requests in flight on a caller's connection and in total.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::lock::lock;
use crate::{common, tcp};

/// Interval at which a connection from which nothing reads is checked for its end.
const DEPARTURE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Beginning of the HTTP/2 connection preface.
const HTTP2_PREFACE: &[u8] = b"PRI";

#[derive(Debug)]
struct Times {
    /// When the connection was accepted or its last request completed.
    idle_since: Instant,
    /// When the first byte of an incomplete head was received.
    head_started_at: Option<Instant>,
    last_write_at: Instant,
}

/// Activity on one connection from a caller.
#[derive(Debug)]
pub struct Activity {
    started_requests: AtomicU64,
    completed_requests: AtomicU64,
    /// Number of started requests when all responses were last flushed to the kernel.
    flushed_requests: AtomicU64,
    multiplexed: AtomicBool,
    /// Whether a response reached its deadline, which ends the connection.
    expired: AtomicBool,
    head_started: Notify,
    times: Mutex<Times>,
    /// Connection of a caller; absent if another daemon has requests relayed on it.
    stream: Option<tcp::Stream>,
}

impl Activity {
    pub fn new(stream: Option<tcp::Stream>) -> Self {
        Self {
            stream,
            started_requests: AtomicU64::new(0),
            completed_requests: AtomicU64::new(0),
            flushed_requests: AtomicU64::new(0),
            multiplexed: AtomicBool::new(false),
            expired: AtomicBool::new(false),
            head_started: Notify::new(),
            times: Mutex::new(Times {
                idle_since: Instant::now(),
                head_started_at: None,
                last_write_at: Instant::now(),
            }),
        }
    }

    /// Waits until the caller has closed its connection while nothing reads from it.
    pub async fn wait_for_departure(&self) {
        let Some(stream) = &self.stream else {
            return std::future::pending().await;
        };
        while !stream.is_closed_by_peer() {
            sleep(DEPARTURE_POLL_INTERVAL).await;
        }
    }

    /// Number of requests started.
    pub fn started_requests(&self) -> u64 {
        self.started_requests.load(Ordering::Acquire)
    }

    pub fn is_idle(&self) -> bool {
        self.completed_requests.load(Ordering::Acquire) == self.started_requests()
    }

    /// Whether the connection uses HTTP/2.
    pub fn is_multiplexed(&self) -> bool {
        self.multiplexed.load(Ordering::Relaxed)
    }

    /// Records that a response reached its deadline, which ends the connection.
    pub fn expire(&self) {
        self.expired.store(true, Ordering::Relaxed);
    }

    /// Whether a response reached its deadline.
    pub fn is_expired(&self) -> bool {
        self.expired.load(Ordering::Relaxed)
    }

    /// Records bytes received from the caller; `is_first` is set for the first of the connection.
    pub fn record_read(&self, bytes: &[u8], is_first: bool) {
        if is_first && bytes.starts_with(HTTP2_PREFACE) {
            self.multiplexed.store(true, Ordering::Relaxed);
        }
        if self.is_idle() && !self.is_multiplexed() {
            let mut times = lock(&self.times);
            if times.head_started_at.is_none() {
                times.head_started_at = Some(Instant::now());
                self.head_started.notify_one();
            }
        }
    }

    /// Waits until the first byte of a head is received.
    pub async fn wait_for_head(&self) {
        self.head_started.notified().await;
    }

    /// Records that bytes were handed to the kernel.
    pub fn record_write(&self) {
        lock(&self.times).last_write_at = Instant::now();
    }

    /// Records that hyper's whole output was handed to the kernel.
    pub fn record_flush(&self) {
        if self.is_idle() {
            self.flushed_requests
                .store(self.started_requests(), Ordering::Release);
        }
    }

    /// Whether the responses to all requests were completely handed to the kernel.
    pub fn is_flushed(&self) -> bool {
        self.is_idle() && self.flushed_requests.load(Ordering::Acquire) == self.started_requests()
    }

    /// Returns when the connection is to be closed unless there is activity; `None` while a request
    /// or its response is in flight.
    ///
    /// The idle time starts at the last write if that is later than the last completion: an HTTP/2
    /// response may wait for the caller's flow-control window after hyper has taken all of it.
    pub fn close_deadline(
        &self,
        head_timeout: Duration,
        idle_timeout: Duration,
    ) -> Option<Instant> {
        if !self.is_idle() {
            return None;
        }
        let times = lock(&self.times);
        if self.is_multiplexed() {
            return Some(times.idle_since.max(times.last_write_at) + idle_timeout);
        }
        if !self.is_flushed() {
            return None;
        }
        let idle_deadline = times.idle_since.max(times.last_write_at) + idle_timeout;
        Some(
            times
                .head_started_at
                .map_or(idle_deadline, |started_at| started_at + head_timeout),
        )
    }
}

/// Counts a request as in flight until it is dropped.
pub struct InFlight {
    activity: Arc<Activity>,
    common: Arc<common::Common>,
}

impl InFlight {
    pub fn new(activity: Arc<Activity>, common: Arc<common::Common>, multiplexed: bool) -> Self {
        activity.multiplexed.store(multiplexed, Ordering::Relaxed);
        activity.started_requests.fetch_add(1, Ordering::AcqRel);
        lock(&activity.times).head_started_at = None;
        common.metrics.in_flight.inc();
        Self { activity, common }
    }
}

impl InFlight {
    /// The connection of the request.
    pub fn activity(&self) -> &Activity {
        &self.activity
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        lock(&self.activity.times).idle_since = Instant::now();
        self.activity
            .completed_requests
            .fetch_add(1, Ordering::AcqRel);
        self.common.metrics.in_flight.dec();
    }
}
