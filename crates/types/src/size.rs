//! Sizes with a text form, such as `512B`, `64KiB`, `16MiB` or `1GiB`.

use std::fmt;
use std::str;

/// Error of parsing a size.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("size {text:?} is not a whole number followed by B, KiB, MiB or GiB")]
pub struct Error {
    /// The rejected text.
    pub text: String,
}

/// A number of bytes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    derive_more::Add,
    derive_more::Sum,
)]
pub struct Size(pub u64);

/// Units and their sizes in bytes, largest first.
const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

impl str::FromStr for Size {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error {
            text: text.to_owned(),
        };
        let number_len = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(number_len);
        let number: u64 = number.parse().map_err(|_| error())?;
        let (_, scale) = UNITS
            .into_iter()
            .find(|(name, _)| *name == unit)
            .ok_or_else(error)?;
        number.checked_mul(scale).map(Self).ok_or_else(error)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_multiple = |(_, scale): &(&str, u64)| self.0.is_multiple_of(*scale);
        let (unit, scale) = UNITS.into_iter().find(is_multiple).unwrap_or(("B", 1));
        write!(f, "{}{unit}", self.0 / scale)
    }
}

impl serde::Serialize for Size {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Size {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
