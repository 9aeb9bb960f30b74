//! A sequential test for a raised rate of bad observations.
//!
//! The score is the cumulative sum of log-likelihood ratios of two hypotheses: the server is
//! unhealthy and its ratio of bad observations is at least [`MIN_UNHEALTHY_RATIO`], or it is as
//! good as the other servers. The score never falls below zero. By Wald's inequality, the score of
//! a server that is no worse than the others passes a threshold `h` at most once in `e^h`
//! observations on average.

use monsooncart_types::time;

/// Minimum ratio of bad observations of an unhealthy server.
pub const MIN_UNHEALTHY_RATIO: f64 = 0.6;

/// Maximum ratio of bad observations that an unhealthy server is assumed to have.
const MAX_UNHEALTHY_RATIO: f64 = 0.98;

/// Difference between the ratios of an unhealthy server and of the other servers.
const UNHEALTHY_RATIO_MARGIN: f64 = 0.5;

/// Maximum increment for a good observation; negative, so that each one lowers the score.
const MAX_GOOD_INCREMENT: f64 = -0.3;

/// Assumed ratio of bad observations of an unhealthy server, given the other servers' `bad_ratio`.
fn unhealthy_ratio(bad_ratio: f64) -> f64 {
    (bad_ratio + UNHEALTHY_RATIO_MARGIN).clamp(MIN_UNHEALTHY_RATIO, MAX_UNHEALTHY_RATIO)
}

/// Log-likelihood ratio that a bad observation adds to the score, given the other servers'
/// `bad_ratio`; never negative.
#[must_use]
pub fn bad_increment(bad_ratio: f64) -> f64 {
    (unhealthy_ratio(bad_ratio) / bad_ratio).ln().max(0.0)
}

/// Log-likelihood ratio that a good observation adds to the score, given the other servers'
/// `bad_ratio`; always negative.
#[must_use]
pub fn good_increment(bad_ratio: f64) -> f64 {
    ((1.0 - unhealthy_ratio(bad_ratio)) / (1.0 - bad_ratio))
        .ln()
        .min(MAX_GOOD_INCREMENT)
}

/// CUSUM score of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cusum {
    score: f64,
    suspected_since: Option<time::Time>,
}

impl Cusum {
    /// Current score.
    #[must_use]
    pub fn score(&self) -> f64 {
        self.score
    }

    /// Start of the suspicion; `None` while the server is not suspected.
    #[must_use]
    pub fn suspected_since(&self) -> Option<time::Time> {
        self.suspected_since
    }

    /// Starts the suspicion, unless it has already started.
    pub fn start_suspicion(&mut self, now: time::Time) {
        self.suspected_since.get_or_insert(now);
    }

    /// Ends the suspicion.
    pub fn clear_suspicion(&mut self) {
        self.suspected_since = None;
    }

    /// Adds a log-likelihood ratio without raising the score above `cap`, and returns the change of
    /// the score.
    pub fn add(&mut self, evidence: f64, cap: f64) -> f64 {
        let before = self.score;
        let capped = (before + evidence).min(cap.max(before));
        self.score = capped.max(0.0);
        self.score - before
    }

    /// Multiplies the score by `factor`; a score below 0.01 becomes 0.
    pub fn decay(&mut self, factor: f64) {
        self.score *= factor;
        if self.score < 0.01 {
            self.score = 0.0;
        }
    }

    /// Lowers the score to at most `max_score`, and restarts the suspicion at `now`.
    pub fn restart(&mut self, now: time::Time, max_score: f64) {
        self.score = self.score.min(max_score);
        self.suspected_since = Some(now);
    }
}
