//! The daemons that are told which servers this daemon uses ([`super::entries::Entries::observers`]).
//!
//! One that is no longer chosen is told for a while that this daemon is there, since it would take the
//! silence for a loss.

use monsooncart_policy::membership::member;
use monsooncart_policy::selector::report;
use monsooncart_types::{instance, map, time};

/// Observers that are told, and former ones.
#[derive(Default)]
pub struct Observers {
    /// Observers with the time of the last report of use.
    told: map::Map<instance::Instance, (member::Member, time::Time)>,
}

impl Observers {
    /// Records that the chosen observers are told at `now` which servers are in use.
    pub fn record_report(&mut self, now: time::Time, chosen: Vec<member::Member>) {
        self.told
            .retain(|_, (_, told_at)| now.since(*told_at) < report::COVER_TIME);
        for observer in chosen {
            self.told.insert(observer.instance, (observer, now));
        }
    }

    /// The observers that are to hear of this daemon.
    pub fn receivers(&self) -> Vec<member::Member> {
        self.told
            .values()
            .map(|(member, _)| member.clone())
            .collect()
    }
}
