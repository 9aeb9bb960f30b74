//! How many of all requests crashes break, which says how often one meets several by coincidence.

use std::time::Duration;

use monsooncart_types::time;

/// Length of the intervals over which attempts are counted.
const INTERVAL: Duration = Duration::from_secs(5);

/// Probability with which a request may meet all crashes after its first one by coincidence.
const MAX_COINCIDENCE: f64 = 1e-3;

/// Number of broken attempts that are no base for an estimate.
const UNCOUNTED: f64 = 1.0;

/// Attempts of one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    answered: f64,
    crashed: f64,
}

/// Attempts that were answered and that crashes broke, in the current and the last interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exposure {
    began_at: time::Time,
    current: Count,
    last: Count,
    /// Number of daemons; those of the others report their crashes, but not their answers.
    daemons: u32,
}

impl Exposure {
    pub fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons;
    }

    /// Counts an answer.
    pub fn record_answered(&mut self, now: time::Time) {
        self.advance(now);
        self.current.answered += f64::from(self.daemons.max(1));
    }

    /// Counts an attempt that a crash broke, here or at another daemon.
    pub fn record_crashed(&mut self, now: time::Time) {
        self.advance(now);
        self.current.crashed += 1.0;
    }

    fn advance(&mut self, now: time::Time) {
        let elapsed = now.since(self.began_at);
        if elapsed >= INTERVAL {
            let is_next = elapsed < 2 * INTERVAL;
            self.last = if is_next {
                self.current
            } else {
                Count::default()
            };
            self.current = Count::default();
            self.began_at = now;
        }
    }

    /// Number of crashes that a request meets with a probability of [`MAX_COINCIDENCE`] at most, if `own`
    /// of the crashes are on its record.
    pub fn required_crashes(&self, now: time::Time, own: usize) -> usize {
        let mut counts = *self;
        counts.advance(now);
        let crashed = counts.current.crashed + counts.last.crashed - own as f64 - UNCOUNTED;
        let answered = counts.current.answered + counts.last.answered;
        if crashed <= 0.0 {
            return 0;
        }
        let share = crashed / (crashed + answered);
        if share >= 1.0 {
            return usize::MAX;
        }
        1 + (MAX_COINCIDENCE.ln() / share.ln()).ceil() as usize
    }
}
