//! Replicas of other daemons' pages, stored in case those daemons crash.
//!
//! A daemon repeatedly sends its unconfirmed pages to a peer. Once the VM list proves that the
//! daemon is gone, or the page was handed over at a planned stop, the peer writes what the platform
//! lacks. A crash loses what was counted after the last copy that a peer received.

use std::collections::BTreeMap;

use monsooncart_types::instance;

use crate::page;

/// Maximum number of stored copies; those of the oldest periods are evicted first.
pub const COPIES_MAX: usize = 64;

/// The newest copies of other daemons' pages.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    pages: BTreeMap<page::Name, page::Page>,
}

impl Copies {
    /// Stores a copy, unless the stored one is newer.
    pub fn insert(&mut self, page: page::Page) {
        let current = self.pages.get(&page.name);
        if current.is_none_or(|current| page.covers(current)) {
            self.pages.insert(page.name, page);
        }
        while self.pages.len() > COPIES_MAX {
            let oldest = self.pages.keys().min_by_key(|name| name.period).copied();
            let Some(oldest) = oldest else {
                return;
            };
            self.pages.remove(&oldest);
        }
    }

    /// All stored copies.
    pub fn pages(&self) -> impl Iterator<Item = &page::Page> {
        self.pages.values()
    }

    /// Copies of the pages of a daemon instance. For each, the caller reads the page from the
    /// platform, writes the copy conditionally on the version read if the platform's page does not
    /// cover it, and then calls [`Copies::confirm`].
    pub fn of_instance(&self, instance: instance::Instance) -> impl Iterator<Item = &page::Page> {
        self.pages
            .values()
            .filter(move |page| page.name.instance == instance)
    }

    /// Removes the copy that the platform's page covers, unless a newer one was stored since.
    pub fn confirm(&mut self, stored: &page::Page) {
        let current = self.pages.get(&stored.name);
        if current.is_some_and(|current| stored.covers(current)) {
            self.pages.remove(&stored.name);
        }
    }
}
