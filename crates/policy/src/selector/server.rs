//! State of one server, and the cost of an attempt at it.

use std::time::Duration;

use monsooncart_types::{instance, map, rate, time};

use crate::selector::{activity, belief, cost, coverage, peer_use, rate_limit};
use crate::{action, event, handle, inventory, service};

/// Value of new evidence about a local server whose last evidence is [`STALE_EVIDENCE_AGE`] old or
/// older, in units of one failed request.
const EXPLORATION_VALUE: f64 = 0.25;

/// As [`EXPLORATION_VALUE`], about a remote server. Low, since the daemons in its own data centre
/// explore it; not zero, since the successes of their attempts are not reported to other data
/// centres and there may be no daemon in the server's data centre.
const REMOTE_EXPLORATION_VALUE: f64 = 0.05;

/// Age of the last evidence at which new evidence has its full value.
const STALE_EVIDENCE_AGE: Duration = Duration::from_secs(3);

/// Cost of sending an attempt to another data centre.
const REMOTE_COST: f64 = 0.02;

/// Response size in bytes whose transfer between data centres costs as much as a failed request.
const REMOTE_BYTES_PER_FAILURE: f64 = 160_000.0;

/// Cost of sharing a server with as many attempts as it has slots.
const UTILISATION_COST: f64 = 0.02;

/// Cost of a server that is warming up.
const WARM_UP_COST: f64 = 0.06;

/// Initial backoff after a refusal without a retry delay.
const INITIAL_SHED_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff after a refusal.
const MAX_SHED_BACKOFF: Duration = Duration::from_secs(1);

/// Initial backoff after a failure to open a connection.
const INITIAL_UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff after a failure to open a connection.
const MAX_UNREACHABLE_BACKOFF: Duration = Duration::from_secs(2);

/// Age at which the load that a peer reported expires.
const PEER_LOAD_LIFETIME: Duration = Duration::from_secs(2);

/// Maximum number of successes, and of failures, that one report of a peer contributes.
const MAX_REPORTED_RESULTS: u32 = 3;

/// Probability of being gray above which a server is reported as suspect.
const SUSPECT_PROBABILITY: f64 = 0.5;

/// State of a server that is reported to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ReportedState {
    suspect: bool,
    unreachable: bool,
    replaced: bool,
}

/// Properties of a request that affect the cost of its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// Maximum number of attempts queued beyond the slots, as a multiple of the slots.
    pub max_queued_ratio: f64,
    /// Expected size of the response, in bytes.
    pub expected_response_bytes: u64,
    /// Cost of waiting for one attempt that is queued ahead.
    pub queue_wait_cost: f64,
}

/// Load that a peer reported last.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    in_flight: u32,
    received_at: time::Time,
}

/// A server with the evidence about it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Configuration of the server.
    pub spec: inventory::Server,
    /// Whether the server or another daemon announced that it is leaving.
    pub announced_leaving: bool,
    /// Whether another server was found at its address.
    pub replaced: bool,
    /// Whether the configuration no longer has the server and the next inventory is outstanding.
    pub removed: bool,
    /// Present while the server announces a rate limit.
    limiter: Option<rate_limit::Limiter>,
    belief: belief::Belief,
    /// Time of the last evidence, or of the last attempt, which will yield evidence.
    last_evidence_at: time::Time,
    pub activity: activity::Activity,
    /// Number of this daemon's attempts in flight.
    pub in_flight: u32,
    peer_loads: map::Map<instance::Instance, PeerLoad>,
    /// When the backoff after refusals and failed connections ends.
    backoff_ends_at: time::Time,
    /// Earliest time of the next request, from the retry delay that the server asked for.
    retry_at: time::Time,
    consecutive_sheds: u32,
    consecutive_unreachable: u32,
    warm_up_ends_at: time::Time,
    /// Results that are not yet reported to peers.
    unreported: event::Digest,
    digest_changed: bool,
    /// State that was reported to operators last.
    reported_state: ReportedState,
}

/// A digest without results.
const EMPTY_DIGEST: event::Digest = event::Digest {
    good: 0,
    bad: 0,
    in_flight: 0,
    oldest_millis: 0,
    median_millis: 0,
    suspicion: 0,
};

impl Server {
    /// The current run.
    pub fn run(&self) -> handle::Run {
        handle::Run {
            server: self.spec.handle,
            started_millis: self.spec.started_millis,
        }
    }

