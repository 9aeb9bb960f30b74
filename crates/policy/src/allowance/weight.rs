//! Weight of a daemon's demand for an organisation.

/// Weight of the lowest level, in requests per second.
const LOWEST: f64 = 0.05;

/// Ratio of the weights of two levels.
const STEP: f64 = 1.4;

/// Highest level.
const MAX_LEVEL: u8 = 80;

/// A weight, in logarithmic steps so that small changes of the demand are not reported.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Weight(u8);

impl Weight {
    /// No demand.
    pub const NONE: Self = Self(0);

    /// The lowest weight that is at least `rate` requests per second; none for almost no demand.
    #[must_use]
    pub fn of(rate: f64) -> Self {
        if rate < LOWEST {
            return Self::NONE;
        }
        let level = (rate / LOWEST).log(STEP).ceil() + 1.0;
        Self(level.min(f64::from(MAX_LEVEL)) as u8)
    }

    /// The weight in requests per second.
    #[must_use]
    pub fn value(self) -> f64 {
        match self.0 {
            0 => 0.0,
            level => LOWEST * STEP.powi(i32::from(level.min(MAX_LEVEL)) - 1),
        }
    }

    /// Number of levels by which this weight is above `other`; zero if it is not.
    #[must_use]
    pub fn levels_above(self, other: Self) -> u8 {
        self.0.saturating_sub(other.0)
    }
}
