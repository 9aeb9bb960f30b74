//! Shares of bad observations.

/// Observations that are held for certain to be good, so that a few cannot make a share.
const PRIOR: f64 = 20.0;

/// Least share that is assumed: healthy servers fail now and then.
const SHARE_MIN: f64 = 0.03;

/// Largest share that is told.
const SHARE_MAX: f64 = 0.9;

/// Share of bad observations of a service that is well.
const WELL: f64 = 0.05;

/// Share of bad observations of a service that is not.
const UNWELL: f64 = 0.5;

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

    /// Scales the counts down.
    pub fn decay(&mut self, factor: f32) {
        self.good *= factor;
        self.bad *= factor;
    }

    /// Adds the counts of another.
    pub fn merge(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
    }

    /// Evidence that these observations come from well servers: the log-likelihood ratio of few
    /// bad ones against half of them bad.
    #[must_use]
    pub fn health_evidence(&self) -> f64 {
        let good = ((1.0 - WELL) / (1.0 - UNWELL)).ln();
        let bad = (WELL / UNWELL).ln();
        f64::from(self.good) * good + f64::from(self.bad) * bad
    }

    /// This tally of a whole without one part's.
    #[must_use]
    pub fn without(&self, part: &Self) -> Self {
        Self {
            good: (self.good - part.good).max(0.0),
            bad: (self.bad - part.bad).max(0.0),
        }
    }

    /// Share of bad observations, `None` where there are next to none.
    #[must_use]
    pub fn bad_ratio(&self) -> Option<f64> {
        /// Observations that say something.
        const ENOUGH: f32 = 0.5;
        let total = self.good + self.bad;
        let share = f64::from(self.bad) / (f64::from(total) + 1.0);
        (total >= ENOUGH).then_some(share.min(SHARE_MAX))
    }

    /// Share of bad observations in this tally of a whole without one part's.
    #[must_use]
    pub fn bad_ratio_without(&self, part: &Self) -> f64 {
        let rest = self.without(part);
        let (bad, good) = (f64::from(rest.bad), f64::from(rest.good));
        let share = (bad + PRIOR * SHARE_MIN) / (bad + good + PRIOR);
        share.clamp(SHARE_MIN, SHARE_MAX)
    }
}
