//! Organisations, on whose behalf callers send requests.

use std::fmt;
use std::str;

use monsooncart_types::id;

/// SHA-256 digest of a bearer key, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest(pub [u8; 32]);

/// Error of parsing a digest.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("key digest {text:?} is not 64 hexadecimal digits")]
pub struct Error {
    /// The rejected text.
    pub text: String,
}

impl Digest {
    /// Computes the digest of a bearer key as sent by a caller.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        use sha2::Digest as _;
        Self(sha2::Sha256::digest(key).into())
    }
}

impl str::FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut digest = [0; 32];
        hex::decode_to_slice(text, &mut digest).map_err(|_| Error {
            text: text.to_owned(),
        })?;
        Ok(Self(digest))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl serde::Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// An organisation, its bearer keys and its permissions.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name, unique within the fleet.
    pub name: id::Organisation,
    /// Digests of its bearer keys.
    pub keys: Vec<Digest>,
    /// Services that it may use; empty for all services.
    #[serde(default)]
    pub services: Vec<id::Service>,
    /// Weight in the fair sharing of an overloaded service.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}
