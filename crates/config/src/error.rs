//! Errors in configuration and settings files, with their positions.

use std::fmt;

use derive_more::{Display, Error as DeriveError};

/// A problem in a file, without its position.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Problem {
    /// The file could not be read.
    #[display("file could not be read: {reason}")]
    File {
        /// Cause.
        reason: String,
    },
    /// The text is not JSON with comments.
    #[display("not JSON with comments: {reason}")]
    Syntax {
        /// Cause.
        reason: String,
    },
    /// An unknown field.
    #[display("unknown field {name:?}{}", hint(similar.as_deref()))]
    UnknownField {
        /// Name of the field.
        name: String,
        /// A known field with a similar name.
        similar: Option<String>,
    },
    /// A required field is missing.
    #[display("missing field {name:?}: expected {expected}")]
    MissingField {
        /// Name of the field.
        name: &'static str,
        /// Description of the expected value.
        expected: &'static str,
    },
    /// A field occurs twice in one object.
    #[display("field {name:?} was given before, at line {line}")]
    DuplicateField {
        /// Name of the field.
        name: String,
        /// Line of the first occurrence.
        line: usize,
    },
    /// A value has the wrong type or format.
    #[display("{value} is not {expected}")]
    Value {
        /// The value as written, truncated.
        value: String,
        /// Description of the expected value.
        expected: String,
    },
    /// A value that must be unique occurs twice.
    #[display("{kind} {value} was given before, at line {line}")]
    Duplicate {
        /// Kind of value, such as `service`.
        kind: &'static str,
        /// The value.
        value: String,
        /// Line of the first occurrence.
        line: usize,
    },
    /// A reference to a name that the file does not define.
    #[display("{kind} {name} does not exist in this file: expected one of {known}")]
    Unresolved {
        /// Kind of the referenced item.
        kind: &'static str,
        /// The undefined name.
        name: String,
        /// Defined names, truncated.
        known: String,
    },
    /// A configuration object would exceed the platform's size limit.
    #[display("{key} takes {size} bytes as an object of the platform: expected at most {limit}")]
    TooLarge {
        /// Key of the object.
        key: String,
        /// Size of its encoded value, in bytes.
        size: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The file has more problems than are reported.
    #[display("more than {limit} problems: the others are not shown")]
    TooMany {
        /// Number of problems reported.
        limit: usize,
    },
}

fn hint(similar: Option<&str>) -> String {
    similar.map_or_else(String::new, |name| format!(", did you mean {name:?}?"))
}

/// A problem and its position.
#[derive(Clone, Debug, PartialEq, Eq, DeriveError)]
pub struct Error {
    /// Name of the file.
    pub file: String,
    /// Line, from 1; 0 if the problem concerns the whole file.
    pub line: usize,
    /// Column in characters, from 1; 0 if the problem concerns the whole file.
    pub column: usize,
    /// Path of the field, such as `services[0].floor`; empty if the problem concerns the whole file.
    pub path: String,
    /// The problem.
    pub problem: Problem,
}

impl Error {
    /// An error that the file could not be read.
    #[must_use]
    pub fn unreadable_file(file: &str, reason: String) -> Self {
        Self {
            file: file.to_owned(),
            line: 0,
            column: 0,
            path: String::new(),
            problem: Problem::File { reason },
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        fmt::Display::fmt(&self.problem, f)
    }
}

/// All problems of a file, in the order of their positions.
#[derive(Clone, Debug, PartialEq, Eq, DeriveError)]
pub struct Errors(#[error(not(source))] pub Vec<Error>);

impl From<Error> for Errors {
    fn from(error: Error) -> Self {
        Self(vec![error])
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            fmt::Display::fmt(error, f)?;
        }
        Ok(())
    }
}
