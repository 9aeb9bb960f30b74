//! Interner of names that many values refer to.

use std::hash;
use std::sync::Arc;

use monsooncart_types::map;

/// Names by index and indices by name. Indices are never reassigned, so that blocks of several
/// snapshots can share an interner to which names are added later.
#[derive(Clone, Debug)]
pub(super) struct Interner<K> {
    names: Vec<K>,
    indices: map::Map<K, u32>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Self {
            names: Vec::new(),
            indices: map::Map::default(),
        }
    }
}

impl<K: Clone + Eq + hash::Hash> Interner<K> {
    /// Interns all names; copies a shared interner only if one of them is new.
    pub(super) fn intern_all<'k>(interner: &mut Arc<Self>, names: impl Iterator<Item = &'k K>)
    where
        K: 'k,
    {
        for name in names {
            if !interner.indices.contains_key(name) {
                Arc::make_mut(interner).intern(name);
            }
        }
    }

    fn intern(&mut self, name: &K) {
        let index = u32::try_from(self.names.len()).expect("fewer than 2^32 names fit into memory");
        self.names.push(name.clone());
        self.indices.insert(name.clone(), index);
    }

    /// The index of a name; `None` if it is not interned.
    pub(super) fn index(&self, name: &K) -> Option<u32> {
        self.indices.get(name).copied()
    }

    /// The name at an index.
    pub(super) fn name(&self, index: u32) -> Option<&K> {
        self.names.get(index as usize)
    }

    /// The interned instance of a name; its clones share one allocation.
    pub(super) fn interned(&self, name: &K) -> Option<&K> {
        self.name(self.index(name)?)
    }
}
