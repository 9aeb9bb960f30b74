//! State of one backend server.

use std::collections::VecDeque;
use std::time::Duration;

use monsooncart_types::time;

use crate::health::{cusum, limits, monitor, state};
use crate::{connections, event, handle, inventory, service, slots};

/// Maximum suspicion, as a ratio of the ejection threshold, while only attempts on reused
/// connections are silent, since those connections may be stale.
const MAX_UNCONFIRMED_SUSPICION_RATIO: f64 = 0.9;

/// Age of the oldest silent attempt beyond which [`MAX_UNCONFIRMED_SUSPICION_RATIO`] no longer
/// applies, as a multiple of the slow threshold.
const MAX_UNCONFIRMED_AGE_RATIO: u32 = 8;

/// An attempt in flight that has no response head yet.
#[derive(Clone, Copy, Debug)]
pub struct AwaitingHead {
    pub attempt: handle::Attempt,
    pub sent_at: time::Time,
    /// Whether it requires a fresh connection, as opposed to a reused one.
    pub fresh_connection: bool,
    /// Whether its silence no longer counts against the server, because of a stale connection or a
    /// failure of the whole service.
    pub discounted: bool,
}

/// Which requests a server may receive, from none to all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// No requests.
    Unavailable,
    /// A small share of repeatable requests.
    Suspect,
    /// Repeatable requests that no healthy server has a slot for; any request if no server is
    /// healthy.
    Doubtful,
    /// All requests.
    Healthy,
}

/// A backend server as observed by this daemon.
pub struct Backend {
    /// The server's configuration.
    pub spec: inventory::Server,
    /// Whether the server or a peer announced that it is leaving; never reset.
    pub announced_leaving: bool,
    /// Whether the configuration no longer has the server and the next inventory is outstanding.
    pub removed: bool,
    pub load: slots::load::Load,
    pub monitor: monitor::Monitor,
    pub connections: connections::Tracker,
    /// Attempts without a response head, oldest first.
    pub awaiting_head: VecDeque<AwaitingHead>,
    /// When the latest attempt with a good response was sent.
    pub last_good_sent_at: time::Time,
    /// Evidence against the server when it was last computed, as a log-likelihood ratio: from
    /// finished attempts, attempts in flight and peers.
    pub suspicion: f64,
    /// Slow threshold at the time when the suspicion began.
    pub initial_slow_threshold: Duration,
    /// Presumed start of the fault behind the suspicion: when the oldest attempt that was stuck at
    /// the start of the suspicion was sent; the start of the suspicion if none was stuck.
    pub fault_began_at: time::Time,
    pub cold_start_ends_at: time::Time,
    /// Earliest time for the next exploration request.
    pub next_exploration_at: time::Time,
    pub trial_in_flight: bool,
    pub last_probe_at: time::Time,
    /// Consecutive healthy probe results while ejected.
    pub healthy_probes: u32,
}

/// Time for which a new server may be slow because of its cold start.
const COLD_START_DURATION: Duration = Duration::from_secs(30);

