//! The health of one server.
//!
//! An ejected server comes back by trials: real repeatable requests, one at a time, from a pause
//! on that doubles each time a trial fails or the server is ejected again soon after its return.

use std::time::Duration;

use monsooncart_types::time;

use crate::health::{counter, cusum, limits, state, tally};

/// First pause before the trials of an ejected server.
const PAUSE: Duration = Duration::from_secs(2);

/// Doublings of the pause at most.
const DOUBLINGS: u32 = 7;

/// Time in service after which earlier ejections no longer count.
const FLAP_MEMORY: Duration = Duration::from_secs(600);

/// Time after which an ejection that was denied or not answered is asked for again.
const ASK_AGAIN: Duration = Duration::from_secs(3);

/// Time after which a restoration that was not answered is asked for again.
const RESTORE_AGAIN: Duration = Duration::from_secs(3);

/// Thresholds that the score can hold at most, so that it can fall again.
const SCORE_MAX: f64 = 1.5;

/// Thresholds up to which slowness counts while a server is cold.
const COLD_MAX: f64 = 0.5;

/// Share of the threshold that ejects a server that has just come back.
const RETURNING: f64 = 0.7;

/// Thresholds that are left of the score when the whole service suffers.
const ACQUITTED: f64 = 0.3;

/// Weight of a failed probe.
const PROBE: f64 = 0.2;

/// Thresholds up to which probes count.
const PROBE_MAX: f64 = 0.3;

/// The health of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Monitor {
    state: state::State,
    cusum: cusum::Cusum,
    stirred: bool,
    /// Observations, for the shares.
    pub tally: tally::Tally,
    /// The latest observations.
    pub recent: tally::Tally,
    /// Observations, for the digest.
    pub counter: counter::Counter,
    ask_at: time::Time,
    level: u32,
    returned: Option<time::Time>,
    trial_at: time::Time,
    trials: u32,
    log_median: Option<f32>,
}

impl Monitor {
    /// Where the server stands.
    #[must_use]
    pub fn state(&self) -> state::State {
        self.state
    }

    /// Evidence of ended attempts.
    #[must_use]
    pub fn score(&self) -> f64 {
        self.cusum.score()
    }

    /// Since when there has been doubt, `now` where there is none.
    #[must_use]
    pub fn suspected_since(&self, now: time::Time) -> time::Time {
        self.cusum.rising().unwrap_or(now)
    }

    /// The threshold that holds for the server now.
    #[must_use]
    pub fn threshold(&self, limits: &limits::Limits) -> f64 {
        if self.state == state::State::Returning {
            limits.threshold * RETURNING
        } else {
            limits.threshold
        }
    }

    /// Takes a good observation, where `share` of the others' are bad.
    pub fn record_good(&mut self, share: f64) {
        self.tally.count(true);
        self.recent.count(true);
        self.counter.count(true);
        self.cusum.add(cusum::loss(share), f64::INFINITY);
    }

    /// Takes a bad observation and tells how much evidence it gave.
    pub fn record_bad(
        &mut self,
        share: f64,
        weight: f64,
        cold: bool,
        limits: &limits::Limits,
    ) -> f64 {
        self.tally.count(false);
        self.recent.count(false);
        self.counter.count(false);
        let cap = limits.threshold * if cold { COLD_MAX } else { SCORE_MAX };
        self.cusum.add(cusum::gain(share) * weight, cap)
    }

    /// Takes back evidence that was not the server's doing.
    pub fn retract(&mut self, weight: f64) {
        self.cusum.add(-weight, f64::INFINITY);
    }

    /// Takes the end of a probe.
    pub fn record_probe(&mut self, well: bool, share: f64, limits: &limits::Limits) {
        if !well {
            let evidence = cusum::gain(share) * PROBE;
            self.cusum.add(evidence, limits.threshold * PROBE_MAX);
        }
    }

    /// Records a time to the head of an answer.
    pub fn record_latency(&mut self, span: Duration) {
        /// Step of the running median, as a logarithm.
        const STEP: f32 = 0.1;
        let log = span.as_secs_f32().max(1e-6).ln();
        let median = self.log_median.unwrap_or(log);
        let step = (log - median).clamp(-STEP, STEP);
        self.log_median = Some(median + step);
    }

