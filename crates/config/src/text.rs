//! Reads text files.

use std::{fs, path, str};

use crate::error;

/// Reads a UTF-8 text file.
///
/// # Errors
///
/// Fails if the file cannot be read or is not valid UTF-8.
pub fn read(path: &path::Path) -> Result<String, error::Errors> {
    let name = path.to_string_lossy();
    let bytes = fs::read(path);
    let bytes = bytes.map_err(|error| error::Error::unreadable_file(&name, error.to_string()))?;
    decode(&name, bytes)
}

/// Decodes the bytes of a file as UTF-8 text.
///
/// # Errors
///
/// Fails at the position of the first byte that is not valid UTF-8.
pub fn decode(file: &str, bytes: Vec<u8>) -> Result<String, error::Errors> {
    String::from_utf8(bytes).map_err(|error| {
        let before = &error.as_bytes()[..error.utf8_error().valid_up_to()];
        let before = str::from_utf8(before).unwrap_or_default();
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        error::Errors::from(error::Error {
            file: file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            path: String::new(),
            problem: error::Problem::Syntax {
                reason: "a byte is not UTF-8".to_owned(),
            },
        })
    })
}
