//! Exit codes of the command line.

use std::process;

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded.
    Success = 0,
    /// The command failed; nothing was changed.
    Failure = 1,
    /// A file or an argument is invalid; nothing was changed.
    Input = 2,
    /// Another change was accepted first; nothing was changed.
    Conflict = 3,
    /// It is unknown whether the change was accepted, or it was accepted but not written
    /// completely.
    Unsettled = 4,
    /// The change was accepted, but was not in force in all daemons within the time limit.
    NotInForce = 5,
}

impl From<Code> for process::ExitCode {
    fn from(code: Code) -> Self {
        Self::from(code as u8)
    }
}
