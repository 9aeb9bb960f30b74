//! Watches the store's configuration objects.

use std::sync::Arc;
use std::time::{Duration, Instant};

use monsooncart_policy::membership::member;
use monsooncart_policy::rollout::watcher;
use monsooncart_store::{error, object, store};
use monsooncart_types::map;
use monsooncart_wire::{frame, update};
use rand::RngExt;

use super::{freshness, held, outage, removals};
use crate::shared;

/// Key by which the watchers of a region are ranked.
pub(super) const RANK_KEY: &[u8] = b"config";

/// Maximum number of disconnected watchers in whose place other daemons are selected.
const MAX_DISCONNECTED: usize = 8;

/// Maximum number of doublings of the backoff after failed calls to the platform.
const MAX_BACKOFF_DOUBLINGS: u32 = 1;

/// Maximum number of announced objects of one change; peers find the rest by reconciliation.
const MAX_ANNOUNCEMENTS: usize = 256;

/// Maximum size of a value that is included in its announcement; a datagram has room for a few
/// of them.
const MAX_INLINE_BYTES: usize = 500;

/// Pause after an answer with changes, so that one call returns all changes of the interval: each call
/// is priced.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum interval between checks of whether this daemon is selected as a watcher.
const SELECTION_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Divisor of the backoff after the first watch that failed.
const WATCH_BACKOFF_DIVISOR: u32 = 4;

/// Minimum wait of a watch while removals are deferred.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(50);

/// Time until this daemon watches unless an answer of the platform becomes known; zero if it is
/// selected as a watcher now. A daemon that has just started and knows no other is not, as its place
/// in the order is meaningless without other members.
fn time_until_selected(shared: &shared::Shared) -> Duration {
    let alone = shared.members.load().len() <= 1;
    if alone && shared.started_at.elapsed() < shared.timings.discovery_grace {
        return SELECTION_POLL_INTERVAL;
    }
    // Disconnected watchers go on retrying, but others watch in their place. If many watchers are
    // disconnected, the platform itself is unavailable, and no further daemons are to call it.
    let disconnected = shared.freshness.disconnected();
    let is_candidate = |m: &member::Member| {
        let is_considered =
            disconnected.len() > MAX_DISCONNECTED || !disconnected.contains(&m.instance);
        m.state == member::State::Alive && is_considered
    };
    let place = shared::lock(&shared.protocol).watcher_place(RANK_KEY, is_candidate);
    let (watchers, stale_after) = (shared.timings.watchers, shared.timings.stale_after);
    match shared.freshness.age() {
        Some(age) => watcher::due_age(place, watchers, stale_after).saturating_sub(age),
        None if place < watcher::GROUP.max(watchers) => Duration::ZERO,
        None => SELECTION_POLL_INTERVAL,
    }
}

/// Whether this daemon is selected as a watcher.
fn is_selected(shared: &shared::Shared) -> bool {
    time_until_selected(shared).is_zero()
}

/// Watches the objects under one prefix while this daemon is selected.
pub(crate) struct Watch {
    shared: Arc<shared::Shared>,
    store: Arc<dyn store::Store>,
    prefix: &'static str,
    /// Consecutive failed calls.
    failures: u32,
    monitor: outage::Monitor,
    /// The latest outage that this watch noticed.
    outage: Option<removals::Outage>,
    removals: removals::Removals,
    /// Epoch of the latest answer to this watch.
    epoch: Option<u64>,
}

impl Watch {
    pub(crate) fn new(
        shared: Arc<shared::Shared>,
        store: Arc<dyn store::Store>,
        prefix: &'static str,
    ) -> Self {
        let monitor = outage::Monitor::new(shared.timings.expiry_time);
        let removals = removals::Removals::new(shared.timings.removal_delay);
        Self {
            shared,
            store,
            prefix,
            failures: 0,
            monitor,
            outage: None,
            removals,
            epoch: None,
        }
    }

