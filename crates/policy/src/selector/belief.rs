//! How likely a server is to be gray now.
//!
//! A server is sound or gray and changes between the two at random. Each end of an attempt is a
//! noisy sight of its state; Bayes' rule takes it in, and as time passes without one the belief
//! drifts back to what is usual.

use std::time::Duration;

use monsooncart_types::time;

/// Share of time that a server is gray, before anything was seen of it.
const USUAL: f64 = 0.25;

/// Time in which a belief loses all but one part in e of its distance from the usual.
const DRIFT: Duration = Duration::from_secs(4);

/// Chance that a gray server fails an attempt.
const GRAY_FAILS: f64 = 0.75;

/// Chance that a sound server fails an attempt.
const SOUND_FAILS: f64 = 0.015;

/// Chance that an attempt at a gray server is slow.
const GRAY_SLOW: f64 = 0.4;

/// Chance that an attempt at a sound server is slow.
const SOUND_SLOW: f64 = 0.06;

/// Chance that a gray server refuses an attempt though it has room.
const GRAY_SHEDS: f64 = 0.5;

/// Chance that a sound server does, since its load is known late.
const SOUND_SHEDS: f64 = 0.2;

/// What the end of an attempt shows of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Sight {
    /// It answered well.
    Good,
    /// It failed.
    Bad,
    /// It is slow to answer.
    Slow,
    /// It refused though it should have had room.
    Shed,
}

/// The belief that one server is gray.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    gray: f64,
    at: time::Time,
}

impl Belief {
    /// The belief about a server of which nothing was seen.
    #[must_use]
    pub fn new(now: time::Time) -> Self {
        Self {
            gray: USUAL,
            at: now,
        }
    }

    /// Chance that the server is gray.
    #[must_use]
    pub fn gray(&self, now: time::Time) -> f64 {
        let age = now.since(self.at).div_duration_f64(DRIFT);
        USUAL + (self.gray - USUAL) * (-age).exp()
    }

    /// Chance that the server fails an attempt that is sent now.
    #[must_use]
    pub fn fails(&self, now: time::Time) -> f64 {
        let gray = self.gray(now);
        gray * GRAY_FAILS + (1.0 - gray) * SOUND_FAILS
    }

    /// Takes a sight in.
    pub fn see(&mut self, now: time::Time, sight: Sight) {
        let (gray, sound) = match sight {
            Sight::Good => (1.0 - GRAY_FAILS, 1.0 - SOUND_FAILS),
            Sight::Bad => (GRAY_FAILS, SOUND_FAILS),
            Sight::Slow => (GRAY_SLOW, SOUND_SLOW),
            Sight::Shed => (GRAY_SHEDS, SOUND_SHEDS),
        };
        let before = self.gray(now);
        let joint = before * gray;
        self.gray = joint / (joint + (1.0 - before) * sound);
        self.at = now;
    }
}
