//! Datagrams between daemons: a header, a postcard body and, if the fleet has a secret, a message
//! authentication code.
//!
//! The header consists of the magic bytes, the version and a flag that says whether a code follows.
//! A daemon with a secret accepts only datagrams with a valid code; a daemon without a secret
//! accepts only datagrams without a code.

use hmac::Mac;
use monsooncart_policy::membership::{message, protocol};

use crate::update;

/// Maximum size of a datagram.
pub const MAX_BYTES: usize = protocol::MAX_DATAGRAM_BYTES;

/// First bytes of every datagram.
const MAGIC: [u8; 2] = *b"MC";

/// Version of the datagram format.
const VERSION: u8 = 1;

/// Size of the header.
const HEADER_BYTES: usize = 4;

/// Size of the truncated message authentication code.
const MAC_BYTES: usize = 16;

/// Maximum size of a datagram's body.
pub const MAX_BODY_BYTES: usize = MAX_BYTES - HEADER_BYTES - MAC_BYTES;

/// Secret shared by all daemons of a fleet, the key of an HMAC-SHA-256.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Creates a secret from a 256-bit key.
    #[must_use]
    pub const fn new(key: [u8; 32]) -> Self {
        Self(key)
    }

    /// Computes the message authentication code of `bytes`.
    #[must_use]
    pub fn sign(&self, bytes: &[u8]) -> [u8; 32] {
        self.hmac(bytes).finalize().into_bytes().into()
    }

    /// Whether `code` authenticates `bytes`.
    #[must_use]
    pub fn verifies(&self, bytes: &[u8], code: &[u8]) -> bool {
        self.hmac(bytes).verify_slice(code).is_ok()
    }

    fn hmac(&self, bytes: &[u8]) -> hmac::Hmac<sha2::Sha256> {
        let hmac = <hmac::Hmac<sha2::Sha256> as Mac>::new_from_slice(&self.0);
        let mut hmac = hmac.expect("HMAC takes keys of any length");
        hmac.update(bytes);
        hmac
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Body of a datagram.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Datagram {
    /// A message of the membership protocol.
    Membership(message::Message),
    /// Gossiped updates.
    News(Vec<update::Item>),
}

/// Failure to encode or decode a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The length is out of range.
    #[display("datagram of {length} bytes is not {HEADER_BYTES} to {MAX_BYTES} bytes long")]
    Length {
        /// Actual length, in bytes.
        length: usize,
    },
    /// The magic bytes are missing.
    #[display("datagram does not begin with the protocol's magic bytes")]
    Magic,
    /// The version is not supported.
    #[display("datagram version {version} is not supported, expected {VERSION}")]
    Version {
        /// Version in the header.
        version: u8,
    },
    /// The message authentication code is missing, unexpected or invalid.
    #[display("datagram is not authenticated by the fleet's secret")]
    Unauthenticated,
    /// The body cannot be encoded or decoded.
    #[display("datagram body is not a valid message")]
    Body,
}

/// Encodes a datagram.
///
/// # Errors
///
/// If the datagram would be longer than [`MAX_BYTES`].
pub fn encode(datagram: &Datagram, secret: Option<&Secret>) -> Result<Vec<u8>, Error> {
    let header = [MAGIC[0], MAGIC[1], VERSION, u8::from(secret.is_some())];
    let mut bytes = Vec::with_capacity(MAX_BYTES);
    bytes.extend_from_slice(&header);
    let mut bytes = postcard::to_extend(datagram, bytes).map_err(|_| Error::Body)?;
    if let Some(secret) = secret {
        let code = secret.hmac(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&code[..MAC_BYTES]);
    }
    if bytes.len() > MAX_BYTES {
        return Err(Error::Length {
            length: bytes.len(),
        });
    }
    Ok(bytes)
}

/// Decodes a datagram.
///
/// # Errors
///
/// If `bytes` is not exactly one datagram, or is not authenticated by `secret`.
pub fn decode(bytes: &[u8], secret: Option<&Secret>) -> Result<Datagram, Error> {
    let length = bytes.len();
    if !(HEADER_BYTES..=MAX_BYTES).contains(&length) {
        return Err(Error::Length { length });
    }
    let (header, body) = bytes.split_at(HEADER_BYTES);
    if header[..2] != MAGIC {
        return Err(Error::Magic);
    }
    if header[2] != VERSION {
        return Err(Error::Version { version: header[2] });
    }
    if header[3] != u8::from(secret.is_some()) {
        return Err(Error::Unauthenticated);
    }
    let body = match secret {
        None => body,
        Some(secret) => authenticated(bytes, secret)?,
    };
    match postcard::take_from_bytes(body) {
        Ok((datagram, [])) => Ok(datagram),
        _ => Err(Error::Body),
    }
}

/// Verifies the message authentication code and returns the body.
fn authenticated<'a>(bytes: &'a [u8], secret: &Secret) -> Result<&'a [u8], Error> {
    let end = bytes
        .len()
        .checked_sub(MAC_BYTES)
        .filter(|end| *end >= HEADER_BYTES);
    let (signed, code) = bytes.split_at(end.ok_or(Error::Unauthenticated)?);
    let verified = secret.hmac(signed).verify_truncated_left(code);
    verified.map_err(|_| Error::Unauthenticated)?;
    Ok(&signed[HEADER_BYTES..])
}
