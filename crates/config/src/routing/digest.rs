//! SHA-256, truncated to 128 bits.

use std::fmt;
use std::str;

use sha2::Digest as _;

/// Number of bytes of a digest.
const BYTES: usize = 16;

/// SHA-256 of some content, truncated to 128 bits.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// Digest of `content`.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        let hash = sha2::Sha256::digest(content);
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash[..BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl str::FromStr for Digest {
    type Err = hex::FromHexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; BYTES];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}