    /// Watches until the task is dropped.
    pub(crate) async fn run(mut self) {
        let mut must_read_first = self.shared.timings.reads_at_start;
        loop {
            let delay = time_until_selected(&self.shared);
            if !must_read_first && !delay.is_zero() {
                self.apply_deferred_removals();
                tokio::time::sleep(delay.min(SELECTION_POLL_INTERVAL)).await;
                continue;
            }
            self.log_selection();
            match self.watch().await {
                Ok(()) => must_read_first = false,
                Err(error) => {
                    if self.failures == 0 {
                        log::warn!(prefix = self.prefix, error:%; "config: call of the platform failed; retrying");
                    }
                    self.record_failure(&error);
                    self.back_off(&error).await;
                }
            }
        }
    }

    /// Logs how old the latest known answer of the platform is, which shows why this daemon watches.
    fn log_selection(&self) {
        let age_millis = self.shared.freshness.age_millis();
        let members = self.shared.members.load().len();
        log::info!(prefix = self.prefix, age_millis:?, members; "config: selected as watcher");
    }

    async fn back_off(&mut self, error: &error::Error) {
        let jitter = rand::rng().random_range(1.0..2.0);
        let doublings = self.failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let mut backoff = self.shared.timings.backoff * 2u32.pow(doublings);
        // The next call shows whether the platform is there.
        if self.failures == 1 && is_watch(error) {
            backoff /= WATCH_BACKOFF_DIVISOR;
        }
        tokio::time::sleep(backoff.mul_f64(jitter)).await;
        self.apply_deferred_removals();
    }

    /// Lists the objects, then applies changes while this daemon is selected. A watch that has
    /// fallen behind the platform's history starts over with a new listing.
    async fn watch(&mut self) -> Result<(), error::Error> {
        let mut since = self.list().await?;
        log::info!(prefix = self.prefix, since:% = since; "config: listed objects; watching while selected");
        while is_selected(&self.shared) {
            shared::increment(&self.shared.counters.platform_calls);
            let max_wait = self.next_max_wait();
            let timeout = max_wait + self.shared.timings.answer_timeout;
            let page = self.store.watch(self.prefix, since, max_wait);
            let page = with_timeout(timeout, error::Operation::Watch, page).await?;
            self.record_answer();
            if page.compacted {
                log::info!(prefix = self.prefix, since:% = since; "config: watch fell behind the platform's history; listing again");
                since = self.list().await?;
                continue;
            }
            self.check_epoch(error::Operation::Watch, page.revision)?;
            if page.revision.epoch() != since.epoch() {
                since = self.list().await?;
                continue;
            }
            self.apply(&page.objects);
            self.apply_deferred_removals();
            since = page.revision.max(since);
            if !page.objects.is_empty() {
                tokio::time::sleep(CHANGE_INTERVAL).await;
            }
        }
        log::info!(prefix = self.prefix, since:% = since; "config: no longer selected as watcher");
        Ok(())
    }

    /// Maximum wait of the next watch, shortened if a deferred removal is due earlier.
    fn next_max_wait(&self) -> Duration {
        let wait = self.removals.next_due_at().map(|due_at| {
            due_at
                .saturating_duration_since(Instant::now())
                .max(MIN_WATCH_WAIT)
        });
        wait.unwrap_or(Duration::MAX)
            .min(self.shared.timings.max_watch_wait)
    }

    /// Records that the platform did not answer, and reports it to the region, so that other
    /// daemons watch. Every failure is reported, as a datagram may be lost.
    fn record_failure(&mut self, error: &error::Error) {
        self.failures += 1;
        let (now, answered_at) = (Instant::now(), self.shared.freshness.answered_at());
        match is_watch(error) {
            true => self.monitor.record_failed_watch(now, answered_at),
            false => self.monitor.record_failure(now, answered_at),
        }
        self.report_platform(false);
    }

