//! The accounts of one daemon: what it carried, for whom, and how well.
//!
//! Requests are counted in memory. The counts go to the platform as whole objects, and to two
//! peers as copies in between, so that a crash loses only what was counted after the last copy. A
//! peer that holds copies of a run that has ended writes what the platform lacks of them.

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

/// What a daemon counts, and the copies that it keeps for others.
pub struct Accounts {
    core: Arc<core::Core>,
    store: Arc<dyn store::Store>,
    counter: counter::Counter,
    book: Mutex<book::Book>,
    tracker: Mutex<tracker::Tracker>,
    copies: Mutex<copies::Copies>,
    histories: Mutex<histories::Histories>,
    /// Held while pages are written, as one write is under way at a time.
    writing: tokio::sync::Mutex<()>,
    metrics: metrics::Metrics,
}

/// The present, in seconds of the Unix epoch.
#[must_use]
pub fn seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_secs()
}

impl Accounts {
    /// Empty accounts.
    ///
    /// # Errors
    ///
    /// Where the registry holds metrics of these names already.
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
            writing: tokio::sync::Mutex::default(),
            metrics: metrics::Metrics::new(registry)?,
        })
    }

    /// Counts a request that ended.
    pub fn record(&self, sample: &sample::Sample) {
        self.counter.record(sample);
        let Some(cluster) = self.core.cluster() else {
            return;
        };
        let snapshot = cluster.held().snapshot();
        if let Some(service) = snapshot.service(&sample.service) {
            lock(&self.tracker).record(seconds(), &service.objective, sample);
        }
    }

    /// Writes counts to the platform, copies them to peers and writes what ended runs left, until
    /// the task is dropped.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(writer::run(&self), copier::run(&self), rescue::run(&self),);
    }

    /// Writes all that was counted to the platform or, where that fails, has peers keep it; only
    /// for the end of the daemon.
    pub async fn finish(&self) {
        let snapshots = lock(&self.tracker).snapshots();
        let written = writer::finish(self, &snapshots).await;
        let kept = copier::hand_over(self, &snapshots).await;
        match (written, kept) {
            (true, _) => log::info!("usage: written to the platform"),
            (false, true) => log::warn!("usage: kept by peers, as the platform is away"),
            (false, false) => log::error!("usage: lost, as neither platform nor peer took it"),
        }
    }

    /// Takes a copy of another run's counts.
    pub fn keep(&self, copy: &wire::Copy) {
        match payload::Payload::decode(&copy.counters) {
            Some(payload::Payload::Page(page)) => lock(&self.copies).take(page),
            Some(payload::Payload::History(snapshot)) => lock(&self.histories).take(snapshot),
            None => {
                log::warn!(vm:% = copy.vm; "usage: copy is not understood");
                return;
            }
        }
        self.metrics
            .copies
            .set(lock(&self.copies).pages().count() as i64);
    }

    /// The copies that are kept.
    #[must_use]
    pub fn kept(&self, request: &wire::Fetch) -> Vec<wire::Copy> {
        let wanted = |page: &&page::Page| {
            let instance = request.instance;
            instance.is_none_or(|instance| instance == page.name.instance)
        };
        let copies = lock(&self.copies);
        let pages = copies.pages().filter(wanted);
        pages.map(payload::copy_of_page).collect()
    }

    /// Pages that are held here: this run's latest ones and copies of other runs'.
    #[must_use]
    pub fn pages(&self) -> Vec<page::Page> {
        self.collect();
        let mut pages: Vec<_> = lock(&self.book).pages().cloned().collect();
        pages.extend(lock(&self.copies).pages().cloned());
        pages
    }

    /// Counts towards the objectives: this run's and copies of other runs'.
    #[must_use]
    pub fn snapshots(&self) -> Vec<snapshot::Snapshot> {
        let mut snapshots = lock(&self.tracker).snapshots();
        snapshots.extend(lock(&self.histories).all().cloned());
        snapshots
    }

    /// Moves what was counted to the pages.
    fn collect(&self) {
        let mut book = lock(&self.book);
        book.add(seconds(), self.counter.take());
        self.metrics
            .unconfirmed
            .set(book.unconfirmed().count() as i64);
    }
}
