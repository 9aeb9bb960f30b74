//! The shared secret of a fleet.

use std::path;

use monsooncart_config::organisation;
use monsooncart_wire::datagram;

use crate::error;

/// Minimum length of a secret.
const MIN_BYTES: usize = 32;

/// Reads a secret: the digest of a file's content without surrounding white space.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is too short.
pub fn read(path: &path::Path) -> Result<datagram::Secret, error::Error> {
    let error = |reason: String| error::Error::Secret {
        file: path.display().to_string(),
        reason,
    };
    let bytes = std::fs::read(path).map_err(|e| error(e.to_string()))?;
    let bytes = bytes.trim_ascii();
    if bytes.len() < MIN_BYTES {
        let length = bytes.len();
        return Err(error(format!(
            "got {length} bytes, expected at least {MIN_BYTES}"
        )));
    }
    Ok(datagram::Secret::new(organisation::Digest::of(bytes).0))
}
