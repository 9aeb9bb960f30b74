//! Relays: other daemons that forward requests while this daemon has no path to the servers.
//!
//! A relay sends a request to a server itself or refuses it. An attempt that the relay refused, or that
//! did not reach it, has not run and may be relayed again. Retries of a repeatable request stay with
//! the daemon that received it, as the relay may have lost its path too and not know it yet.

use std::time::Duration;

use monsooncart_types::{instance, map, time};
use rand::RngExt as _;
use rand::rngs::SmallRng;

use crate::{handle, inventory};

/// Maximum number of relays that one request is sent to.
pub const MAX_RELAYS: usize = 3;

/// Time for which a relay that failed, and one that refused a request, is passed over.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// Capacity in thousandths of a core for each request that a relay in this data centre is given
/// before relays in other data centres are used as well.
const MILLICORES_PER_REQUEST: u32 = 10;

/// Time for which a success shows that a daemon has a path to the servers.
pub const PROOF_LIFETIME: Duration = Duration::from_millis(500);

/// A request that a relay forwards.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The request.
    pub request: handle::Request,
    /// The relay.
    pub peer: instance::Instance,
    /// Number of servers that the relay may send the request to.
    pub max_attempts: u32,
    /// When the attempt was sent.
    pub sent_at: time::Time,
    /// Whether a server responded through the relay.
    pub responded: bool,
    /// Whether the attempt was cancelled because its request is already completed or refused.
    pub cancelled: bool,
}

/// A candidate with the requests of this daemon in flight at it.
#[derive(Clone, Debug)]
struct Relay {
    spec: inventory::Relay,
    in_flight: u32,
    backoff_ends_at: time::Time,
    /// Time of the latest known success of the daemon.
    proven_at: time::Time,
}

impl Relay {
    /// Requests in flight, counting the next one, as a ratio of what the relay may be given.
    fn utilisation(&self) -> f64 {
        let limit = (self.spec.capacity / MILLICORES_PER_REQUEST).max(1);
        f64::from(self.in_flight + 1) / f64::from(limit)
    }
}

/// Relays of one service.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    relays: Vec<Relay>,
    attempts: map::Map<handle::Attempt, Attempt>,
}

impl Relays {
    /// Applies the daemons that can relay at present.
    pub fn configure(&mut self, specs: Vec<inventory::Relay>) {
        let old = std::mem::take(&mut self.relays);
        let state_of = |spec: inventory::Relay| {
            let known = old.iter().find(|relay| relay.spec.peer == spec.peer);
            Relay {
                in_flight: known.map_or(0, |relay| relay.in_flight),
                backoff_ends_at: known.map_or(time::Time::ZERO, |relay| relay.backoff_ends_at),
                proven_at: known.map_or(time::Time::ZERO, |relay| relay.proven_at),
                spec,
            }
        };
        self.relays = specs.into_iter().map(state_of).collect();
    }

    /// Whether no relayed request is in flight.
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Selects the least utilised relay that is not in `tried`. Those that are known to have a path and
    /// have room for the request go first, and among them those in this data centre.
    pub fn select(
        &self,
        now: time::Time,
        tried: &[instance::Instance],
        rng: &mut SmallRng,
    ) -> Option<instance::Instance> {
        let usable =
            |relay: &&Relay| now >= relay.backoff_ends_at && !tried.contains(&relay.spec.peer);
        let cost = |relay: &Relay| {
            let utilisation = relay.utilisation();
            let is_proven = now.since(relay.proven_at) < PROOF_LIFETIME;
            let rank = match (is_proven && utilisation <= 1.0, relay.spec.local) {
                (true, true) => 0,
                (true, false) => 1,
                (false, true) => 2,
                (false, false) => 3,
            };
            (rank, utilisation)
        };
        let order = |a: &(u8, f64), b: &(u8, f64)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
        let usable = self.relays.iter().filter(usable);
        let usable: Vec<_> = usable.map(|relay| (cost(relay), relay.spec.peer)).collect();
        let (lowest, _) = usable.iter().min_by(|a, b| order(&a.0, &b.0))?;
        let best = usable
            .iter()
            .filter(|(cost, _)| order(cost, lowest).is_eq());
        let best: Vec<_> = best.map(|(_, peer)| *peer).collect();
        best.get(rng.random_range(0..best.len())).copied()
    }

    /// Records an attempt that is sent to a relay.
    pub fn record_sent(&mut self, id: handle::Attempt, attempt: Attempt) {
        if let Some(relay) = self.relay_mut(attempt.peer) {
            relay.in_flight += 1;
        }
        self.attempts.insert(id, attempt);
    }

    /// Requests in flight, with the ages of their attempts.
    pub fn ages(&self, now: time::Time) -> impl Iterator<Item = (handle::Request, Duration)> {
        let attempts = self.attempts.values().filter(|a| !a.cancelled);
        attempts.map(move |attempt| (attempt.request, now.since(attempt.sent_at)))
    }

    /// Request of an attempt in flight.
    pub fn request_of(&self, id: handle::Attempt) -> Option<handle::Request> {
        self.attempts.get(&id).map(|attempt| attempt.request)
    }

    /// Marks an attempt as cancelled; returns whether it is in flight at a relay.
    pub fn cancel(&mut self, id: handle::Attempt) -> bool {
        let attempt = self.attempts.get_mut(&id);
        attempt.is_some_and(|attempt| {
            attempt.cancelled = true;
            true
        })
    }

    /// Removes a finished attempt; `None` if it was not sent to a relay.
    pub fn take_finished(&mut self, id: handle::Attempt) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let Some(relay) = self.relay_mut(attempt.peer) {
            relay.in_flight = relay.in_flight.saturating_sub(1);
        }
        Some(attempt)
    }

    /// Records that a server responded to an attempt through its relay, which shows that the relay has
    /// a path.
    pub fn record_head(&mut self, now: time::Time, id: handle::Attempt) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.responded = true;
            let peer = attempt.peer;
            self.record_proof(now, peer);
        }
    }

    /// Records a success that shows that a daemon has a path to the servers.
    pub fn record_proof(&mut self, now: time::Time, peer: instance::Instance) {
        if let Some(relay) = self.relay_mut(peer) {
            relay.proven_at = now;
        }
    }

    /// Passes over a relay for a while after a failure.
    pub fn record_failure(&mut self, now: time::Time, peer: instance::Instance) {
        self.back_off(now + FAILURE_BACKOFF, peer);
    }

    /// Passes over a relay for a moment after it refused a request.
    pub fn record_refusal(&mut self, now: time::Time, peer: instance::Instance) {
        self.back_off(now + REFUSAL_BACKOFF, peer);
    }

    fn back_off(&mut self, until: time::Time, peer: instance::Instance) {
        if let Some(relay) = self.relay_mut(peer) {
            relay.backoff_ends_at = until.max(relay.backoff_ends_at);
        }
    }

    fn relay_mut(&mut self, peer: instance::Instance) -> Option<&mut Relay> {
        self.relays.iter_mut().find(|relay| relay.spec.peer == peer)
    }
}
