//! Transfer of one version of an object in parts.
//!
//! A daemon requests first the list of the parts and then the missing ones, in batches, from one
//! source at a time. While a source does not answer the request for the list, which is small, the
//! next one is asked as well: a lost VM is silent. Parts that have arrived are kept when a source
//! fails or a newer version takes the place of the version, so that nothing is transferred twice, and
//! can be served to other daemons at once. A source that has nothing new, or does not answer, is followed by the next one
//! of the list; sources that were tried in vain are tried again after a delay.
//!
//! Invariants: a version is complete only with all of its parts; a part is stored at most once; no
//! part is requested that is stored.

use std::collections::BTreeSet;
use std::time::Duration;

use monsooncart_types::time;

/// Maximum number of parts in a request.
pub const MAX_REQUESTED_PARTS: usize = 64;

/// Time without an answer to a request for the list after which the next source is asked as well.
const LIST_HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Delay after a round over all sources that brought no part.
const ROUND_DELAY: Duration = Duration::from_millis(50);

/// Time without a new part after which the transfer is given up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(10);

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<S, D> {
    /// Request the list of the parts from a source, beside the requests for it that are not answered.
    RequestList {
        /// The source.
        source: S,
    },
    /// Request parts from a source.
    RequestParts {
        /// The source.
        source: S,
        /// The missing parts that are requested.
        parts: Vec<D>,
    },
    /// Wait until then.
    Wait(time::Time),
    /// All parts are stored.
    Complete,
    /// No source has supplied a part for a long time.
    GiveUp,
}

/// State of the transfer of one version.
#[derive(Clone, Debug)]
pub struct Transfer<S, D> {
    version: u64,
    /// `None` until the list of the parts is known.
    missing: Option<BTreeSet<D>>,
    sources: Vec<S>,
    /// Index of the source of the next request.
    next_source: usize,
    /// Consecutive sources that were tried in vain.
    failed_sources: usize,
    /// Sources of this round that were asked for the list.
    asked_sources: usize,
    /// Requests for the list that are not answered.
    list_requests: usize,
    /// When a further source is asked for the list.
    hedge_at: time::Time,
    wait_until: time::Time,
    last_progress_at: time::Time,
}

impl<S: Clone + PartialEq, D: Clone + Ord> Transfer<S, D> {
    /// Creates a transfer of `version`, whose parts are not known yet.
    #[must_use]
    pub fn new(now: time::Time, version: u64, sources: Vec<S>) -> Self {
        Self {
            version,
            missing: None,
            sources,
            next_source: 0,
            failed_sources: 0,
            asked_sources: 0,
            list_requests: 0,
            hedge_at: now,
            wait_until: now,
            last_progress_at: now,
        }
    }

    /// The version that is transferred.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether the list of the parts is known.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.missing.is_some()
    }

    /// Records that the list was requested from the source of the latest step.
    pub fn record_list_request(&mut self, now: time::Time) {
        self.list_requests += 1;
        self.asked_sources += 1;
        self.hedge_at = now + LIST_HEDGE_DELAY;
        self.next_source = (self.next_source + 1) % self.sources.len().max(1);
    }

    /// Records that a request for the list ended without it.
    pub fn record_list_failure(&mut self, now: time::Time) {
        self.list_requests = self.list_requests.saturating_sub(1);
        if self.list_requests == 0 && self.asked_sources >= self.sources.len() {
            self.asked_sources = 0;
            self.wait_until = now + ROUND_DELAY;
        }
    }

    /// Records the list of the parts, of which these are missing, from the source that is asked for
    /// them first.
    pub fn record_list(
        &mut self,
        now: time::Time,
        source: &S,
        missing: impl IntoIterator<Item = D>,
    ) {
        self.missing = Some(missing.into_iter().collect());
        self.last_progress_at = now;
        let index = self.sources.iter().position(|s| s == source);
        self.next_source = index.unwrap_or(self.next_source);
    }

    /// Decides what to do next. Parts are requested from one source at a time.
    #[must_use]
    pub fn next_step(&self, now: time::Time) -> Step<S, D> {
        if self.missing.as_ref().is_some_and(BTreeSet::is_empty) {
            return Step::Complete;
        }
        if now.since(self.last_progress_at) >= GIVE_UP_AFTER {
            return Step::GiveUp;
        }
        let Some(source) = self.sources.get(self.next_source) else {
            return Step::GiveUp;
        };
        if now < self.wait_until {
            return Step::Wait(self.wait_until);
        }
        let source = source.clone();
        let Some(missing) = &self.missing else {
            let has_next = self.asked_sources < self.sources.len();
            return match self.list_requests {
                0 => Step::RequestList { source },
                _ if has_next && now >= self.hedge_at => Step::RequestList { source },
                _ if has_next => Step::Wait(self.hedge_at),
                _ => Step::Wait(now + ROUND_DELAY),
            };
        };
        let parts = missing.iter().take(MAX_REQUESTED_PARTS);
        Step::RequestParts {
            source,
            parts: parts.cloned().collect(),
        }
    }

    /// Records a part whose content matches its digest; returns whether it was missing.
    pub fn record_part(&mut self, now: time::Time, part: &D) -> bool {
        let missing = self.missing.as_mut();
        let was_missing = missing.is_some_and(|missing| missing.remove(part));
        if was_missing {
            self.last_progress_at = now;
        }
        was_missing
    }

    /// Records that the request for parts to the current source is finished, and whether it brought a
    /// missing one.
    pub fn record_reply(&mut self, now: time::Time, progressed: bool) {
        if progressed {
            self.failed_sources = 0;
            return;
        }
        self.failed_sources += 1;
        self.next_source = (self.next_source + 1) % self.sources.len().max(1);
        if self.failed_sources >= self.sources.len() {
            self.failed_sources = 0;
            self.wait_until = now + ROUND_DELAY;
        }
    }
}
