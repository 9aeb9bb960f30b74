//! Keeps to the rate limit that a server announces for all daemons together.
//!
//! Time is divided into intervals. An interval has as many permits as the limit allows requests in
//! it, and rendezvous hashing assigns each permit to one of the daemons that share the service's
//! traffic. A daemon sends its own permits' requests in their interval; unused permits expire, so
//! that they never add up to a burst.
//!
//! Daemons with the same view of the fleet thus share the limit without messages. Where their views
//! or clocks differ, a permit may have two owners or none, or move in time; the permits of an
//! interval are still as many on average.

use std::time::Duration;

use monsooncart_types::{id, instance, rate, time};

use crate::rank;

/// Length of an interval.
const INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of permits in an interval; a permit covers several requests above it.
const MAX_PERMITS: f64 = 64.0;

/// Minimum rate of requests: a server announces the end of its limit only in a response.
const MIN_RATE: rate::Rate = rate::Rate(0.25);

/// Interval between reports of an unchanged limit to the other daemons.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// The daemons that share the traffic of a service, and the offset of the clock of this one.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// This daemon.
    pub own: instance::Instance,
    /// All daemons, including this one if it is among them.
    pub daemons: Vec<instance::Instance>,
    /// Time from the Unix epoch to the origin of this daemon's clock.
    pub unix_origin: Duration,
}

impl Fleet {
    /// Whether this daemon is among those that share the traffic.
    pub fn is_member(&self) -> bool {
        self.daemons.contains(&self.own)
    }

    /// Number of the interval at `now`; the same at all daemons.
    fn interval(&self, now: time::Time) -> u64 {
        let unix_time = self.unix_origin + now.since(time::Time::ZERO);
        (unix_time.as_nanos() / INTERVAL.as_nanos()) as u64
    }

    /// Whether this daemon owns the permit with this hash.
    fn owns(&self, permit: u64) -> bool {
        let weight = |daemon: &instance::Instance| rank::mix(permit ^ rank::mix(daemon.0));
        let owner = self.daemons.iter().max_by_key(|d| (weight(d), d.0));
        owner == Some(&self.own)
    }
}

/// The limit of one run of a server, and this daemon's part of it.
#[derive(Clone, Debug)]
pub struct Limiter {
    /// Distinguishes the permits of different servers.
    server_hash: u64,
    limit: rate::Rate,
    interval: u64,
    /// Requests that this daemon may send in the interval.
    permitted: u32,
    /// Requests that it has sent in the interval.
    sent: u32,
    /// Whether `permitted` is still to be computed.
    stale: bool,
    reported_at: time::Time,
}

impl Limiter {
    /// Creates the limiter of a server whose limit has just been announced.
    #[must_use]
    pub fn new(now: time::Time, server: &id::Server, limit: rate::Rate) -> Self {
        Self {
            server_hash: rank::hash(server.as_bytes()),
            limit,
            interval: 0,
            permitted: 0,
            sent: 0,
            stale: true,
            reported_at: now,
        }
    }

    /// The announced limit.
    #[must_use]
    pub fn limit(&self) -> rate::Rate {
        self.limit
    }

    /// Records the limit of a later response; returns whether it is to be reported to the other
    /// daemons.
    pub fn observe(&mut self, now: time::Time, limit: rate::Rate) -> bool {
        let is_due = limit != self.limit || now.since(self.reported_at) >= REPORT_INTERVAL;
        if is_due {
            self.set_limit(now, limit);
        }
        is_due
    }

    /// Sets the limit, which is known to the other daemons.
    pub fn set_limit(&mut self, now: time::Time, limit: rate::Rate) {
        self.limit = limit;
        self.reported_at = now;
        self.stale = true;
    }

    /// Computes the permitted requests anew when they are next needed.
    pub fn invalidate(&mut self) {
        self.stale = true;
    }

    /// Starts the interval of `now`, unless it has been started.
    pub fn advance(&mut self, now: time::Time, fleet: &Fleet) {
        let interval = fleet.interval(now);
        if interval > self.interval {
            self.interval = interval;
            self.sent = 0;
            self.stale = true;
        }
        if std::mem::take(&mut self.stale) {
            self.permitted = self.count_permitted(fleet);
        }
    }

    /// Requests that this daemon may send in the current interval.
    fn count_permitted(&self, fleet: &Fleet) -> u32 {
        let requests = self.limit.0.max(MIN_RATE.0) * INTERVAL.as_secs_f64();
        let permits = requests.min(MAX_PERMITS);
        // Fractions of a permit add up over the intervals.
        let permits_before = |interval: u64| (interval as f64 * permits).floor();
        let count = permits_before(self.interval + 1) - permits_before(self.interval);
        let base = rank::mix(self.server_hash ^ rank::mix(self.interval));
        let owned = (0..count as u64)
            .filter(|number| fleet.owns(rank::mix(base ^ number)))
            .count();
        (owned as f64 * (requests / permits)) as u32
    }

    /// Whether this daemon may send a request in the interval that was started last.
    #[must_use]
    pub fn allows_request(&self) -> bool {
        self.sent < self.permitted
    }

    /// Counts a request that was sent.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }
}
