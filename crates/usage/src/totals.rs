//! Usage totals over pages.

use std::collections::BTreeMap;

use monsooncart_types::id;

use crate::{counter, page, tally};

/// Set of pages with the newest copy of each, so that several copies of a page count once.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    pages: BTreeMap<page::Name, page::Page>,
}

impl Totals {
    /// Adds a page read from the platform, a daemon or a peer's copy, in any order.
    pub fn add(&mut self, page: page::Page) {
        let current = self.pages.get(&page.name);
        if current.is_none_or(|current| page.covers(current)) {
            self.pages.insert(page.name, page);
        }
    }

    /// Returns the totals by organisation and service.
    #[must_use]
    pub fn by_key(&self) -> BTreeMap<counter::Key, tally::Tally> {
        let mut totals = BTreeMap::<_, tally::Tally>::new();
        for line in self.pages.values().flat_map(|page| &page.lines) {
            *totals.entry(line.key.clone()).or_default() += &line.tally;
        }
        totals
    }

    /// Returns the totals by organisation.
    #[must_use]
    pub fn by_organisation(&self) -> BTreeMap<id::Organisation, tally::Tally> {
        let mut totals = BTreeMap::<_, tally::Tally>::new();
        for line in self.pages.values().flat_map(|page| &page.lines) {
            let organisation = line.key.organisation.clone();
            *totals.entry(organisation).or_default() += &line.tally;
        }
        totals
    }
}
