//! Names that many others refer to, each held once.

use std::hash;
use std::sync::Arc;

use monsooncart_types::map;

/// Names by number and numbers by name. Numbers are never given anew, so that blocks of several
/// snapshots may share a table that has grown since.
#[derive(Clone, Debug)]
pub(super) struct Names<K> {
    names: Vec<K>,
    numbers: map::Map<K, u32>,
}

impl<K> Default for Names<K> {
    fn default() -> Self {
        Self {
            names: Vec::new(),
            numbers: map::Map::default(),
        }
    }
}

impl<K: Clone + Eq + hash::Hash> Names<K> {
    /// Gives each name its number; copies a shared table only where one is new.
    pub(super) fn add_all<'k>(table: &mut Arc<Self>, names: impl Iterator<Item = &'k K>)
    where
        K: 'k,
    {
        for name in names {
            if !table.numbers.contains_key(name) {
                Arc::make_mut(table).add(name);
            }
        }
    }

    fn add(&mut self, name: &K) {
        let number = u32::try_from(self.names.len()).expect("there are fewer names than bytes");
        self.names.push(name.clone());
        self.numbers.insert(name.clone(), number);
    }

    /// The number of a name, where it has one.
    pub(super) fn number(&self, name: &K) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The name of a number.
    pub(super) fn name(&self, number: u32) -> Option<&K> {
        self.names.get(number as usize)
    }

    /// The name as it is held here, so that a copy of it shares its text.
    pub(super) fn held(&self, name: &K) -> Option<&K> {
        self.name(self.number(name)?)
    }
}
