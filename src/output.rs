//! Lines on standard output and standard error.
//!
//! Write errors, such as a closed pipe, neither stop a command nor change its exit code, which
//! reports the result of a change.

use std::fmt::Display;
use std::io::{self, Write as _};

/// Writes a line to standard output.
pub fn line(text: impl Display) {
    let _write_result = writeln!(io::stdout(), "{text}");
}

/// Writes a line to standard error.
pub fn error(text: impl Display) {
    let _write_result = writeln!(io::stderr(), "{text}");
}
