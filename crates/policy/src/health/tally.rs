//! Counts of good and bad observations, and the ratios derived from them.

/// Weight of the prior, in observations, so that a few bad ones do not dominate the ratio.
const PRIOR_OBSERVATIONS: f64 = 20.0;

/// Minimum ratio of bad observations and mean of the prior: healthy servers also fail occasionally.
const MIN_RATIO: f64 = 0.03;

/// Maximum ratio of bad observations.
const MAX_RATIO: f64 = 0.9;

/// Ratio of bad observations of a healthy service.
const HEALTHY_RATIO: f64 = 0.05;

/// Ratio of bad observations of an unhealthy service.
const UNHEALTHY_RATIO: f64 = 0.5;

/// Decaying counts of observations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    good: f32,
    bad: f32,
}

impl Tally {
    /// Counts an observation.
    pub fn count(&mut self, good: bool) {
        if good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
    }

    /// Multiplies the counts by `factor`.
    pub fn decay(&mut self, factor: f32) {
        self.good *= factor;
        self.bad *= factor;
    }

    /// Adds the counts of another tally.
    pub fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
    }

    /// Evidence that the observed servers are healthy, as the log-likelihood ratio of 5 % bad
    /// observations against 50 %.
    #[must_use]
    pub fn health_evidence(&self) -> f64 {
        let good_increment = ((1.0 - HEALTHY_RATIO) / (1.0 - UNHEALTHY_RATIO)).ln();
        let bad_increment = (HEALTHY_RATIO / UNHEALTHY_RATIO).ln();
        f64::from(self.good) * good_increment + f64::from(self.bad) * bad_increment
    }

    /// The counts without those of `part`, which they include.
    #[must_use]
    pub fn without(&self, part: &Self) -> Self {
        Self {
            good: (self.good - part.good).max(0.0),
            bad: (self.bad - part.bad).max(0.0),
        }
    }

    /// Ratio of bad observations, with one good observation added; `None` if there are too few.
    #[must_use]
    pub fn bad_ratio(&self) -> Option<f64> {
        /// Minimum number of observations for a ratio.
        const MIN_OBSERVATIONS: f32 = 0.5;
        let total = self.good + self.bad;
        let ratio = f64::from(self.bad) / (f64::from(total) + 1.0);
        (total >= MIN_OBSERVATIONS).then_some(ratio.min(MAX_RATIO))
    }

    /// Ratio of bad observations without those of `part`, smoothed with the prior.
    #[must_use]
    pub fn bad_ratio_without(&self, part: &Self) -> f64 {
        let others = self.without(part);
        let (bad, good) = (f64::from(others.bad), f64::from(others.good));
        let ratio = (bad + PRIOR_OBSERVATIONS * MIN_RATIO) / (bad + good + PRIOR_OBSERVATIONS);
        ratio.clamp(MIN_RATIO, MAX_RATIO)
    }
}
