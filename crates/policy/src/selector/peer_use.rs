//! Use of a server by peers that report it ([`event::Digest::USED`]).

use monsooncart_types::{instance, map, time};

use super::report;

/// Times at which peers that report use were heard last.
pub type Heard = map::Map<instance::Instance, time::Time>;

/// Records that a peer was heard, and drops those that have not been heard for long.
pub fn record_heard(heard: &mut Heard, now: time::Time, peer: instance::Instance) {
    if heard.insert(peer, now).is_none() {
        heard.retain(|_, at| now.since(*at) < report::COVER_TIME);
    }
}

#[derive(Clone, Copy, Debug)]
struct Reporter {
    peer: instance::Instance,
    reported_at: time::Time,
}

/// The peers that reported that they use a server.
#[derive(Clone, Debug, Default)]
pub struct PeerUse {
    reporters: Vec<Reporter>,
}

impl PeerUse {
    /// Records a report of use.
    pub fn record(&mut self, now: time::Time, peer: instance::Instance) {
        let is_kept =
            |r: &Reporter| r.peer != peer && now.since(r.reported_at) < report::COVER_TIME;
        self.reporters.retain(is_kept);
        self.reporters.push(Reporter {
            peer,
            reported_at: now,
        });
    }

    /// Whether peers use the server, or did until lately.
    #[must_use]
    pub fn is_known(&self, now: time::Time) -> bool {
        let mut reporters = self.reporters.iter();
        reporters.any(|r| now.since(r.reported_at) < report::COVER_TIME)
    }

    /// When a peer that uses the server was heard last.
    #[must_use]
    pub fn last_heard_at(&self, now: time::Time, heard: &Heard) -> Option<time::Time> {
        let users = self.reporters.iter();
        let users = users.filter(|r| now.since(r.reported_at) < report::COVER_TIME);
        users.filter_map(|r| heard.get(&r.peer).copied()).max()
    }
}
