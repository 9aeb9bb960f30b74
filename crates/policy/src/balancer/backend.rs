//! What is held of one server.

use std::collections::VecDeque;
use std::time::Duration;

use monsooncart_types::time;

use crate::health::{cusum, limits, monitor, state};
use crate::{connections, event, handle, inventory, service, slots};

/// Share of the threshold that silent reused connections alone can reach before a new connection
/// was tried.
const UNTRIED: f64 = 0.9;

/// Ratio of an attempt's age to the limit from which that no longer holds.
const UNTRIED_MAX: u32 = 8;

/// An attempt in flight without the head of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Headless {
    /// The attempt.
    pub attempt: handle::Attempt,
    /// When it was sent.
    pub sent: time::Time,
    /// Whether it went on a new or just proved connection.
    pub fresh: bool,
    /// Whether its silence is explained by its connection.
    pub excused: bool,
}

/// How much work a server may be given, least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// None.
    Out,
    /// A small share of repeatable work.
    Suspect,
    /// Work that no better server has room for.
    Doubtful,
    /// Any.
    Good,
}

/// A server.
pub struct Backend {
    /// What the configuration says of it.
    pub spec: inventory::Server,
    /// Whether it is known to have left for good.
    pub left: bool,
    /// Its load.
    pub load: slots::load::Load,
    /// Its health.
    pub monitor: monitor::Monitor,
    /// Its connections.
    pub watch: connections::Watch,
    /// Attempts without a head, oldest first.
    pub headless: VecDeque<Headless>,
    /// When the last attempt that did well was sent.
    pub proved: time::Time,
    /// Evidence of ended attempts and of those in flight, as computed last.
    pub suspicion: f64,
    /// The time that was slow for it when its suspicion began.
    pub limit: Duration,
    /// When the attempt that raised the suspicion was sent.
    pub since: time::Time,
    /// Until when the server counts as cold.
    pub cold_until: time::Time,
    /// When the next errand may go to it.
    pub errand_at: time::Time,
    /// Whether a trial is in flight.
    pub trying: bool,
    /// When it was probed last.
    pub probed: time::Time,
    /// Probes in a row that it answered well while ejected.
    pub probes: u32,
}

/// Time in which a new server may be slow.
const COLD: Duration = Duration::from_secs(30);

