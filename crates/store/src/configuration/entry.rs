//! One object of a change.

use monsooncart_config::object as config;

use crate::object;

/// An object that a change writes.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Its key, as text.
    pub key: String,
    /// Version that the change was made against; `None` where it was absent.
    pub base: Option<object::Version>,
    /// Its new value.
    pub value: config::Value,
}

impl Entry {
    /// What must hold for the entry to be written.
    #[must_use]
    pub fn condition(&self) -> object::Condition {
        match self.base {
            Some(version) => object::Condition::At(version),
            None => object::Condition::Absent,
        }
    }
}
