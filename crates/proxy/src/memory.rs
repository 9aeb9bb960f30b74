//! Bound on the bytes of bodies that the daemon holds for callers and servers that are slow.
//!
//! A body is reserved when it is accepted. When the bound is reached, requests with a new body are
//! refused as not run; those with a small one, or none, still pass. Responses are always accepted, as
//! their requests have run. What is held back of them counts towards the bound until their callers have
//! read it, and may take a part of it only, so that servers that send without end do not take the
//! place of requests: beyond that part, responses are streamed.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use prometheus::IntGauge;

use crate::problem;

/// Bodies up to this size are accepted beyond the bound.
pub const SMALL_BYTES: u64 = 4 << 10;

/// Bytes that are held of a streamed body at a time.
pub const STREAM_BYTES: u64 = 128 << 10;

/// Share of the bound up to which responses are held back.
const RESPONSE_SHARE: f64 = 0.5;

/// Retry delay of a request that was refused for lack of memory.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The bound, and the bytes held at present.
#[derive(Debug)]
pub struct Bound {
    max_bytes: u64,
    held_bytes: IntGauge,
}

/// Bytes that count towards a bound until they are dropped.
#[derive(Debug)]
pub struct Reservation {
    bound: Arc<Bound>,
    bytes: u64,
}

fn gauge_value(bytes: u64) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}

impl Bound {
    /// Creates a bound of `max_bytes`, whose held bytes are shown by a gauge.
    pub fn new(max_bytes: u64, held_bytes: IntGauge) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            held_bytes,
        })
    }

    /// Bytes held at present.
    pub fn held_bytes(&self) -> u64 {
        u64::try_from(self.held_bytes.get()).unwrap_or(0)
    }

    /// Reserves bytes of a request's body.
    ///
    /// # Errors
    ///
    /// The response to the request if the bound does not permit it.
    pub fn reserve(self: &Arc<Self>, bytes: u64) -> Result<Reservation, problem::Problem> {
        let reservation = self.hold(bytes);
        if bytes > SMALL_BYTES && self.held_bytes() > self.max_bytes {
            let detail = format!(
                "daemon holds its maximum of {} bytes of bodies",
                self.max_bytes
            );
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let problem = problem::Problem::not_run(status, "memory-used", detail);
            return Err(problem.retry_after(RETRY_AFTER));
        }
        Ok(reservation)
    }

    /// Whether more of a response may be held back.
    pub fn has_room_for_responses(&self) -> bool {
        (self.held_bytes() as f64) < self.max_bytes as f64 * RESPONSE_SHARE
    }

    /// Counts bytes that cannot be refused.
    pub fn hold(self: &Arc<Self>, bytes: u64) -> Reservation {
        self.held_bytes.add(gauge_value(bytes));
        Reservation {
            bound: self.clone(),
            bytes,
        }
    }
}

impl Reservation {
    /// Whether more may be held that does not have to be.
    pub fn has_room(&self) -> bool {
        self.bound.has_room_for_responses()
    }

    /// Counts further bytes that cannot be refused.
    pub fn grow(&mut self, bytes: u64) {
        self.bound.held_bytes.add(gauge_value(bytes));
        self.bytes += bytes;
    }

    /// Releases some of the bytes.
    pub fn shrink(&mut self, bytes: u64) {
        let bytes = bytes.min(self.bytes);
        self.bound.held_bytes.sub(gauge_value(bytes));
        self.bytes -= bytes;
    }

    /// Reserves bytes in addition.
    ///
    /// # Errors
    ///
    /// As [`Bound::reserve`].
    pub fn extend(&mut self, bytes: u64) -> Result<(), problem::Problem> {
        let mut added = self.bound.reserve(bytes)?;
        self.bytes += std::mem::take(&mut added.bytes);
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.bound.held_bytes.sub(gauge_value(self.bytes));
    }
}
