//! Schedule of a planned stop, at whose end the platform kills the process.
//!
//! In the first phase the daemon sends any request, while callers learn of other daemons. From the end
//! of that phase on, a request is sent to a server only if its deadline is before the moment at which
//! the daemon gives up waiting; any other one is refused as not run, so that its caller sends it
//! elsewhere. Hence each request that is sent after the first phase is waited for until its deadline.
//! Only one that was sent in the first phase, and takes until the last part of the grace period, may be
//! cut off; so the first phase is short however long the grace period is.
//!
//! Covered requests are served on new connections too until half of the grace period is over, as all
//! daemons may be stopping at once.
//!
//! Callers that keep their connections would not notice the stop before the second phase. So
//! responses ask them to connect anew as soon as they have entries without the daemon.
//!
//! A server begins its work when it has the whole request. One that is still being received counts
//! as sent when it is complete, so it is not sent before unless its deadline is early enough.

use std::time::Duration;

/// Share of the grace period during which a draining daemon accepts connections; the rest is left for
/// requests in flight.
const ACCEPT_SHARE: f64 = 0.5;

/// Time after the signal to stop from which on a request must not be sent and then cut off, however
/// long its server takes.
const LAST_UNCOVERED_SEND: Duration = Duration::from_secs(3);

/// Time by which the daemon may begin its stop after it was told to.
const SIGNAL_LATENCY: Duration = Duration::from_millis(250);

/// Share of the grace period after which requests that wait for a server get a response from the
/// daemon; the rest is left to deliver it.
const ABANDON_SHARE: f64 = 0.9;

/// Share of the grace period after which the process exits, whatever is in flight, instead of being
/// killed.
const EXIT_SHARE: f64 = 0.97;

/// Phases of a planned stop, as times from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// From when on responses ask callers to connect anew.
    pub release: Duration,
    /// Until when any request is sent, covered or not.
    pub send_any: Duration,
    /// Until when connections are accepted.
    pub accept: Duration,
    /// When requests that wait for a server get a response from the daemon.
    pub abandon: Duration,
    /// When the process exits.
    pub exit: Duration,
}

impl Schedule {
    /// Divides a grace period; entries that name the daemon are in use until `entry_expiry`.
    #[must_use]
    pub fn new(grace: Duration, entry_expiry: Duration) -> Self {
        let accept = grace.mul_f64(ACCEPT_SHARE);
        let send_any = accept.min(LAST_UNCOVERED_SEND - SIGNAL_LATENCY);
        Self {
            release: entry_expiry.min(send_any),
            send_any,
            accept,
            abandon: grace.mul_f64(ABANDON_SHARE),
            exit: grace.mul_f64(EXIT_SHARE),
        }
    }

    /// Whether a request with this deadline may be sent to a server at `now`, if it is received whole.
    #[must_use]
    pub fn may_send(&self, now: Duration, deadline: Duration) -> bool {
        now < self.send_any || self.is_covered(deadline)
    }

    /// Whether a request with this deadline is waited for until then, whenever it is sent.
    #[must_use]
    pub fn is_covered(&self, deadline: Duration) -> bool {
        deadline <= self.abandon
    }
}