/// Whether a digest says nothing.
#[must_use]
pub fn silent(digest: &event::Digest) -> bool {
    digest.good == 0 && digest.bad == 0 && digest.in_flight == 0 && digest.suspicion == 0
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Backend {
    /// A server, cold where it joined a running service at `joined`.
    #[must_use]
    pub fn new(spec: inventory::Server, joined: Option<time::Time>) -> Self {
        let load = slots::load::Load::new(spec.slots, spec.local, joined);
        Self {
            spec,
            left: false,
            load,
            monitor: monitor::Monitor::default(),
            watch: connections::Watch::default(),
            headless: VecDeque::new(),
            proved: time::Time::ZERO,
            suspicion: 0.0,
            limit: Duration::MAX,
            since: time::Time::ZERO,
            cold_until: joined.map_or(time::Time::ZERO, |at| at + COLD),
            errand_at: time::Time::ZERO,
            trying: false,
            probed: time::Time::ZERO,
            probes: 0,
        }
    }

    /// Takes a newer configuration of the server.
    pub fn respecify(&mut self, spec: inventory::Server) {
        self.load.slots = spec.slots;
        self.load.near = spec.local;
        self.spec = spec;
    }

    /// Whether it takes no new work for good.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.left || self.spec.leaving
    }

    /// Whether it may still be slow because it is new.
    #[must_use]
    pub fn cold(&self, now: time::Time) -> bool {
        now < self.cold_until
    }

    /// How much work it may be given.
    #[must_use]
    pub fn standing(&self, limits: &limits::Limits) -> Standing {
        if self.leaving() {
            return Standing::Out;
        }
        match self.monitor.state() {
            state::State::Ejected => Standing::Out,
            state::State::Suspect => Standing::Suspect,
            _ if self.suspicion >= limits.suspect_threshold() => Standing::Doubtful,
            _ => Standing::Good,
        }
    }

    /// Attempts on reused connections that are in flight beyond a limit without explanation:
    /// their number and when the oldest was sent.
    #[must_use]
    pub fn stuck_reused(&self, now: time::Time, limit: Duration) -> (u32, Option<time::Time>) {
        let stuck = |h: &&Headless| !h.fresh && self.counts(h) && now.since(h.sent) >= limit;
        let mut stuck = self.headless.iter().filter(stuck);
        let oldest = stuck.next().map(|h| h.sent);
        (oldest.map_or(0, |_| 1 + stuck.count() as u32), oldest)
    }

    /// Whether an attempt in flight is beyond a limit without explanation.
    #[must_use]
    pub fn stuck(&self, now: time::Time, limit: Duration) -> bool {
        let stuck = |h: &Headless| self.counts(h) && now.since(h.sent) >= limit;
        self.headless.iter().any(stuck)
    }

    /// Whether an attempt's silence says something of the server: none that was sent later did
    /// well.
    fn counts(&self, headless: &Headless) -> bool {
        !headless.excused && headless.sent >= self.proved
    }

    /// Computes the suspicion from ended attempts and those in flight.
    #[must_use]
    pub fn suspect(
        &self,
        now: time::Time,
        limit: Duration,
        share: f64,
        limits: &limits::Limits,
    ) -> f64 {
        let gain = cusum::gain(share);
        let mut reused = self.watch.weight().min(self.monitor.score());
        let plain = self.monitor.score() - reused;
        let mut fresh = 0.0;
        let mut oldest = self.watch.oldest();
        for headless in self.headless.iter().filter(|h| self.counts(h)) {
            let age = now.since(headless.sent);
            if age < limit {
                break;
            }
            let evidence = gain * f64::from(weight(age, limit));
            if headless.fresh {
                fresh += evidence;
            } else {
                reused += evidence;
                oldest = Some(oldest.map_or(headless.sent, |o| o.min(headless.sent)));
            }
        }
        let total = plain + fresh + reused;
        let threshold = limits.threshold;
        let Some(oldest) = oldest.filter(|_| plain + fresh < threshold) else {
            return total;
        };
        let tried = fresh > 0.0 || self.watch.fresh_failed(oldest);
        if tried || now.since(oldest) > limit * UNTRIED_MAX {
            return total;
        }
        total.min(threshold * UNTRIED)
    }

    /// Gives up most of the evidence: the whole service suffered.
    pub fn acquit(&mut self, now: time::Time, limits: &limits::Limits) {
        self.monitor.discount_evidence(now, limits);
        self.limit = Duration::MAX;
        for headless in &mut self.headless {
            headless.excused = true;
        }
    }

    /// Forgets an attempt without a head.
    pub fn unlist(&mut self, attempt: handle::Attempt) {
        if let Some(at) = self.headless.iter().position(|h| h.attempt == attempt) {
            self.headless.remove(at);
        }
    }

    /// Age of the oldest attempt without a head.
    #[must_use]
    pub fn oldest(&self, now: time::Time) -> Duration {
        let oldest = self.headless.front();
        oldest.map_or(Duration::ZERO, |h| now.since(h.sent))
    }

    /// Suspicion in thousandths of what an ejection needs.
    fn thousandths(&self, limits: &limits::Limits) -> u32 {
        (self.suspicion / limits.threshold * 1000.0).round() as u32
    }

    /// The evidence for peers.
    #[must_use]
    pub fn digest(&self, now: time::Time, limits: &limits::Limits) -> event::Digest {
        event::Digest {
            good: self.monitor.counter.good(),
            bad: self.monitor.counter.bad(),
            in_flight: self.load.in_flight,
            oldest_millis: millis(self.oldest(now)),
            median_millis: millis(self.monitor.median_latency()),
            suspicion: self.thousandths(limits),
        }
    }

    /// The evidence in words.
    #[must_use]
    pub fn evidence(&self, now: time::Time) -> String {
        format!(
            "suspicion {:.1} since {}: {} good and {} bad lately, {} in flight, oldest without a head {} ms, median {} ms",
            self.suspicion,
            self.monitor.suspected_since(now),
            self.monitor.counter.good(),
            self.monitor.counter.bad(),
            self.load.in_flight,
            millis(self.oldest(now)),
            millis(self.monitor.median_latency()),
        )
    }

    /// What is held of it, for operators.
    #[must_use]
    pub fn view(&self, now: time::Time, limits: &limits::Limits) -> service::View {
        let state = if self.leaving() {
            "leaving"
        } else {
            self.monitor.state().into()
        };
        service::View {
            server: self.spec.handle,
            state,
            in_flight: self.load.in_flight,
            suspicion: self.thousandths(limits),
            median_millis: millis(self.monitor.median_latency()),
            evidence: self.evidence(now),
        }
    }
}

/// Bad observations that an attempt of an age counts as; one alone never ejects.
fn weight(age: Duration, limit: Duration) -> u32 {
    let doublings = [2, 4, 8].into_iter().filter(|d| age >= limit * *d);
    1 + doublings.count() as u32
}
