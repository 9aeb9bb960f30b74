//! Identifiers used in the configuration.
//!
//! Each identifier is 1 to 100 bytes of `a-z`, `A-Z`, `0-9`, `.`, `_`, `-`, stored as
//! [`bytes::Bytes`], so that clones share the text.

use std::fmt;
use std::str;

use bytes::Bytes;

/// Maximum length of an identifier, in bytes.
pub const MAX_BYTES: usize = 100;

/// Error of parsing an identifier.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("name {text:?} is not 1 to {MAX_BYTES} letters, digits, dots, underscores or hyphens")]
pub struct Error {
    /// The rejected text, truncated.
    pub text: String,
}

fn validate(text: &str) -> Result<(), Error> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if text.is_empty() || text.len() > MAX_BYTES || !text.bytes().all(allowed) {
        return Err(Error {
            text: text.chars().take(MAX_BYTES).collect(),
        });
    }
    Ok(())
}

macro_rules! identifier {
    ($(#[$doc:meta] $name:ident,)*) => {$(
        #[$doc]
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Bytes);

        impl $name {
            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                str::from_utf8(&self.0).unwrap_or_default()
            }

            /// The identifier as bytes.
            #[must_use]
            pub fn as_bytes(&self) -> &[u8] {
                &self.0
            }
        }

        impl str::FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                validate(text)?;
                Ok(Self(Bytes::copy_from_slice(text.as_bytes())))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self.as_str())
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(self.as_str(), f)
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(self.as_str())
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

identifier! {
    /// A data centre.
    DataCentre,
    /// A region, which contains data centres.
    Region,
    /// A service, run by backend servers.
    Service,
    /// A backend server.
    Server,
    /// An organisation, on whose behalf callers send requests.
    Organisation,
    /// A VM in the platform's VM list; also identifies the daemon on that VM.
    Vm,
    /// An operator, who applies configuration changes.
    Operator,
}
