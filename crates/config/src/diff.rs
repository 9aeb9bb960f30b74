//! Differences between two fleets, by configuration object.

use std::collections::BTreeMap;

use crate::{fleet, object};

mod change;
mod field;

pub use change::{Change, Kind};
pub use field::Field;

/// The objects that differ, in key order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Diff(pub Vec<Change>);

impl Diff {
    /// Compares the objects of two fleets.
    #[must_use]
    pub fn new(old: &fleet::Fleet, new: &fleet::Fleet) -> Self {
        let old = object::split(old);
        let new = object::split(new);
        Self::between(&old.into_iter().collect(), &new.into_iter().collect())
    }

    /// Compares two sets of objects.
    ///
    /// An empty object, such as a removed service or an empty block, is equal to an absent one.
    #[must_use]
    pub fn between(
        old: &BTreeMap<object::Key, object::Value>,
        new: &BTreeMap<object::Key, object::Value>,
    ) -> Self {
        let mut keys: Vec<_> = old.keys().chain(new.keys()).collect();
        keys.sort();
        keys.dedup();
        let changes = keys
            .into_iter()
            .filter_map(|key| Change::new(key, old.get(key), new.get(key)));
        Self(changes.collect())
    }

    /// Whether there are no differences.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
