//! A validated value with its warnings.

use crate::warning;

/// A value that passed validation.
#[derive(Clone, Debug, PartialEq)]
pub struct Report<T> {
    /// The validated value.
    pub value: T,
    /// Settings that are valid but probably unintended.
    pub warnings: Vec<warning::Warning>,
}