    /// Running median of the times to the head of an answer.
    #[must_use]
    pub fn median_latency(&self) -> Duration {
        let seconds = self.log_median.map_or(0.0, f32::exp);
        Duration::from_secs_f32(seconds.min(3600.0))
    }

    /// Scales evidence down as time passes.
    pub fn decay(&mut self, factor: f64) {
        self.cusum.decay(factor);
        self.tally.decay(factor as f32);
    }

    /// Ages the counts of the latest observations.
    pub fn rotate(&mut self) {
        /// Halves the latest observations in a second, at four rotations a second.
        const FACTOR: f32 = 0.84;
        self.counter.rotate();
        self.recent.decay(FACTOR);
    }

    /// Begins anew with a part of the evidence: the whole service suffered.
    pub fn discount_evidence(&mut self, now: time::Time, limits: &limits::Limits) {
        self.cusum.restart(now, limits.threshold * ACQUITTED);
        self.stirred = false;
    }

    /// Notes whether there is doubt, by attempts in flight too, and tells whether it is new.
    pub fn update_suspicion(&mut self, now: time::Time, doubt: bool) -> bool {
        if !doubt {
            self.cusum.fall();
            self.stirred = false;
            return false;
        }
        self.cusum.rise(now);
        !std::mem::replace(&mut self.stirred, true)
    }

    /// Makes the server a suspect.
    pub fn mark_suspect(&mut self) {
        if self.state != state::State::Ejected {
            self.state = state::State::Suspect;
        }
    }

    /// Ends the suspicion.
    pub fn clear_suspect(&mut self) {
        if self.state == state::State::Suspect {
            self.state = state::State::Active;
        }
    }

    /// Whether an ejection may be asked for, which this notes.
    pub fn try_request_ejection(&mut self, now: time::Time) -> bool {
        if now < self.ask_at {
            return false;
        }
        self.ask_at = now + ASK_AGAIN;
        true
    }

    /// Takes the server out of service; `jitter` from 0 to 1 spreads the daemons' trials.
    pub fn eject(&mut self, now: time::Time, jitter: f64) {
        if self.state == state::State::Ejected {
            return;
        }
        let lately = |returned: time::Time| now.since(returned) < FLAP_MEMORY;
        self.level = if self.returned.is_some_and(lately) {
            (self.level + 1).min(DOUBLINGS)
        } else {
            0
        };
        self.state = state::State::Ejected;
        self.trials = 0;
        self.trial_at = now + self.pause(jitter);
    }

    /// Keeps the server in service with a small share.
    pub fn record_denial(&mut self, now: time::Time) {
        self.ask_at = now + ASK_AGAIN;
        self.mark_suspect();
    }

    /// Puts the server back in service.
    pub fn restore(&mut self, now: time::Time) {
        self.state = state::State::Returning;
        self.returned = Some(now);
        self.cusum.restart(now, 0.0);
        self.cusum.fall();
        self.ask_at = now;
    }

    /// Ends the time of growing share.
    pub fn finish_return(&mut self) {
        if self.state == state::State::Returning {
            self.state = state::State::Active;
        }
    }

    /// Whether an ejected server is due for a trial.
    #[must_use]
    pub fn trial_due(&self, now: time::Time) -> bool {
        self.state == state::State::Ejected && now >= self.trial_at
    }

    /// Takes the end of a trial and tells whether the server is to come back.
    pub fn record_trial(
        &mut self,
        now: time::Time,
        well: bool,
        jitter: f64,
        limits: &limits::Limits,
    ) -> bool {
        self.counter.count(well);
        if !well {
            self.trials = 0;
            self.level = (self.level + 1).min(DOUBLINGS);
            self.trial_at = now + self.pause(jitter);
            return false;
        }
        self.trials += 1;
        if self.trials < limits.trials {
            return false;
        }
        self.trials = 0;
        self.trial_at = now + RESTORE_AGAIN;
        true
    }

    fn pause(&self, jitter: f64) -> Duration {
        (PAUSE * 2u32.pow(self.level)).mul_f64(1.0 + jitter * 0.5)
    }
}
