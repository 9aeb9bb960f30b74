//! Datagrams between daemons: a header, a postcard body and, where the fleet has a secret, a code.
//!
//! The header is the magic bytes, the version and whether a code follows. A daemon with a secret
//! takes no datagram without a code that fits; one without a secret takes none with a code.

use hmac::Mac;
use monsooncart_policy::membership::{message, protocol};

use crate::news;

/// Largest datagram, in bytes.
pub const MAX: usize = protocol::MAX_DATAGRAM_BYTES;

/// First bytes of every datagram.
const MAGIC: [u8; 2] = *b"MC";

/// Version of the datagrams.
const VERSION: u8 = 1;

/// Bytes of the header.
const HEADER: usize = 4;

/// Bytes of a code.
const CODE: usize = 16;

/// Bytes of a datagram that are left for its body.
pub const BODY: usize = MAX - HEADER - CODE;

/// A secret that all daemons of a fleet share.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// A secret.
    #[must_use]
    pub const fn new(key: [u8; 32]) -> Self {
        Self(key)
    }

    /// The code that belongs to `bytes`.
    #[must_use]
    pub fn sign(&self, bytes: &[u8]) -> [u8; 32] {
        self.code(bytes).finalize().into_bytes().into()
    }

    /// Whether `code` belongs to `bytes`.
    #[must_use]
    pub fn verifies(&self, bytes: &[u8], code: &[u8]) -> bool {
        self.code(bytes).verify_slice(code).is_ok()
    }

    fn code(&self, bytes: &[u8]) -> hmac::Hmac<sha2::Sha256> {
        let code = <hmac::Hmac<sha2::Sha256> as Mac>::new_from_slice(&self.0);
        let mut code = code.expect("HMAC takes keys of any length");
        code.update(bytes);
        code
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// What a datagram carries.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Datagram {
    /// A message of the membership protocol.
    Membership(message::Message),
    /// News.
    News(Vec<news::Item>),
}

/// Why bytes are not a datagram, or a datagram cannot be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The length is out of bounds.
    #[display("datagram of {length} bytes is not {HEADER} to {MAX} bytes long")]
    Length {
        /// The length.
        length: usize,
    },
    /// The first bytes are others.
    #[display("datagram is not one of this protocol")]
    Magic,
    /// The version is another one.
    #[display("datagram version {version} is not {VERSION}")]
    Version {
        /// The version.
        version: u8,
    },
    /// The code is missing, not expected or wrong.
    #[display("datagram is not authenticated by the fleet's secret")]
    Code,
    /// The body is not a message.
    #[display("datagram body is not a message")]
    Body,
}

/// Encodes a datagram.
///
/// # Errors
///
/// Where it would be longer than [`MAX`].
pub fn encode(datagram: &Datagram, secret: Option<&Secret>) -> Result<Vec<u8>, Error> {
    let header = [MAGIC[0], MAGIC[1], VERSION, u8::from(secret.is_some())];
    let mut bytes = Vec::with_capacity(MAX);
    bytes.extend_from_slice(&header);
    let mut bytes = postcard::to_extend(datagram, bytes).map_err(|_| Error::Body)?;
    if let Some(secret) = secret {
        let code = secret.code(&bytes).finalize().into_bytes();
        bytes.extend_from_slice(&code[..CODE]);
    }
    if bytes.len() > MAX {
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
/// Where `bytes` is not exactly one datagram, or its code does not fit `secret`.
pub fn decode(bytes: &[u8], secret: Option<&Secret>) -> Result<Datagram, Error> {
    let length = bytes.len();
    if !(HEADER..=MAX).contains(&length) {
        return Err(Error::Length { length });
    }
    let (header, body) = bytes.split_at(HEADER);
    if header[..2] != MAGIC {
        return Err(Error::Magic);
    }
    if header[2] != VERSION {
        return Err(Error::Version { version: header[2] });
    }
    if header[3] != u8::from(secret.is_some()) {
        return Err(Error::Code);
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

/// The body, once its code has been found to fit.
fn authenticated<'a>(bytes: &'a [u8], secret: &Secret) -> Result<&'a [u8], Error> {
    let end = bytes.len().checked_sub(CODE).filter(|end| *end >= HEADER);
    let (signed, code) = bytes.split_at(end.ok_or(Error::Code)?);
    let fits = secret.code(signed).verify_truncated_left(code);
    fits.map_err(|_| Error::Code)?;
    Ok(&signed[HEADER..])
}
