//! Rates with a text form, such as `20/s`.

use std::fmt;
use std::str;

/// Error of parsing a rate.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("rate {text:?} is not a number followed by /s")]
pub struct Error {
    /// The rejected text.
    pub text: String,
}

/// Events per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
pub struct Rate(pub f64);

impl str::FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error {
            text: text.to_owned(),
        };
        let number = text.strip_suffix("/s").ok_or_else(error)?;
        let value: f64 = number.parse().map_err(|_| error())?;
        if value.is_finite() && value >= 0.0 {
            Ok(Self(value))
        } else {
            Err(error())
        }
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
