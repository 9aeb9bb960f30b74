//! Shares with a text form, such as `70%` or `99.95%`.

use std::fmt;
use std::str;

/// Error of parsing a share.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("share {text:?} is not a number from 0 to 100 followed by %")]
pub struct Error {
    /// The rejected text.
    pub text: String,
}

/// A share from 0% to 100%, stored in parts per million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Share(u32);

/// Parts in 100%.
const PARTS_PER_WHOLE: u32 = 1_000_000;

impl Share {
    /// The share as a fraction from 0 to 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(PARTS_PER_WHOLE)
    }

    /// Multiplies the share by `whole`, rounding up.
    #[must_use]
    pub fn of(self, whole: u64) -> u64 {
        let parts = u128::from(whole) * u128::from(self.0);
        u64::try_from(parts.div_ceil(u128::from(PARTS_PER_WHOLE))).unwrap_or(u64::MAX)
    }
}

impl str::FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error {
            text: text.to_owned(),
        };
        let number = text.strip_suffix('%').ok_or_else(error)?;
        let value: f64 = number.parse().map_err(|_| error())?;
        if !(0.0..=100.0).contains(&value) {
            return Err(error());
        }
        let parts = (value * f64::from(PARTS_PER_WHOLE) / 100.0).round();
        Ok(Self(parts as u32))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}%",
            f64::from(self.0) / f64::from(PARTS_PER_WHOLE / 100)
        )
    }
}

impl serde::Serialize for Share {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Share {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