    /// Reports to the region whether the platform answers this daemon.
    fn report_platform(&self, answered: bool) {
        let from = self.shared.local.instance;
        self.shared
            .broadcast_in_region(update::Update::Platform { answered, from });
    }

    /// Records that the platform answered, and reports it to the region.
    fn record_answer(&mut self) {
        self.shared.freshness.record_answer(Some(0));
        self.report_platform(true);
        self.failures = 0;
        let now = Instant::now();
        if let Some(recovery) = self.monitor.record_answer(now) {
            let failed_millis = recovery.failed_for.as_millis() as u64;
            log::info!(prefix = self.prefix, failed_millis, ends_outages = recovery.ends_outages; "config: platform answers again");
            let is_restored = self.latest_outage().is_some_and(|outage| outage.restored);
            if recovery.ends_outages && !is_restored {
                self.record_outage(now, false);
            }
        }
    }

    fn record_outage(&mut self, ended_at: Instant, restored: bool) {
        self.outage = Some(removals::Outage { ended_at, restored });
    }

    /// The latest outage of the platform. A restoration outweighs a later silence.
    fn latest_outage(&self) -> Option<removals::Outage> {
        let silence_ended_at = self.shared.freshness.silence_ended_at();
        let silence = silence_ended_at.map(|ended_at| removals::Outage {
            ended_at,
            restored: false,
        });
        let is_recent =
            |o: &removals::Outage| o.ended_at.elapsed() < self.shared.timings.removal_delay;
        let outages = self.outage.into_iter().chain(silence).filter(is_recent);
        outages.max_by_key(|outage| (outage.restored, outage.ended_at))
    }

    /// Compares the epoch of an answer with those of earlier answers. In a later epoch, objects may be
    /// missing until their writers have written them again, so their removal is deferred.
    ///
    /// # Errors
    ///
    /// Fails if the answer is of an earlier epoch than another one.
    fn check_epoch(
        &mut self,
        operation: error::Operation,
        revision: object::Version,
    ) -> Result<(), error::Error> {
        let epoch = revision.epoch();
        let comparison = self.shared.freshness.observe_epoch(epoch);
        if comparison == freshness::Epoch::Earlier {
            return Err(stale_answer(operation, revision));
        }
        if comparison == freshness::Epoch::Later {
            shared::increment(&self.shared.counters.store_restores);
        }
        if self
            .epoch
            .replace(epoch)
            .is_some_and(|known| known != epoch)
        {
            log::warn!(prefix = self.prefix, epoch, revision = revision.revision(); "config: platform was restored from a backup; listing again");
            self.record_outage(Instant::now(), true);
        }
        Ok(())
    }

    /// Lists all objects; returns the revision from which to watch.
    async fn list(&mut self) -> Result<object::Version, error::Error> {
        let mut after = String::new();
        let mut revision = None;
        let mut objects = Vec::new();
        loop {
            shared::increment(&self.shared.counters.platform_calls);
            let page = self.store.list(self.prefix, &after);
            let timeout = self.shared.timings.list_timeout;
            let page = with_timeout(timeout, error::Operation::List, page).await?;
            self.shared.freshness.record_page();
            self.check_epoch(error::Operation::List, page.revision)?;
            let first_revision = *revision.get_or_insert(page.revision);
            if page.revision.epoch() != first_revision.epoch() {
                return Err(stale_answer(error::Operation::List, first_revision));
            }
            objects.extend(page.objects);
            match page.next {
                Some(next) => after = next,
                None => {
                    self.record_answer();
                    objects.extend(self.removals(first_revision, &objects));
                    self.apply(&objects);
                    let replica = &self.shared.replica;
                    replica.record_listing(self.prefix, first_revision.0);
                    return Ok(first_revision);
                }
            }
        }
    }

