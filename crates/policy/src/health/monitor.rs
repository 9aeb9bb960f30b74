//! Health of one server.
//!
//! An ejected server is restored through trials: real repeatable requests, sent one at a time after
//! a backoff that doubles whenever a trial fails or the server is ejected again soon after its
//! return.

use std::time::Duration;

use monsooncart_types::time;

use crate::health::{counter, cusum, limits, state, tally};

/// Initial backoff before the trials of an ejected server.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);

/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 7;

/// Time in service after which an earlier ejection no longer lengthens the backoff.
const FLAP_WINDOW: Duration = Duration::from_secs(600);

/// Delay before an ejection that was denied or not answered is requested again.
const EJECTION_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Delay before a restoration that was not answered is requested again.
const RESTORATION_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Maximum score as a multiple of the threshold, so that the score can fall again.
const SCORE_CAP_RATIO: f64 = 1.5;

/// Maximum score from slowness during a cold start, as a multiple of the threshold.
const COLD_START_SCORE_CAP_RATIO: f64 = 0.5;

/// Threshold for a returning server, as a multiple of the regular threshold.
const RETURNING_THRESHOLD_RATIO: f64 = 0.7;

/// Maximum score that is kept if the whole service is unhealthy, as a multiple of the threshold.
const DISCOUNTED_SCORE_CAP_RATIO: f64 = 0.3;

/// Weight of a failed probe as evidence, relative to an error.
const PROBE_WEIGHT: f64 = 0.2;

/// Maximum score from probes, as a multiple of the threshold.
const PROBE_SCORE_CAP_RATIO: f64 = 0.3;

/// Health of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Monitor {
    state: state::State,
    cusum: cusum::Cusum,
    /// Whether the suspicion has reached the suspect threshold, which precedes
    /// [`state::State::Suspect`].
    suspected: bool,
    /// Decaying counts of observations, for the long-term ratio of bad ones.
    pub tally: tally::Tally,
    /// Counts of observations that decay within seconds, for the recent ratio of bad ones.
    pub recent: tally::Tally,
    /// Counts of the current and the previous interval, for the digest.
    pub counter: counter::Counter,
    next_ejection_request_at: time::Time,
    backoff_doublings: u32,
    restored_at: Option<time::Time>,
    next_trial_at: time::Time,
    successful_trials: u32,
    /// Natural logarithm of the running median of the head times in seconds.
    log_median: Option<f32>,
}

impl Monitor {
    /// Current health state.
    #[must_use]
    pub fn state(&self) -> state::State {
        self.state
    }

    /// CUSUM score from finished attempts and probes.
    #[must_use]
    pub fn score(&self) -> f64 {
        self.cusum.score()
    }

    /// Start of the suspicion; `now` if the server is not suspected.
    #[must_use]
    pub fn suspected_since(&self, now: time::Time) -> time::Time {
        self.cusum.suspected_since().unwrap_or(now)
    }

    /// Suspicion at which the server is ejected in its current state.
    #[must_use]
    pub fn threshold(&self, limits: &limits::Limits) -> f64 {
        if self.state == state::State::Returning {
            limits.threshold * RETURNING_THRESHOLD_RATIO
        } else {
            limits.threshold
        }
    }

    /// Records a good observation; `bad_ratio` is the expected ratio of bad observations.
    pub fn record_good(&mut self, bad_ratio: f64) {
        self.tally.count(true);
        self.recent.count(true);
        self.counter.count(true);
        self.cusum
            .add(cusum::good_increment(bad_ratio), f64::INFINITY);
    }

    /// Records a bad observation and returns the evidence that it added to the score; `weight` is
    /// its weight relative to an error.
    pub fn record_bad(
        &mut self,
        bad_ratio: f64,
        weight: f64,
        slow_in_cold_start: bool,
        limits: &limits::Limits,
    ) -> f64 {
        self.tally.count(false);
        self.recent.count(false);
        self.counter.count(false);
        let cap = limits.threshold
            * if slow_in_cold_start {
                COLD_START_SCORE_CAP_RATIO
            } else {
                SCORE_CAP_RATIO
            };
        self.cusum
            .add(cusum::bad_increment(bad_ratio) * weight, cap)
    }

    /// Removes evidence from the score that turned out not to be the server's fault.
    pub fn retract(&mut self, evidence: f64) {
        self.cusum.add(-evidence, f64::INFINITY);
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, healthy: bool, bad_ratio: f64, limits: &limits::Limits) {
        if !healthy {
            let evidence = cusum::bad_increment(bad_ratio) * PROBE_WEIGHT;
            self.cusum
                .add(evidence, limits.threshold * PROBE_SCORE_CAP_RATIO);
        }
    }