    /// Creates a server without evidence; its turn depends on the daemon.
    pub fn new(now: time::Time, spec: inventory::Server, daemon: instance::Instance) -> Self {
        let turn = coverage::turn(daemon, &spec.name);
        let activity = activity::Activity::new(now, turn, spec.local);
        Self::with_activity(now, spec, activity)
    }

    fn with_activity(
        now: time::Time,
        spec: inventory::Server,
        activity: activity::Activity,
    ) -> Self {
        Self {
            activity,
            announced_leaving: false,
            replaced: false,
            removed: false,
            limiter: None,
            belief: belief::Belief::new(now),
            last_evidence_at: time::Time::ZERO,
            in_flight: 0,
            peer_loads: map::Map::default(),
            backoff_ends_at: time::Time::ZERO,
            retry_at: time::Time::ZERO,
            consecutive_sheds: 0,
            consecutive_unreachable: 0,
            warm_up_ends_at: now + spec.remaining_warm_up,
            unreported: EMPTY_DIGEST,
            digest_changed: false,
            reported_state: ReportedState::default(),
            spec,
        }
    }

    /// Replaces the configuration. If it describes another run of the server, the evidence is
    /// discarded.
    pub fn with_spec(mut self, now: time::Time, spec: inventory::Server) -> Self {
        if spec.started_millis != self.spec.started_millis {
            let in_flight = self.in_flight;
            let activity = self.activity.of_next_run(now, spec.local);
            self = Self::with_activity(now, spec, activity);
            self.in_flight = in_flight;
            return self;
        }
        // `announced_leaving` is kept: a leaving server does not return within the same run.
        if spec.remaining_warm_up != self.spec.remaining_warm_up {
            self.warm_up_ends_at = now + spec.remaining_warm_up;
        }
        self.removed = false;
        self.spec = spec;
        if let Some(limiter) = &mut self.limiter {
            // The daemons that share the limit may have changed.
            limiter.invalidate();
        }
        self
    }

    /// Prepares the return of a server that was removed from the configuration. Attempts that were in
    /// flight then have finished without being counted.
    pub fn readded(mut self) -> Self {
        self.in_flight = 0;
        self.replaced = false;
        self
    }

    /// Whether the server accepts no new requests.
    pub fn is_unavailable(&self) -> bool {
        self.spec.leaving || self.announced_leaving || self.replaced || self.removed
    }

    /// Attempts in flight, of this daemon and its peers.
    fn load(&self, now: time::Time) -> u32 {
        let peer_loads = self.peer_loads.values();
        let current = peer_loads.filter(|load| now.since(load.received_at) < PEER_LOAD_LIFETIME);
        self.in_flight + current.map(|load| load.in_flight).sum::<u32>()
    }

    /// Records the rate limit that the server announced in a response to this daemon; returns whether
    /// it is to be reported to the other daemons.
    pub fn observe_rate_limit(&mut self, now: time::Time, limit: Option<rate::Rate>) -> bool {
        match (&mut self.limiter, limit) {
            (Some(limiter), Some(limit)) => limiter.observe(now, limit),
            (known, limit) => {
                let is_changed = known.is_some() || limit.is_some();
                self.set_rate_limit(now, limit);
                is_changed
            }
        }
    }

    /// Sets the rate limit that another daemon reported.
    pub fn set_rate_limit(&mut self, now: time::Time, limit: Option<rate::Rate>) {
        match (&mut self.limiter, limit) {
            (Some(limiter), Some(limit)) => limiter.set_limit(now, limit),
            (limiter, limit) => {
                *limiter = limit.map(|limit| rate_limit::Limiter::new(now, &self.spec.name, limit));
            }
        }
    }

    /// Starts the interval of the rate limit, if there is one.
    pub fn start_rate_limit_interval(&mut self, now: time::Time, fleet: &rate_limit::Fleet) {
        if let Some(limiter) = &mut self.limiter {
            limiter.advance(now, fleet);
        }
    }

    /// Sends the server nothing before `retry_at`, or an earlier delay ends if that is later.
    pub fn set_retry_at(&mut self, retry_at: time::Time) {
        self.retry_at = retry_at.max(self.retry_at);
    }

    /// Earliest time of the next request, from the retry delay that the server asked for.
    pub fn retry_at(&self) -> time::Time {
        self.retry_at
    }

