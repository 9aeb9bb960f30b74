//! What is held of one server, and what an attempt at it costs.

use std::time::Duration;

use monsooncart_types::{instance, map, time};

use crate::selector::{belief, cost};
use crate::{action, event, handle, inventory, service};

/// Worth of fresh evidence about a near server of which none was had for [`STALE`]. Far servers
/// are scouted by the daemons beside them, whose successes are not told across.
const NEWS: f64 = 0.25;

/// Worth of fresh evidence about a far server, so that one with no daemon beside it is tried.
const FAR_NEWS: f64 = 0.05;

/// Age of evidence at which its renewal is worth the most.
const STALE: Duration = Duration::from_secs(3);

/// Cost of the way to another data centre.
const FAR: f64 = 0.02;

/// Answer bytes of which the way to another data centre costs as much as a failed request.
const FAR_BYTES: f64 = 160_000.0;

/// Cost of sharing a server with as many attempts as it has slots.
const CROWD: f64 = 0.02;

/// Cost of a server that is slow since it has just started.
const COLD: f64 = 0.06;

/// Attempts that may wait at a server beyond its slots, in times of its slots, for the lowest rank
/// and for the highest.
const WAITING: [f64; 2] = [1.0, 3.0];

/// Rank from which a request counts as of the lowest.
const LOWEST: u32 = 2;

/// First pause after a refusal that names no time.
const SHED_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause after a refusal.
const SHED_PAUSE_MAX: Duration = Duration::from_secs(1);

/// First pause after a connection that could not be opened.
const DOWN_PAUSE: Duration = Duration::from_millis(500);

/// Longest such pause.
const DOWN_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Age at which a peer's load is no longer counted.
const PEER_LOAD: Duration = Duration::from_secs(2);

/// Ends of one kind that are taken from one report of a peer, at most.
const REPORTED: u32 = 3;

/// Chance of being gray above which a server counts as doubted, for operators.
const DOUBTED: f64 = 0.5;

/// What a server is held for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Standing {
    doubted: bool,
    closed: bool,
    replaced: bool,
}

/// What an attempt is for.
#[derive(Clone, Copy, Debug)]
pub struct Errand {
    /// Rank of its request.
    pub priority: u32,
    /// Usual size of its answer, in bytes.
    pub answer_bytes: u64,
    /// Cost of the wait for one attempt that goes before.
    pub wait_unit: f64,
}

/// What a peer had in flight when it said so last.
#[derive(Clone, Copy, Debug)]
struct Load {
    in_flight: u32,
    at: time::Time,
}

/// A server.
#[derive(Clone, Debug)]
pub struct Server {
    /// What the configuration says of it.
    pub spec: inventory::Server,
    /// Whether it is known to be leaving, by its own word or by other daemons'.
    pub left: bool,
    /// Whether another server was found at its address.
    pub replaced: bool,
    belief: belief::Belief,
    /// When the last evidence came, or an attempt that will bring some was sent.
    seen: time::Time,
    in_flight: u32,
    peers: map::Map<instance::Instance, Load>,
    closed_until: time::Time,
    sheds: u32,
    failures: u32,
    cold_until: time::Time,
    /// Ends of attempts since peers were told.
    told: event::Digest,
    changed: bool,
    /// What operators were told that it is held for.
    noted: Standing,
}

/// A report without ends.
const NOTHING: event::Digest = event::Digest {
    good: 0,
    bad: 0,
    in_flight: 0,
    oldest_millis: 0,
    median_millis: 0,
    suspicion: 0,
};

impl Server {
    /// A server of which nothing was seen.
    pub fn new(now: time::Time, spec: inventory::Server) -> Self {
        Self {
            left: false,
            replaced: false,
            belief: belief::Belief::new(now),
            seen: time::Time::ZERO,
            in_flight: 0,
            peers: map::Map::default(),
            closed_until: time::Time::ZERO,
            sheds: 0,
            failures: 0,
            cold_until: now + spec.remaining_warm_up,
            told: NOTHING,
            changed: false,
            noted: Standing::default(),
            spec,
        }
    }

    /// The server under a newer entry; another run of it starts without a past.
    pub fn respecified(mut self, now: time::Time, spec: inventory::Server) -> Self {
        if spec.started_millis != self.spec.started_millis {
            let in_flight = self.in_flight;
            self = Self::new(now, spec);
            self.in_flight = in_flight;
            return self;
        }
        // A server that was seen to leave does not come back under the same run.
        if spec.remaining_warm_up != self.spec.remaining_warm_up {
            self.cold_until = now + spec.remaining_warm_up;
        }
        self.spec = spec;
        self
    }

    /// Whether it takes no new work.
    pub fn is_out(&self) -> bool {
        self.spec.leaving || self.left || self.replaced
    }

    /// Attempts in flight, this daemon's and its peers'.
    fn load(&self, now: time::Time) -> u32 {
        let peers = self.peers.values();
        let fresh = peers.filter(|load| now.since(load.at) < PEER_LOAD);
        self.in_flight + fresh.map(|load| load.in_flight).sum::<u32>()
    }

