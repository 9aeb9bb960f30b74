//! Difference of one object.

use std::fmt;

use crate::{diff, object};

/// Kind of difference.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Kind {
    /// Only the new fleet contains the object.
    Added,
    /// Only the old fleet contains the object.
    Removed,
    /// Both fleets contain the object, with different values.
    Changed,
}

/// Difference of one object.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key of the object.
    pub key: object::Key,
    /// Kind of difference.
    pub kind: Kind,
    /// The fields that differ; empty unless the object was changed.
    pub fields: Vec<diff::Field>,
    /// The new value; the empty value if the object was removed.
    pub value: object::Value,
}

impl Change {
    /// Compares two values of an object; `None` if they are equal.
    #[must_use]
    pub fn new(
        key: &object::Key,
        old: Option<&object::Value>,
        new: Option<&object::Value>,
    ) -> Option<Self> {
        let old = old.filter(|value| !value.is_empty());
        let new = new.filter(|value| !value.is_empty());
        let (kind, fields) = match (old, new) {
            (None, None) => return None,
            (None, Some(_)) => (Kind::Added, Vec::new()),
            (Some(_), None) => (Kind::Removed, Vec::new()),
            (Some(old), Some(new)) if old == new => return None,
            (Some(old), Some(new)) => (Kind::Changed, diff::Field::diff(old, new)),
        };
        Some(Self {
            key: key.clone(),
            kind,
            fields,
            value: new.cloned().unwrap_or_else(|| key.empty_value()),
        })
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.key)?;
        for field in &self.fields {
            write!(f, "\n  {field}")?;
        }
        Ok(())
    }
}