    /// Removals of the stored objects that are missing from the listing and older than its
    /// `revision`.
    fn removals(
        &self,
        revision: object::Version,
        listed: &[object::Object],
    ) -> Vec<object::Object> {
        let listed: map::Set<&str> = listed.iter().map(|o| o.key.as_str()).collect();
        let snapshot = self.shared.replica.snapshot();
        let stored = snapshot.versions().filter(|(_, v)| *v < revision.0);
        let keys = stored.filter_map(|(key, _)| self.shared.source.key(self.prefix, key));
        let removed = keys.filter(|key| !listed.contains(key.as_str()));
        let removal = |key| object::Object {
            key,
            version: revision,
            value: None,
        };
        removed.map(removal).collect()
    }

    /// Stores objects from the platform and announces the newer ones. Removals soon after an outage
    /// are deferred: objects that expired while the platform was unavailable may reappear.
    fn apply(&mut self, objects: &[object::Object]) {
        let mut written = Vec::new();
        let mut removals = Vec::new();
        for object in objects {
            let Some(new) = self.shared.source.decode(object) else {
                continue;
            };
            self.log_older_routing(&new);
            match object.value {
                Some(_) => written.push(new),
                None => removals.push(new),
            }
        }
        let snapshot = self.shared.replica.snapshot();
        let (now, outage) = (Instant::now(), self.latest_outage());
        written.extend(self.removals.defer(now, outage, &snapshot, removals));
        self.merge_and_announce(written);
    }

    /// Logs that the platform has an older routing than this daemon, which keeps its own.
    fn log_older_routing(&self, object: &held::Object) {
        let stored = self.shared.replica.snapshot().version(&object.key);
        let is_routing = object.key == monsooncart_config::object::Key::Routing;
        if let Some(stored) = stored.filter(|stored| is_routing && *stored > object.version) {
            log::warn!(stored, platform = object.version; "config: platform has an older routing; keeping the newer one");
        }
    }

    /// Applies the deferred removals that are due.
    fn apply_deferred_removals(&mut self) {
        let objects = self.removals.take_due(Instant::now());
        if !objects.is_empty() {
            self.merge_and_announce(objects);
        }
    }

    /// Stores `objects` and announces the newer ones to the fleet.
    fn merge_and_announce(&self, objects: Vec<held::Object>) {
        let merged = self.shared.replica.merge(objects);
        let snapshot = self.shared.replica.snapshot();
        let mut announcements = Vec::new();
        for (key, version) in merged.into_iter().take(MAX_ANNOUNCEMENTS) {
            let value = snapshot.value(&key);
            let is_small = |v: &monsooncart_config::object::Value| {
                frame::encode(v).is_ok_and(|bytes| bytes.len() <= MAX_INLINE_BYTES)
            };
            // The encoding of a whole routing has no organisations; its parts do.
            let is_inlined = key != monsooncart_config::object::Key::Routing;
            let value = value.filter(|v| is_inlined && is_small(v));
            announcements.push(update::Update::Configuration {
                key,
                version,
                value,
                holder: self.shared.local.peers,
            });
        }
        if !announcements.is_empty() {
            self.shared.publish_all(announcements);
        }
    }
}

/// Whether the call that failed was a watch.
fn is_watch(error: &error::Error) -> bool {
    error.operation() == error::Operation::Watch
}

/// The error of an answer from before the platform was restored from a backup.
fn stale_answer(operation: error::Operation, revision: object::Version) -> error::Error {
    error::Error::NotDone {
        operation,
        peer: "platform".to_owned(),
        reason: format!("answer of the earlier epoch {}", revision.epoch()),
    }
}

/// Applies a timeout to a call to the platform.
async fn with_timeout<T>(
    timeout: Duration,
    operation: error::Operation,
    call: store::CallFuture<'_, T>,
) -> Result<T, error::Error> {
    let answer = tokio::time::timeout(timeout, call).await;
    answer.unwrap_or_else(|_| {
        Err(error::Error::Unknown {
            operation,
            peer: "platform".to_owned(),
            reason: format!("no answer within {timeout:?}"),
        })
    })
}
