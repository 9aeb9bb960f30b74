//! Usage accounts of one daemon: how many requests it handled, for whom, and with what outcome.
//!
//! Requests are counted in memory. The counts are written to the platform as whole objects and, in
//! between, copied to two peers, so that a crash loses only what was counted after the last copy.
//! A peer that has copies of a terminated instance writes what the platform lacks of them. An
//! instance's error budget history, the latest snapshot of its tracker, is written and copied in
//! the same way.

mod copier;
mod histories;
mod metrics;
mod payload;
mod rescue;
mod writer;

use std::sync::{Arc, Mutex};
use std::time::SystemTime;

use monsooncart_store::store;
use monsooncart_usage::burn::{snapshot, tracker};
use monsooncart_usage::{book, copies, counter, page, sample};
use monsooncart_wire::usage as wire;

use crate::core;
use crate::lock::lock;

/// The counts of this daemon and the copies that it stores for others.
pub struct Accounts {
    core: Arc<core::Core>,
    store: Arc<dyn store::Store>,
    counter: counter::Counter,
    book: Mutex<book::Book>,
    tracker: Mutex<tracker::Tracker>,
    copies: Mutex<copies::Copies>,
    histories: Mutex<histories::Histories>,
    /// Held while pages are written, as only one write may be in progress.
    write_lock: tokio::sync::Mutex<()>,
    metrics: metrics::Metrics,
}

/// Current time, in seconds since the Unix epoch.
#[must_use]
pub fn unix_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs()
}

impl Accounts {
    /// Creates empty accounts and registers their metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if metrics of these names are already registered.
    pub fn new(
        core: Arc<core::Core>,
        store: Arc<dyn store::Store>,
        registry: &prometheus::Registry,
    ) -> prometheus::Result<Self> {
        let book = book::Book::new(core.instance, core.settings.name.clone());
        let tracker = tracker::Tracker::new(core.instance);
        Ok(Self {
            core,
            store,
            counter: counter::Counter::default(),
            book: Mutex::new(book),
            tracker: Mutex::new(tracker),
            copies: Mutex::default(),
            histories: Mutex::default(),
            write_lock: tokio::sync::Mutex::default(),
            metrics: metrics::Metrics::new(registry)?,
        })
    }

    /// Counts a completed request.
    pub fn record(&self, sample: &sample::Sample) {
        self.counter.record(sample);
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        let snapshot = cluster.replica().snapshot();
        if let Some(service) = snapshot.service(&sample.service) {
            lock(&self.tracker).record(unix_seconds(), &service.objective, sample);
        }
    }

    /// Writes counts to the platform, copies them to peers and writes the copies of terminated
    /// instances, until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(writer::run(&self), copier::run(&self), rescue::run(&self),);
    }

    /// Writes all counts to the platform and sends them to peers, which store what the platform
    /// did not confirm. Called only when the daemon stops.
    pub async fn finish(&self) {
        let history = lock(&self.tracker).snapshot();
        let written = writer::finish(self, &history).await;
        let copied = copier::hand_over(self, &history).await;
        match (written, copied) {
            (true, _) => log::info!("usage: all counts written to the platform"),
            (false, true) => log::warn!("usage: platform unavailable; counts are stored by peers"),
            (false, false) => log::error!("usage: counts lost: platform and peers failed"),
        }
    }

    /// Stores a copy of another instance's counts.
    pub fn store_copy(&self, copy: &wire::Copy) {
        match payload::Payload::decode(&copy.counters) {
            Some(payload::Payload::Page(page)) => lock(&self.copies).insert(page),
            Some(payload::Payload::History(part)) => lock(&self.histories).insert(part),
            None => {
                log::warn!(vm:% = copy.vm; "usage: received copy could not be decoded");
                return;
            }
        }
        self.metrics
            .stored_copies
            .set(lock(&self.copies).pages().count() as i64);
    }

    /// Stored copies of pages, limited to the requested instance if one is given.
    #[must_use]
    pub fn stored_copies(&self, request: &wire::Fetch) -> Vec<wire::Copy> {
        let is_requested = |page: &&page::Page| {
            let instance = request.instance;
            instance.is_none_or(|instance| instance == page.name.instance)
        };
        let copies = lock(&self.copies);
        let pages = copies.pages().filter(is_requested);
        pages.map(payload::copy_of_page).collect()
    }

    /// This instance's latest pages and the stored copies of other instances' pages.
    #[must_use]
    pub fn pages(&self) -> Vec<page::Page> {
        self.flush_counter();
        let mut pages: Vec<_> = lock(&self.book).pages().cloned().collect();
        pages.extend(lock(&self.copies).pages().cloned());
        pages
    }

    /// Parts of this instance's error budget history and the stored copies of other instances'.
    #[must_use]
    pub fn history_parts(&self) -> Vec<snapshot::Part> {
        let mut parts = lock(&self.tracker).snapshot();
        parts.extend(lock(&self.histories).all().cloned());
        parts
    }

    /// Moves the counts since the last call to the usage pages.
    fn flush_counter(&self) {
        let mut book = lock(&self.book);
        book.add(unix_seconds(), self.counter.take());
        self.metrics
            .unconfirmed_pages
            .set(book.unconfirmed().count() as i64);
    }
}
