//! Choice between servers with a free slot.

use std::time::Duration;

use monsooncart_types::time;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::slots::room;

/// Idle time after which a server is preferred to all others, so that there are recent observations
/// of it.
const MAX_IDLE_TIME: Duration = Duration::from_millis(500);

/// A server with a free slot.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the server in the list of servers.
    pub index: usize,
    /// Slot that the attempt would use.
    pub room: room::Room,
    /// Load relative to the number of slots; lower is better.
    pub score: f64,
    /// Whether no attempt is known to be in flight there.
    pub idle: bool,
    /// When this daemon last sent an attempt there.
    pub last_sent_at: time::Time,
}

/// Power-of-two choice: two candidates drawn at random from those offered, and the one that has
/// been idle longest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Choice {
    offered: u32,
    /// Two of the offered candidates, drawn by reservoir sampling.
    drawn: [Option<Candidate>; 2],
    longest_idle: Option<Candidate>,
}

impl Choice {
    /// Offers a candidate; one with better room replaces all candidates with worse room.
    pub fn offer(&mut self, candidate: Candidate, rng: &mut SmallRng) {
        let best = self.drawn[0].map_or(room::Room::Full, |c| c.room);
        if candidate.room < best || candidate.room == room::Room::Full {
            return;
        }
        if candidate.room > best {
            *self = Self::default();
        }
        self.offered += 1;
        let position = match self.offered {
            1 => 0,
            2 => 1,
            offered => rng.random_range(0..offered) as usize,
        };
        if let Some(drawn) = self.drawn.get_mut(position) {
            *drawn = Some(candidate);
        }
        let idle_longer = |c: Candidate| candidate.last_sent_at < c.last_sent_at;
        if candidate.idle && self.longest_idle.is_none_or(idle_longer) {
            self.longest_idle = Some(candidate);
        }
    }

    /// The index of the chosen server, `None` if no candidate had room.
    #[must_use]
    pub fn selected(&self, now: time::Time) -> Option<usize> {
        if let Some(candidate) = self.longest_idle
            && now.since(candidate.last_sent_at) > MAX_IDLE_TIME
        {
            return Some(candidate.index);
        }
        let key = |c: &Candidate| (c.score, c.last_sent_at);
        let order = |a: &Candidate, b: &Candidate| {
            let (a, b) = (key(a), key(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        };
        let drawn = self.drawn.iter().flatten().copied();
        drawn.min_by(order).map(|c| c.index)
    }
}
