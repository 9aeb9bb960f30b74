//! Identifier of a daemon process.
//!
//! A daemon generates a new instance at every start, so that capacity tokens and counters of an
//! earlier process are not attributed to the current one.

use std::fmt;
use std::num;
use std::str;

/// Random identifier of a daemon process, formatted as 16 hexadecimal digits.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Instance(pub u64);

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for Instance {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
