//! Indirect probes made on behalf of other members.

use std::net;
use std::time::Duration;

use monsooncart_types::{instance, map, time};

/// Maximum number of pending relays.
const MAX_RELAYS: usize = 1024;

/// Time after which a relay expires.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Origin of an indirect probe, to which its answer is relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Address that the answer should be sent to.
    pub requester: net::SocketAddr,
    /// Number of the probe at the requester.
    pub number: u64,
    /// Instance that was pinged.
    pub instance: instance::Instance,
    /// Time at which the request arrived.
    pub started_at: time::Time,
}

/// Pending relays by the number of this daemon's own ping.
#[derive(Default)]
pub struct Relays {
    by_number: map::Map<u64, Relay>,
}

impl Relays {
    /// Whether another relay can be added; removes expired ones if the limit is reached.
    pub fn has_room(&mut self, now: time::Time) -> bool {
        if self.by_number.len() >= MAX_RELAYS {
            self.by_number
                .retain(|_, r| now.since(r.started_at) <= RELAY_TIMEOUT);
        }
        self.by_number.len() < MAX_RELAYS
    }

    /// Adds a relay.
    pub fn insert(&mut self, number: u64, relay: Relay) {
        self.by_number.insert(number, relay);
    }

    /// Removes and returns the relay of a ping that was answered, unless it has expired.
    pub fn take(&mut self, now: time::Time, number: u64) -> Option<Relay> {
        let relay = self.by_number.remove(&number)?;
        (now.since(relay.started_at) <= RELAY_TIMEOUT).then_some(relay)
    }
}
