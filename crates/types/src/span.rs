//! Durations with a text form, such as `250ms`, `2s`, `5m`, `1h` or `1d`.

use std::fmt;
use std::str;
use std::time::Duration;

/// Error of parsing a duration.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("duration {text:?} is not a number followed by ms, s, m, h or d")]
pub struct Error {
    /// The rejected text.
    pub text: String,
}

/// A duration with a text form; formatting truncates it to milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Span(pub Duration);

/// Units and their lengths in milliseconds, largest first.
const UNITS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("m", 60_000),
    ("s", 1_000),
    ("ms", 1),
];

impl str::FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error {
            text: text.to_owned(),
        };
        let is_number_byte = |byte: &u8| byte.is_ascii_digit() || *byte == b'.';
        let number_len = text.bytes().take_while(is_number_byte).count();
        let (number, unit) = text.split_at(number_len);
        let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
        let whole: u64 = whole.parse().map_err(|_| error())?;
        let fraction = parse_fraction(fraction).ok_or_else(error)?;
        let (_, scale) = UNITS
            .into_iter()
            .find(|(name, _)| *name == unit)
            .ok_or_else(error)?;
        let milliseconds = whole.checked_mul(scale).ok_or_else(error)?;
        let rest = Duration::from_millis(scale).mul_f64(fraction);
        Ok(Self(Duration::from_millis(milliseconds) + rest))
    }
}

/// Parses the digits after a decimal point, as a fraction below 1.
fn parse_fraction(digits: &str) -> Option<f64> {
    let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    is_number.then(|| format!("0.{digits}").parse().ok())?
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let milliseconds = u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX);
        let is_multiple = |(_, scale): &(&str, u64)| milliseconds.is_multiple_of(*scale);
        let (unit, scale) = UNITS.into_iter().find(is_multiple).unwrap_or(("ms", 1));
        write!(f, "{}{unit}", milliseconds / scale)
    }
}

impl serde::Serialize for Span {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Span {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