/// Whether a digest carries no information and need not be sent.
#[must_use]
pub fn is_empty_digest(digest: &event::Digest) -> bool {
    digest.good == 0 && digest.bad == 0 && digest.in_flight == 0 && digest.suspicion == 0
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

impl Backend {
    /// Creates the state of a server. `joined_at` is when it joined a running service, which starts
    /// its ramp-up and its cold start; `None` if the service itself is new.
    #[must_use]
    pub fn new(spec: inventory::Server, joined_at: Option<time::Time>) -> Self {
        let load = slots::load::Load::new(spec.slots, spec.local, joined_at);
        Self {
            spec,
            announced_leaving: false,
            removed: false,
            load,
            monitor: monitor::Monitor::default(),
            connections: connections::Tracker::default(),
            awaiting_head: VecDeque::new(),
            last_good_sent_at: time::Time::ZERO,
            suspicion: 0.0,
            initial_slow_threshold: Duration::MAX,
            fault_began_at: time::Time::ZERO,
            cold_start_ends_at: joined_at.map_or(time::Time::ZERO, |joined_at| {
                joined_at + COLD_START_DURATION
            }),
            next_exploration_at: time::Time::ZERO,
            trial_in_flight: false,
            last_probe_at: time::Time::ZERO,
            healthy_probes: 0,
        }
    }

    /// Applies a newer configuration of the server.
    pub fn update_spec(&mut self, spec: inventory::Server) {
        self.load.slots = spec.slots;
        self.load.local = spec.local;
        self.removed = false;
        self.spec = spec;
    }

    /// Whether the server is leaving or removed, and receives no new requests.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.announced_leaving || self.spec.leaving || self.removed
    }

    /// Whether the server may still be slow because of a cold start.
    #[must_use]
    pub fn is_in_cold_start(&self, now: time::Time) -> bool {
        now < self.cold_start_ends_at
    }

    /// Which requests the server may receive.
    #[must_use]
    pub fn availability(&self, limits: &limits::Limits) -> Availability {
        if self.is_leaving() {
            return Availability::Unavailable;
        }
        match self.monitor.state() {
            state::State::Ejected => Availability::Unavailable,
            state::State::Suspect => Availability::Suspect,
            _ if self.suspicion >= limits.suspect_threshold() => Availability::Doubtful,
            _ => Availability::Healthy,
        }
    }

    /// Attempts on reused connections that exceed the slow threshold and count as evidence: their
    /// number and when the oldest was sent.
    #[must_use]
    pub fn stuck_on_reused_connections(
        &self,
        now: time::Time,
        slow_threshold: Duration,
    ) -> (u32, Option<time::Time>) {
        let is_stuck = |h: &&AwaitingHead| {
            !h.fresh_connection
                && self.counts_as_evidence(h)
                && now.since(h.sent_at) >= slow_threshold
        };
        let mut stuck = self.awaiting_head.iter().filter(is_stuck);
        let oldest_sent_at = stuck.next().map(|h| h.sent_at);
        (
            oldest_sent_at.map_or(0, |_| 1 + stuck.count() as u32),
            oldest_sent_at,
        )
    }

    /// Whether an attempt in flight exceeds the slow threshold and counts as evidence.
    #[must_use]
    pub fn has_stuck_attempt(&self, now: time::Time, slow_threshold: Duration) -> bool {
        let is_stuck =
            |h: &AwaitingHead| self.counts_as_evidence(h) && now.since(h.sent_at) >= slow_threshold;
        self.awaiting_head.iter().any(is_stuck)
    }

    /// Whether an attempt's silence is evidence against the server, which it is not once an attempt
    /// that was sent later got a good response.
    fn counts_as_evidence(&self, awaiting: &AwaitingHead) -> bool {
        !awaiting.discounted && awaiting.sent_at >= self.last_good_sent_at
    }

    /// Computes the suspicion from finished attempts and those in flight, where `bad_ratio` is the
    /// expected ratio of bad observations.
    #[must_use]
    pub fn compute_suspicion(
        &self,
        now: time::Time,
        slow_threshold: Duration,
        bad_ratio: f64,
        limits: &limits::Limits,
    ) -> f64 {
        let increment = cusum::bad_increment(bad_ratio);
        let mut reused_evidence = self.connections.evidence().min(self.monitor.score());
        let other_evidence = self.monitor.score() - reused_evidence;
        let mut fresh_evidence = 0.0;
        let mut oldest_sent_at = self.connections.oldest_silent_sent_at();
        for awaiting in self
            .awaiting_head
            .iter()
            .filter(|h| self.counts_as_evidence(h))
        {
            let age = now.since(awaiting.sent_at);
            if age < slow_threshold {
                break;
            }
            let evidence = increment * f64::from(silence_weight(age, slow_threshold));
            if awaiting.fresh_connection {
                fresh_evidence += evidence;
            } else {
                reused_evidence += evidence;
                oldest_sent_at =
                    Some(oldest_sent_at.map_or(awaiting.sent_at, |o| o.min(awaiting.sent_at)));
            }
        }
        let total = other_evidence + fresh_evidence + reused_evidence;
        let threshold = limits.threshold;
        let Some(oldest_sent_at) =
            oldest_sent_at.filter(|_| other_evidence + fresh_evidence < threshold)
        else {
            return total;
        };
        let confirmed = fresh_evidence > 0.0
            || self
                .connections
                .fresh_connection_silent_since(oldest_sent_at);
        if confirmed || now.since(oldest_sent_at) > slow_threshold * MAX_UNCONFIRMED_AGE_RATIO {
            return total;
        }
        total.min(threshold * MAX_UNCONFIRMED_SUSPICION_RATIO)
    }

    /// Discounts the evidence because the whole service is unhealthy.
    pub fn discount_evidence(&mut self, now: time::Time, limits: &limits::Limits) {
        self.monitor.discount_evidence(now, limits);
        self.initial_slow_threshold = Duration::MAX;
        for awaiting in &mut self.awaiting_head {
            awaiting.discounted = true;
        }
    }

    /// Removes an attempt from those that await a response head.
    pub fn remove_awaiting(&mut self, attempt: handle::Attempt) {
        if let Some(index) = self.awaiting_head.iter().position(|h| h.attempt == attempt) {
            self.awaiting_head.remove(index);
        }
    }

    /// Age of the oldest attempt without a response head, zero if there is none.
    #[must_use]
    pub fn oldest_awaiting_age(&self, now: time::Time) -> Duration {
        let oldest = self.awaiting_head.front();
        oldest.map_or(Duration::ZERO, |h| now.since(h.sent_at))
    }

    /// Suspicion in thousandths of the ejection threshold.
    fn suspicion_thousandths(&self, limits: &limits::Limits) -> u32 {
        (self.suspicion / limits.threshold * 1000.0).round() as u32
    }

    /// The evidence to report to peers.
    #[must_use]
    pub fn digest(&self, now: time::Time, limits: &limits::Limits) -> event::Digest {
        event::Digest {
            good: self.monitor.counter.good(),
            bad: self.monitor.counter.bad(),
            in_flight: self.load.in_flight,
            oldest_millis: millis(self.oldest_awaiting_age(now)),
            median_millis: millis(self.monitor.median_head_time()),
            suspicion: self.suspicion_thousandths(limits),
        }
    }

    /// The evidence as a text for operators.
    #[must_use]
    pub fn describe_evidence(&self, now: time::Time) -> String {
        format!(
            "suspicion {:.1} since {}: {} good and {} bad lately, {} in flight, oldest without a head {} ms, median {} ms",
            self.suspicion,
            self.monitor.suspected_since(now),
            self.monitor.counter.good(),
            self.monitor.counter.bad(),
            self.load.in_flight,
            millis(self.oldest_awaiting_age(now)),
            millis(self.monitor.median_head_time()),
        )
    }

    /// The state shown to operators.
    #[must_use]
    pub fn view(&self, now: time::Time, limits: &limits::Limits) -> service::View {
        let state = if self.is_leaving() {
            "leaving"
        } else {
            self.monitor.state().into()
        };
        service::View {
            server: self.spec.handle,
            state,
            in_flight: self.load.in_flight,
            suspicion: self.suspicion_thousandths(limits),
            median_millis: millis(self.monitor.median_head_time()),
            evidence: self.describe_evidence(now),
        }
    }
}

/// Number of bad observations that a silent attempt counts as, by its age; at most four, so that
/// one attempt alone never causes an ejection.
fn silence_weight(age: Duration, slow_threshold: Duration) -> u32 {
    let doublings = [2, 4, 8].into_iter().filter(|d| age >= slow_threshold * *d);
    1 + doublings.count() as u32
}