    /// Whether a backoff or a retry delay is running.
    fn is_waiting(&self, now: time::Time) -> bool {
        now < self.backoff_ends_at.max(self.retry_at)
    }

    /// Whether the rate limit allows no further request from this daemon at the moment.
    fn is_rate_limited(&self) -> bool {
        let limiter = self.limiter.as_ref();
        limiter.is_some_and(|limiter| !limiter.allows_request())
    }

    /// Cost of an attempt, or `None` if no attempt may be sent.
    pub fn cost(&self, now: time::Time, request: &RequestProfile) -> Option<cost::Cost> {
        if self.is_unavailable() || self.is_waiting(now) || self.is_rate_limited() {
            return None;
        }
        let slots = f64::from(self.spec.slots.max(1));
        let load = f64::from(self.load(now));
        if load >= slots * (1.0 + request.max_queued_ratio) {
            return None;
        }
        let queued = (load + 1.0 - slots).max(0.0) / slots;
        let warm_up = if now < self.warm_up_ends_at {
            WARM_UP_COST
        } else {
            0.0
        };
        let (exploration_value, distance, transfer) = if self.spec.local {
            (EXPLORATION_VALUE, 0.0, 0.0)
        } else {
            (
                REMOTE_EXPLORATION_VALUE,
                REMOTE_COST,
                request.expected_response_bytes as f64 / REMOTE_BYTES_PER_FAILURE,
            )
        };
        let staleness = now
            .since(self.last_evidence_at)
            .div_duration_f64(STALE_EVIDENCE_AGE)
            .min(1.0);
        Some(cost::Cost {
            failure_probability: self.belief.failure_probability(now),
            transfer,
            delay: queued * request.queue_wait_cost
                + UTILISATION_COST * load / slots
                + distance
                + warm_up,
            exploration_value: exploration_value * staleness,
        })
    }

