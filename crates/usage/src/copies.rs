//! Copies of other daemons' pages, stored in case those daemons crash.
//!
//! A daemon sends its unconfirmed pages to peers, periodically and at a planned stop. Once it is
//! known to have terminated, the peers write what the platform lacks. A crash loses what was
//! counted after the last copy that a peer received.

use std::collections::BTreeMap;

use monsooncart_types::instance;

use crate::page;

/// Maximum number of stored copies; those of the oldest periods are evicted first.
pub const MAX_COPIES: usize = 64;

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
        while self.pages.len() > MAX_COPIES {
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
    pub fn confirm(&mut self, confirmed: &page::Page) {
        let current = self.pages.get(&confirmed.name);
        if current.is_some_and(|current| confirmed.covers(current)) {
            self.pages.remove(&confirmed.name);
        }
    }
}