    /// What an attempt costs; `None` where none may be sent.
    pub fn cost(&self, now: time::Time, errand: &Errand) -> Option<cost::Cost> {
        if self.is_out() || now < self.closed_until {
            return None;
        }
        let slots = f64::from(self.spec.slots.max(1));
        let load = f64::from(self.load(now));
        let [low, high] = WAITING;
        let waiting = if errand.priority >= LOWEST { low } else { high };
        if load >= slots * (1.0 + waiting) {
            return None;
        }
        let before = (load + 1.0 - slots).max(0.0) / slots;
        let cold = if now < self.cold_until { COLD } else { 0.0 };
        let (news, far, answer) = if self.spec.local {
            (NEWS, 0.0, 0.0)
        } else {
            (FAR_NEWS, FAR, errand.answer_bytes as f64 / FAR_BYTES)
        };
        let stale = now.since(self.seen).div_duration_f64(STALE).min(1.0);
        Some(cost::Cost {
            fails: self.belief.fails(now),
            answer,
            wait: before * errand.wait_unit + CROWD * load / slots + far + cold,
            news: news * stale,
        })
    }

    /// Records an attempt.
    pub fn sent(&mut self, now: time::Time) {
        self.in_flight += 1;
        self.seen = now;
        self.changed = true;
    }

    /// Records that an attempt ended.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.changed = true;
    }

    fn see(&mut self, now: time::Time, sight: belief::Sight) {
        self.belief.see(now, sight);
        self.seen = now;
    }

    /// Records an attempt that ended well.
    pub fn did_well(&mut self, now: time::Time) {
        self.see(now, belief::Sight::Good);
        self.sheds = 0;
        self.failures = 0;
        self.told.good += 1;
    }

    /// Records an attempt that failed.
    pub fn failed(&mut self, now: time::Time) {
        self.see(now, belief::Sight::Bad);
        self.told.bad += 1;
    }

    /// Records an attempt that is slow to be answered.
    pub fn slow(&mut self, now: time::Time) {
        self.see(now, belief::Sight::Slow);
        self.changed = true;
    }

    /// Records that it refused an attempt.
    pub fn shed(&mut self, now: time::Time, retry_after: Option<Duration>) {
        if self.load(now) < self.spec.slots {
            self.see(now, belief::Sight::Shed);
        }
        let pause = retry_after.unwrap_or(SHED_PAUSE * 2u32.pow(self.sheds.min(4)));
        self.sheds += 1;
        let until = now + pause.min(SHED_PAUSE_MAX);
        self.closed_until = until.max(self.closed_until);
    }

    /// Records that no connection could be opened.
    pub fn unreachable(&mut self, now: time::Time) {
        self.see(now, belief::Sight::Bad);
        self.told.bad += 1;
        let pause = (DOWN_PAUSE * 2u32.pow(self.failures.min(4))).min(DOWN_PAUSE_MAX);
        self.failures += 1;
        self.closed_until = (now + pause).max(self.closed_until);
    }

    /// Takes a peer's evidence.
    pub fn hear(&mut self, now: time::Time, from: instance::Instance, digest: &event::Digest) {
        // The order of the ends is not told: the failures are taken as the later ones.
        for _ in 0..digest.good.min(REPORTED) {
            self.see(now, belief::Sight::Good);
        }
        for _ in 0..digest.bad.min(REPORTED) {
            self.see(now, belief::Sight::Bad);
        }
        let load = Load {
            in_flight: digest.in_flight,
            at: now,
        };
        self.peers.insert(from, load);
        self.peers.retain(|_, load| now.since(load.at) < PEER_LOAD);
    }

    /// What peers are to be told since they were told last.
    pub fn digest(&mut self) -> Option<(handle::Server, event::Digest)> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        let told = std::mem::replace(&mut self.told, NOTHING);
        let digest = event::Digest {
            in_flight: self.in_flight,
            ..told
        };
        Some((self.spec.handle, digest))
    }

    /// What was known of it when an attempt was sent.
    pub fn grounds(&self, now: time::Time) -> action::Grounds {
        let seen = now.since(self.seen).as_millis();
        action::Grounds {
            risk: (self.belief.fails(now) * 1000.0) as u32,
            evidence_millis: u64::try_from(seen).unwrap_or(u64::MAX),
            load: self.load(now),
            slots: self.spec.slots,
        }
    }

    /// How what it is held for has turned since operators were told.
    pub fn turn(&mut self, now: time::Time) -> Option<action::StateChange> {
        let standing = Standing {
            doubted: self.belief.gray(now) > DOUBTED,
            closed: self.failures > 0 && now < self.closed_until,
            replaced: self.replaced,
        };
        let before = std::mem::replace(&mut self.noted, standing);
        match () {
            () if standing.replaced && !before.replaced => Some(action::StateChange::Replaced),
            () if standing.closed && !before.closed => Some(action::StateChange::Unreachable),
            () if standing.doubted && !before.doubted => Some(action::StateChange::Doubted),
            () if before.doubted && !standing.doubted => Some(action::StateChange::Acquitted),
            () => None,
        }
    }

    /// The evidence in words.
    pub fn evidence(&self, now: time::Time) -> String {
        format!(
            "gray with a chance of {:.3}, last evidence {} ms ago, load {} of {} slots",
            self.belief.gray(now),
            now.since(self.seen).as_millis(),
            self.load(now),
            self.spec.slots,
        )
    }

    /// What is held of it, for operators.
    pub fn view(&self, now: time::Time) -> service::View {
        let gray = self.belief.gray(now);
        let state = match () {
            () if self.is_out() => "leaving",
            () if now < self.closed_until => "closed",
            () if gray > DOUBTED => "suspect",
            () => "active",
        };
        service::View {
            server: self.spec.handle,
            state,
            in_flight: self.in_flight,
            suspicion: (gray * 1000.0) as u32,
            median_millis: 0,
            evidence: self.evidence(now),
        }
    }
}
