//! Write-behind buffer of one daemon instance's pages.
//!
//! One write is in flight at a time. It is conditional on the page's current version, so that a
//! delayed write cannot undo a later one. After a write without a response the page is read back. A
//! page is removed only after the platform has confirmed its last sequence.

use std::collections::BTreeMap;

use monsooncart_types::{id, instance, map};

use crate::{counter, page, tally};

/// Version and sequence of a page that the platform last confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Confirmed {
    /// Current version; `None` if the page is absent.
    version: Option<u64>,
    sequence: u64,
}

/// Call to the platform, to be made by the owner of the [`Book`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Write a page on the condition that its current version is `version`.
    Put {
        /// Page to write.
        page: page::Page,
        /// Expected version; `None` if the page must be absent.
        version: Option<u64>,
    },
    /// Read a page back after a conflict or a lost response.
    Get(page::Name),
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The write succeeded and created this version.
    Written(u64),
    /// Current version and sequence of the page; `None` if it is absent.
    Read(Option<(u64, u64)>),
    /// Nothing was written: the page has another version.
    Conflict,
    /// Nothing was written: the platform is unavailable.
    Unavailable,
    /// No response: the write may have taken effect or may still do so.
    Unknown,
}

/// Unconfirmed pages and the current page, to which counts are added.
#[derive(Clone, Debug)]
pub struct Book {
    instance: instance::Instance,
    vm: id::Vm,
    current: Option<page::Name>,
    /// Line index of each key in the current page.
    line_indices: map::Map<counter::Key, usize>,
    pages: BTreeMap<page::Name, page::Page>,
    confirmed: BTreeMap<page::Name, Confirmed>,
    /// Page and sequence of the call in flight.
    in_flight: Option<(page::Name, u64)>,
    /// Whether the version of a page is uncertain after a conflict or a lost response, so that the
    /// next call must read the page back.
    must_read_back: bool,
}

impl Book {
    /// Creates a book without pages.
    #[must_use]
    pub fn new(instance: instance::Instance, vm: id::Vm) -> Self {
        Self {
            instance,
            vm,
            current: None,
            line_indices: map::Map::default(),
            pages: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            in_flight: None,
            must_read_back: false,
        }
    }

    /// Adds counts to the page of the current hour; `seconds` is the current time since the Unix
    /// epoch.
    pub fn add(&mut self, seconds: u64, counts: Vec<(counter::Key, tally::Tally)>) {
        let period = page::Period::at(seconds);
        for (key, tally) in counts {
            let page = self.page_for(period, &key);
            page.sequence += 1;
            let name = page.name;
            match self.line_indices.get(&key) {
                Some(index) => {
                    let page = self.pages.get_mut(&name);
                    if let Some(line) = page.and_then(|p| p.lines.get_mut(*index)) {
                        line.tally += &tally;
                    }
                }
                None => self.insert_line(name, key, tally),
            }
        }
    }

    /// Pages that the platform has not confirmed. They are copied to peers, periodically and at a
    /// planned stop.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &page::Page> {
        self.pages.values().filter(|page| {
            let confirmed = self.confirmed.get(&page.name);
            confirmed.is_none_or(|c| c.sequence < page.sequence)
        })
    }

    /// All pages of the book: the unconfirmed ones and the current one.
    pub fn pages(&self) -> impl Iterator<Item = &page::Page> {
        self.pages.values()
    }

    /// Whether the platform has confirmed all counts.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed().next().is_none()
    }

    /// Starts the next call to the platform; `None` while one is in flight or if all pages are
    /// confirmed.
    pub fn next_call(&mut self) -> Option<Call> {
        if self.in_flight.is_some() {
            return None;
        }
        let page = self.unconfirmed().next()?.clone();
        self.in_flight = Some((page.name, page.sequence));
        if self.must_read_back {
            return Some(Call::Get(page.name));
        }
        let version = self.confirmed.get(&page.name).and_then(|c| c.version);
        Some(Call::Put { page, version })
    }

    /// Handles the result of the call in flight.
    pub fn record_response(&mut self, response: &Response) {
        let Some((name, sequence)) = self.in_flight.take() else {
            return;
        };
        match *response {
            Response::Written(version) => self.confirm(name, Some(version), sequence),
            Response::Read(read) => {
                self.must_read_back = false;
                let (version, sequence) = read.map_or((None, 0), |(v, s)| (Some(v), s));
                self.confirm(name, version, sequence);
            }
            Response::Conflict | Response::Unknown => self.must_read_back = true,
            Response::Unavailable => {}
        }
    }

    fn confirm(&mut self, name: page::Name, version: Option<u64>, sequence: u64) {
        self.confirmed.insert(name, Confirmed { version, sequence });
        let is_confirmed = self
            .pages
            .get(&name)
            .is_some_and(|p| p.sequence <= sequence);
        if is_confirmed && self.current != Some(name) {
            self.pages.remove(&name);
            self.confirmed.remove(&name);
        }
    }

    /// Returns the page for counts of `key`; starts a new one in a new period or if the current
    /// page is full.
    fn page_for(&mut self, period: page::Period, key: &counter::Key) -> &mut page::Page {
        let current = self.current.filter(|name| name.period == period);
        let has_room =
            self.line_indices.len() < page::MAX_LINES || self.line_indices.contains_key(key);
        let name = match current {
            Some(name) if has_room => name,
            Some(name) => self.start_page(period, name.number + 1),
            None => self.start_page(period, 0),
        };
        let vm = &self.vm;
        self.pages.entry(name).or_insert_with(|| page::Page {
            name,
            vm: vm.clone(),
            sequence: 0,
            lines: Vec::new(),
        })
    }

    /// Makes a new page the current one, and removes the previous one if it is confirmed.
    fn start_page(&mut self, period: page::Period, number: u32) -> page::Name {
        if let Some(previous) = self.current.take()
            && let Some(confirmed) = self.confirmed.get(&previous).copied()
        {
            self.confirm(previous, confirmed.version, confirmed.sequence);
        }
        self.line_indices.clear();
        let name = page::Name {
            instance: self.instance,
            period,
            number,
        };
        self.current = Some(name);
        name
    }

    fn insert_line(&mut self, name: page::Name, key: counter::Key, tally: tally::Tally) {
        let Some(page) = self.pages.get_mut(&name) else {
            return;
        };
        self.line_indices.insert(key.clone(), page.lines.len());
        page.lines.push(page::Line { key, tally });
    }
}