    /// Records a time to the response head.
    pub fn record_head_time(&mut self, head_time: Duration) {
        /// Maximum step of the running median, as a natural logarithm.
        const MAX_LOG_STEP: f32 = 0.1;
        let log = head_time.as_secs_f32().max(1e-6).ln();
        let median = self.log_median.unwrap_or(log);
        let step = (log - median).clamp(-MAX_LOG_STEP, MAX_LOG_STEP);
        self.log_median = Some(median + step);
    }

    /// Running median of the times to the response head; zero before the first one.
    #[must_use]
    pub fn median_head_time(&self) -> Duration {
        let seconds = self.log_median.map_or(0.0, f32::exp);
        Duration::from_secs_f32(seconds.min(3600.0))
    }

    /// Multiplies the score and the counts by `factor`, to age the evidence.
    pub fn decay(&mut self, factor: f64) {
        self.cusum.decay(factor);
        self.tally.decay(factor as f32);
    }

    /// Starts a new interval of the counter and ages the latest observations.
    pub fn rotate(&mut self) {
        /// Halves the counts within a second, at four rotations a second.
        const RECENT_DECAY_FACTOR: f32 = 0.84;
        self.counter.rotate();
        self.recent.decay(RECENT_DECAY_FACTOR);
    }

    /// Keeps only a part of the evidence, because the whole service is unhealthy.
    pub fn discount_evidence(&mut self, now: time::Time, limits: &limits::Limits) {
        self.cusum
            .restart(now, limits.threshold * DISCOUNTED_SCORE_CAP_RATIO);
        self.suspected = false;
    }

    /// Records whether the server is suspected, by finished attempts and those in flight. Returns
    /// `true` if the suspicion is new.
    pub fn set_suspected(&mut self, now: time::Time, suspected: bool) -> bool {
        if !suspected {
            self.cusum.clear_suspicion();
            self.suspected = false;
            return false;
        }
        self.cusum.start_suspicion(now);
        !std::mem::replace(&mut self.suspected, true)
    }

    /// Makes the server a suspect, unless it is ejected.
    pub fn mark_suspect(&mut self) {
        if self.state != state::State::Ejected {
            self.state = state::State::Suspect;
        }
    }

    /// Makes a suspect active again.
    pub fn clear_suspect(&mut self) {
        if self.state == state::State::Suspect {
            self.state = state::State::Active;
        }
    }

    /// Returns whether an ejection may be requested now; if so, delays the next request.
    pub fn try_request_ejection(&mut self, now: time::Time) -> bool {
        if now < self.next_ejection_request_at {
            return false;
        }
        self.next_ejection_request_at = now + EJECTION_RETRY_DELAY;
        true
    }

    /// Ejects the server and schedules its first trial. `jitter`, from 0 to 1, spreads the trials
    /// of different daemons.
    pub fn eject(&mut self, now: time::Time, jitter: f64) {
        if self.state == state::State::Ejected {
            return;
        }
        let is_recent = |restored_at: time::Time| now.since(restored_at) < FLAP_WINDOW;
        self.backoff_doublings = if self.restored_at.is_some_and(is_recent) {
            (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS)
        } else {
            0
        };
        self.state = state::State::Ejected;
        self.successful_trials = 0;
        self.next_trial_at = now + self.backoff(jitter);
    }

    /// Records that the ejection was denied: the server stays in service as a suspect.
    pub fn record_denial(&mut self, now: time::Time) {
        self.next_ejection_request_at = now + EJECTION_RETRY_DELAY;
        self.mark_suspect();
    }

    /// Restores the server to service as returning.
    pub fn restore(&mut self, now: time::Time) {
        self.state = state::State::Returning;
        self.restored_at = Some(now);
        self.cusum.restart(now, 0.0);
        self.cusum.clear_suspicion();
        self.next_ejection_request_at = now;
    }

    /// Makes a returning server active, since its ramp-up is complete.
    pub fn finish_return(&mut self) {
        if self.state == state::State::Returning {
            self.state = state::State::Active;
        }
    }

    /// Whether the server is ejected and its next trial is due.
    #[must_use]
    pub fn is_trial_due(&self, now: time::Time) -> bool {
        self.state == state::State::Ejected && now >= self.next_trial_at
    }

    /// Records the result of a trial and returns whether the server should be restored. `jitter` is
    /// as for [`Monitor::eject`].
    pub fn record_trial(
        &mut self,
        now: time::Time,
        succeeded: bool,
        jitter: f64,
        limits: &limits::Limits,
    ) -> bool {
        self.counter.count(succeeded);
        if !succeeded {
            self.successful_trials = 0;
            self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
            self.next_trial_at = now + self.backoff(jitter);
            return false;
        }
        self.successful_trials += 1;
        if self.successful_trials < limits.trials_to_restore {
            return false;
        }
        self.successful_trials = 0;
        self.next_trial_at = now + RESTORATION_RETRY_DELAY;
        true
    }

    fn backoff(&self, jitter: f64) -> Duration {
        (INITIAL_BACKOFF * 2u32.pow(self.backoff_doublings)).mul_f64(1.0 + jitter * 0.5)
    }
}
