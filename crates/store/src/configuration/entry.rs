//! One object write of a change.

use monsooncart_config::object as config;

use crate::object;

/// An object write of a change.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Key of the object.
    pub key: String,
    /// Version that the change is based on; `None` if the object was absent.
    pub base: Option<object::Version>,
    /// New value of the object.
    pub value: config::Value,
}

impl Entry {
    /// The condition of the write.
    #[must_use]
    pub fn condition(&self) -> object::Condition {
        match self.base {
            Some(version) => object::Condition::At(version),
            None => object::Condition::Absent,
        }
    }
}