    /// Why no attempt may be sent, for operators.
    pub fn exclusion(&self, now: time::Time) -> &'static str {
        match () {
            () if self.spec.leaving || self.announced_leaving => "leaving",
            () if self.is_unavailable() => "removed or replaced",
            () if now < self.retry_at => "asked for a delay",
            () if self.is_waiting(now) => "backoff after a refusal or a failed connection",
            () if self.is_rate_limited() => "its rate limit is used up",
            () => "full",
        }
    }

    /// Records that an attempt was sent.
    pub fn record_sent(&mut self, now: time::Time) {
        self.in_flight += 1;
        if let Some(limiter) = &mut self.limiter {
            limiter.record_sent();
        }
        self.last_evidence_at = now;
        self.activity.last_attempt_at = now;
        self.digest_changed = true;
    }

    /// Time by which the server is overdue for a request of this daemon; `None` if it is not due, or is a
    /// remote one that the daemon could not reach.
    pub fn overdue_time(
        &self,
        now: time::Time,
        heard: &peer_use::Heard,
        is_retryable: bool,
    ) -> Option<Duration> {
        let is_reachable = self.spec.local || self.consecutive_unreachable == 0;
        let overdue_time = self.activity.overdue_time(now, heard, is_retryable);
        overdue_time.filter(|_| is_reachable)
    }

    /// Records that an attempt finished, with any result.
    pub fn record_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.digest_changed = true;
    }

    fn observe(&mut self, now: time::Time, observation: belief::Observation) {
        self.belief.update(now, observation);
        self.last_evidence_at = now;
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self, now: time::Time) {
        self.observe(now, belief::Observation::Success);
        self.consecutive_sheds = 0;
        self.consecutive_unreachable = 0;
        self.unreported.good += 1;
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, now: time::Time) {
        self.observe(now, belief::Observation::Failure);
        self.unreported.bad += 1;
        self.digest_changed = true;
    }

    /// Records an attempt whose response is slow.
    pub fn record_slow(&mut self, now: time::Time) {
        self.observe(now, belief::Observation::Slow);
        self.digest_changed = true;
    }

    /// Records that the server shed an attempt, and starts the backoff.
    pub fn record_shed(&mut self, now: time::Time, retry_after: Option<Duration>) {
        if self.load(now) < self.spec.slots {
            self.observe(now, belief::Observation::Shed);
        }
        let backoff =
            retry_after.unwrap_or(INITIAL_SHED_BACKOFF * 2u32.pow(self.consecutive_sheds.min(4)));
        self.consecutive_sheds += 1;
        let backoff_ends_at = now + backoff.min(MAX_SHED_BACKOFF);
        self.backoff_ends_at = backoff_ends_at.max(self.backoff_ends_at);
    }

    /// Starts the backoff after a failure to open a connection. It is no evidence about the server
    /// yet, as the fault may be in this daemon's path.
    pub fn record_unreachable(&mut self, now: time::Time) {
        self.digest_changed = true;
        let backoff = (INITIAL_UNREACHABLE_BACKOFF * 2u32.pow(self.consecutive_unreachable.min(4)))
            .min(MAX_UNREACHABLE_BACKOFF);
        self.consecutive_unreachable += 1;
        self.backoff_ends_at = (now + backoff).max(self.backoff_ends_at);
    }

    /// Merges the evidence and the load that a peer reported.
    pub fn merge_digest(
        &mut self,
        now: time::Time,
        from: instance::Instance,
        digest: &event::Digest,
    ) {
        // The digest does not contain the order of the results: the failures are assumed to be the
        // later ones.
        for _ in 0..digest.good.min(MAX_REPORTED_RESULTS) {
            self.observe(now, belief::Observation::Success);
        }
        for _ in 0..digest.bad.min(MAX_REPORTED_RESULTS) {
            self.observe(now, belief::Observation::Failure);
        }
        if digest.in_flight + digest.good + digest.bad > 0 {
            self.activity.last_attempt_at = now;
        }
        let load = PeerLoad {
            in_flight: digest.in_flight,
            received_at: now,
        };
        self.peer_loads.insert(from, load);
        self.peer_loads
            .retain(|_, load| now.since(load.received_at) < PEER_LOAD_LIFETIME);
    }

    /// Takes the digest to report to peers, or `None` if nothing has changed since the last one.
    pub fn take_digest(&mut self) -> Option<(handle::Server, event::Digest)> {
        if !std::mem::take(&mut self.digest_changed) {
            return None;
        }
        let unreported = std::mem::replace(&mut self.unreported, EMPTY_DIGEST);
        let digest = event::Digest {
            in_flight: self.in_flight,
            ..unreported
        };
        Some((self.spec.handle, digest))
    }

    /// Grounds for sending an attempt at `now`.
    pub fn grounds(&self, now: time::Time) -> action::Grounds {
        let millis_since =
            |at: time::Time| u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX);
        action::Grounds {
            risk: (self.belief.failure_probability(now) * 1000.0) as u32,
            evidence_age_millis: millis_since(self.last_evidence_at),
            idle_millis: millis_since(self.activity.last_attempt_at),
            load: self.load(now),
            slots: self.spec.slots,
            ..action::Grounds::default()
        }
    }

    /// Updates the state that is reported to operators and returns its change, if any.
    pub fn update_reported_state(&mut self, now: time::Time) -> Option<action::StateChange> {
        let current = ReportedState {
            suspect: self.belief.gray_probability(now) > SUSPECT_PROBABILITY,
            unreachable: self.consecutive_unreachable > 0 && now < self.backoff_ends_at,
            replaced: self.replaced,
        };
        let previous = std::mem::replace(&mut self.reported_state, current);
        match () {
            () if current.replaced && !previous.replaced => Some(action::StateChange::Replaced),
            () if current.unreachable && !previous.unreachable => {
                Some(action::StateChange::Unreachable)
            }
            () if current.suspect && !previous.suspect => Some(action::StateChange::Doubted),
            () if previous.suspect && !current.suspect => Some(action::StateChange::Acquitted),
            () => None,
        }
    }

    /// The evidence, as text for operators.
    pub fn evidence(&self, now: time::Time) -> String {
        let limit = self.limiter.as_ref().map_or_else(String::new, |limiter| {
            format!(", limited to {}", limiter.limit())
        });
        format!(
            "gray with a chance of {:.3}, last evidence {} ms ago, load {} of {} slots{limit}",
            self.belief.gray_probability(now),
            now.since(self.last_evidence_at).as_millis(),
            self.load(now),
            self.spec.slots,
        )
    }

    /// State of the server, for operators.
    pub fn view(&self, now: time::Time) -> service::View {
        let gray = self.belief.gray_probability(now);
        let state = match () {
            () if self.is_unavailable() => "leaving",
            () if self.is_waiting(now) => "closed",
            () if gray > SUSPECT_PROBABILITY => "suspect",
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
